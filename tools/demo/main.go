// Command demo runs the Dakar mesh as separate processes on loopback and shows
// the path of a request through it. It exits with 0 only if every check passed.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/tools/blfleet"
)

const (
	partitions   = 128
	startWait    = 20 * time.Second
	stopWait     = 30 * time.Second
	spanWait     = 6 * time.Second
	contribution = 500
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("demo passed")
}

func run() error {
	folder, err := os.MkdirTemp("", "bergamotlead-demo-")
	if err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := blfleet.Build(".", folder); err != nil {
		return fmt.Errorf("build: %w", err)
	}
	fleet, err := blfleet.Start(blfleet.Options{
		Binaries: folder, Folder: folder, Region: "sn_west", Hosts: blfleet.DakarHosts(true), Traces: true, WorkLogs: true,
	})
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	defer fleet.Stop()
	d := demo{fleet: fleet}
	steps := []func() error{d.configure, d.contribute, d.checkOwners, d.checkWrongKey, d.printTrace, d.stopNodes}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

type demo struct {
	fleet     *blfleet.Fleet
	requestID string
}

func (d *demo) configure() error {
	lead, err := d.fleet.WaitReady(startWait)
	if err != nil {
		return fmt.Errorf("wait for lead: %w", err)
	}
	fmt.Printf("lead: %s\n", lead.Spec.Name)
	document, err := d.fleet.Document(filepath.Join("configs", "dakar.toml"), nil)
	if err != nil {
		return fmt.Errorf("make document: %w", err)
	}
	result, err := d.fleet.Apply(d.fleet.Hosts[0], 0, document)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	fmt.Printf("configuration: %s, revision %d, in force: %t\n", result.Result, result.Revision, result.InForce)
	if err := d.fleet.WaitOwners("pot", partitions, startWait); err != nil {
		return fmt.Errorf("wait for owners: %w", err)
	}
	return nil
}

// contribute sends contributions to several pots through every node and checks
// the totals.
func (d *demo) contribute() error {
	pots := []string{"awa", "binta", "cheikh", "djibril"}
	totals := map[string]int64{}
	for _, host := range d.fleet.Hosts {
		for _, pot := range pots {
			response, err := d.fleet.Call(host, http.MethodPost, "/pot/"+pot+"/contributions",
				d.fleet.ClientKeys["family_app"], fmt.Sprint(contribution))
			if err != nil {
				return fmt.Errorf("contribute: %w", err)
			}
			totals[pot] += contribution
			if response.Status != http.StatusOK || response.Total != totals[pot] {
				return mismatch("total of "+pot, response.Total, totals[pot], response.Body)
			}
			fmt.Printf("contribution by %s to pot %s: answered by %s, total %d\n",
				host.Spec.Name, pot, response.Upstream, response.Total)
			if !isLocal(host, response.Upstream) {
				d.requestID = response.Header.Get("Bergamotlead-Request-Id")
			}
		}
	}
	return nil
}

// isLocal reports whether the upstream runs on the host.
func isLocal(host *blfleet.Host, upstream string) bool {
	for _, u := range host.Upstreams {
		if u.Spec.Name == upstream {
			return true
		}
	}
	return false
}

func (d *demo) checkWrongKey() error {
	response, err := d.fleet.Call(d.fleet.Hosts[0], http.MethodPost, "/pot/awa/contributions", "wrong", "1")
	if err != nil {
		return fmt.Errorf("call with a wrong key: %w", err)
	}
	if response.Status != http.StatusUnauthorized || response.Outcome != string(blvalue.OutcomeNotRun) {
		return mismatch("answer to a wrong key", response.Status, http.StatusUnauthorized, response.Body)
	}
	fmt.Printf("wrong key: status %d, outcome %s: %s", response.Status, response.Outcome, response.Body)
	return nil
}

// stopNodes terminates every node and checks that each exits with code 0.
func (d *demo) stopNodes() error {
	for _, host := range d.fleet.Hosts {
		if !host.Node.Terminate(stopWait) {
			return blfleet.TimeoutError{What: "the end of " + host.Spec.Name}
		}
		if code := host.Node.ExitCode(); code != 0 {
			return mismatch("exit code of "+host.Spec.Name, code, 0, "")
		}
		fmt.Printf("%s ended\n", host.Spec.Name)
	}
	return nil
}

// MismatchError reports a failed check.
type MismatchError struct {
	What      string
	Got, Want any
	Detail    string
}

// Error implements error.
func (e MismatchError) Error() string {
	return fmt.Sprintf("%s: got %v, want %v %s", e.What, e.Got, e.Want, e.Detail)
}

func mismatch(what string, got, want any, detail string) error {
	return MismatchError{What: what, Got: got, Want: want, Detail: detail}
}
