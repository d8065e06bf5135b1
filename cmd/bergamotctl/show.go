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

const columnGap = 2

func newTable() *tabwriter.Writer {
	return tabwriter.NewWriter(os.Stdout, 0, 0, columnGap, ' ', 0)
}

func flush(table *tabwriter.Writer) error {
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
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
	table := newTable()
	fmt.Fprintf(table, "host\t%s\nfailure domain\t%s\nregion\t%s\nrole\t%s\nterm\t%d\nlead\t%s\n",
		status.Host, status.Domain, status.Region, status.Role, status.Term, status.Lead)
	fmt.Fprintf(table, "configuration\trevision %d\nlead heard\t%d ms ago\n\n", status.ConfigRevision, status.HeardAgoMS)
	fmt.Fprintln(table, "upstream\tservice\tpartitions\tfence\trunning\twaiting\tlimit\tleaving")
	for _, u := range status.Upstreams {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%t\n",
			u.Name, u.Service, u.Partitions, u.Fence, u.Running, u.Waiting, u.Limit, u.Leaving)
	}
	if len(status.Members) > 0 {
		fmt.Fprintf(table, "\nstandby\t%s\nmay change\t%t\n\n", status.Standby, status.MayChange)
		fmt.Fprintln(table, "node\tfailure domain\taddress\tconfiguration\theard\tleaving")
	}
	for _, m := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d ms ago\t%t\n",
			m.Host, m.Domain, m.Address, m.ConfigRevision, m.HeardAgoMS, m.Leaving)
	}
	return flush(table)
}

type assignmentCommand struct {
	Service string `arg:"" help:"Service that is divided by key."`
	Key     string `help:"Show the owner of this key alone."`
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
	table := newTable()
	fmt.Fprintf(table, "upstream\tpartitions of %d\n", assignment.Partitions)
	for _, name := range names {
		fmt.Fprintf(table, "%s\t%d\n", name, assignment.Counts[name])
	}
	return flush(table)
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
