// Command measure runs fleets of separate processes on loopback and prints its
// measurements as JSON lines.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
)

type arguments struct {
	Path       pathCommand       `cmd:"" help:"Latency that the path adds to a call of the upstream."`
	Idle       idleCommand       `cmd:"" help:"Cost of the control plane without load, by the number of nodes."`
	Recovery   recoveryCommand   `cmd:"" help:"Time during which keys are unavailable after a loss."`
	Sizes      sizesCommand      `cmd:"" help:"Latency at the current size of the Dakar mesh."`
	Stragglers stragglersCommand `cmd:"" help:"Tail latency with slow upstreams."`
	Shares     sharesCommand     `cmd:"" help:"Refusals of accounts that stay within their rates."`
	Overload   overloadCommand   `cmd:"" help:"Goodput at twice the capacity."`
	HotKey     hotKeyCommand     `cmd:"" help:"Latency of other keys beside a hot key."`
	All        allCommand        `cmd:"" default:"1" help:"Everything."`
}

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Description("Measures the whole system."))
	if err := parser.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

type allCommand struct{}

// Run runs all measurements sequentially.
func (allCommand) Run() error {
	commands := []interface{ Run() error }{
		pathCommand{Length: 4 * time.Second}, idleCommand{Nodes: []int{3, 12, 48}, Length: 10 * time.Second},
		recoveryCommand{Rounds: 3}, sizesCommand{Length: 8 * time.Second}, stragglersCommand{Length: 8 * time.Second},
		sharesCommand{Length: 10 * time.Second}, overloadCommand{Length: 20 * time.Second},
		hotKeyCommand{Length: 8 * time.Second},
	}
	for _, command := range commands {
		if err := command.Run(); err != nil {
			return err
		}
	}
	return nil
}

// report prints one measurement as a JSON line.
func report(measurement any) {
	_ = json.NewEncoder(os.Stdout).Encode(measurement)
}

const startWait = 30 * time.Second

// deployment is a running fleet with its temporary folder.
type deployment struct {
	*blfleet.Fleet

	folder string
}

// deploy builds the programs, starts a fleet and applies the Dakar document as
// changed by edit.
func deploy(hosts []blfleet.HostSpec, edit func(blconfig.Document) blconfig.Document) (*deployment, error) {
	folder, err := os.MkdirTemp("", "bergamotlead-measure-")
	if err != nil {
		return nil, fmt.Errorf("make folder: %w", err)
	}
	if err := blfleet.Build(".", folder); err != nil {
		return nil, fmt.Errorf("build: %w", err)
	}
	fleet, err := blfleet.Start(blfleet.Options{
		Binaries: folder, Folder: folder, Region: "sn_west", Hosts: hosts, WorkLogs: true,
	})
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	d := &deployment{Fleet: fleet, folder: folder}
	if err := d.configure(edit); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *deployment) configure(edit func(blconfig.Document) blconfig.Document) error {
	if _, err := d.WaitReady(startWait); err != nil {
		return fmt.Errorf("wait for lead: %w", err)
	}
	document, err := d.Document(filepath.Join("configs", "dakar.toml"), edit)
	if err != nil {
		return fmt.Errorf("make document: %w", err)
	}
	if _, err := d.Apply(d.Hosts[0], 0, document); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	partitions := blconfig.NewPlan(mustParse(document)).Services["pot"].Partitions
	if err := d.WaitOwners("pot", partitions, startWait); err != nil {
		return fmt.Errorf("wait for owners: %w", err)
	}
	return nil
}

func (d *deployment) stop() {
	d.Stop()
	_ = os.RemoveAll(d.folder)
}
