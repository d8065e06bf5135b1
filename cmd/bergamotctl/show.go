package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"text/tabwriter"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/bloperator"
)

const columnPadding = 2

// table prints aligned columns. It keeps the first error for flush.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable() *table {
	return &table{writer: tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', 0)}
}

func (t *table) printf(format string, values ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.writer, format, values...)
	}
}

func (t *table) flush() error {
	if t.err == nil {
		t.err = t.writer.Flush()
	}
	if t.err != nil {
		return fmt.Errorf("write output: %w", t.err)
	}
	return nil
}

type statusCommand struct{}

// Run shows the state of a node.
func (statusCommand) Run(c *client) error {
	var status bloperator.Status
	if err := c.call(http.MethodGet, "/status", nil, &status); err != nil {
		return err
	}
	if c.json {
		return printJSON(status)
	}
	t := newTable()
	t.printf("host\t%s\nfailure domain\t%s\nregion\t%s\nrole\t%s\nterm\t%d\nlead\t%s\n",
		status.Host, status.Domain, status.Region, status.Role, status.Term, status.Lead)
	t.printf("configuration\trevision %d\nlead heard\t%d ms ago\n\n", status.ConfigRevision, status.HeardAgoMS)
	t.printf("upstream\tservice\tpartitions\tfence\trunning\twaiting\tlimit\tleaving\n")
	for _, u := range status.Upstreams {
		t.printf("%s\t%s\t%d\t%s\t%d\t%d\t%d\t%t\n",
			u.Name, u.Service, u.Partitions, u.Fence, u.Running, u.Waiting, u.Limit, u.Leaving)
	}
	if len(status.Members) > 0 {
		t.printf("\nstandby\t%s\nmay change\t%t\n\n", status.Standby, status.MayChange)
		t.printf("node\tfailure domain\taddress\tconfiguration\theard\tleaving\n")
	}
	for _, m := range status.Members {
		t.printf("%s\t%s\t%s\t%d\t%d ms ago\t%t\n",
			m.Host, m.Domain, m.Address, m.ConfigRevision, m.HeardAgoMS, m.Leaving)
	}
	for _, r := range status.Rollouts {
		printRollout(t, r)
	}
	return t.flush()
}

func printRollout(t *table, r bloperator.Rollout) {
	t.printf("\nroll-out\t%s to %s\nstate\t%s\nstep\t%s\nage\t%d of %d ms\ncanaries\t%d\n",
		r.Service, r.Target, r.State, r.Step, r.AgeMS, r.DurationMS, r.Canaries)
	t.printf("requests\t%d of %d\nallowed\t%d\nreserved\t%d of %d\n", r.Exposed, r.Requests, r.Allowed, r.Reserved, r.Limit)
	if r.Reason != "" {
		t.printf("reason\t%s\n", r.Reason)
	}
	t.printf("version\tclass\tanswered\tfailed\tslow\n")
	for _, results := range r.Results {
		t.printf("%s\t%s\t%d\t%d\t%d\n", results.Version, results.Class, results.Answered, results.Failed, results.Slow)
	}
}

type assignmentCommand struct {
	Service string `arg:"" help:"Service that is partitioned by key."`
	Key     string `help:"Show only the owner of this key."`
}

// Run shows the owners of a service's partitions.
func (a assignmentCommand) Run(c *client) error {
	if a.Key != "" {
		return a.showOwner(c)
	}
	var assignment bloperator.Assignment
	if err := c.call(http.MethodGet, "/assignment/"+a.Service, nil, &assignment); err != nil {
		return err
	}
	if c.json {
		return printJSON(assignment)
	}
	names := make([]blvalue.UpstreamName, 0, len(assignment.Counts))
	for name := range assignment.Counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	t := newTable()
	t.printf("upstream\tpartitions of %d\n", assignment.Partitions)
	for _, name := range names {
		t.printf("%s\t%d\n", name, assignment.Counts[name])
	}
	return t.flush()
}

func (a assignmentCommand) showOwner(c *client) error {
	var owner struct {
		Owner string `json:"owner"`
	}
	if err := c.call(http.MethodGet, "/owner/"+a.Service+"/"+a.Key, nil, &owner); err != nil {
		return err
	}
	if c.json {
		return printJSON(owner)
	}
	fmt.Println(owner.Owner)
	return nil
}
