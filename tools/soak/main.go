// Command soak runs a fleet of real processes, injects random faults from outside
// them, and checks the system's invariants as seen by callers and upstreams. The
// same seed gives the same faults.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"bergamotlead/tools/blfleet"
)

type arguments struct {
	Seed   uint64        `default:"1" help:"First seed."`
	Seeds  uint64        `default:"1" help:"Number of seeds, one run each."`
	Length time.Duration `default:"20s" help:"Length of a run."`
	Hosts  int           `default:"5" help:"Hosts of the fleet."`
	// Restores and Stops are off in plans of seeds from before them.
	Restores bool `default:"true" negatable:"" help:"Draw restores of the store as well."`
	Stops    bool `default:"true" negatable:"" help:"Stop each node in turn after the faults, and check that no request is lost."`

	Root   string `default:"." help:"Root of the module." type:"existingdir"`
	Folder string `help:"Folder for logs and reports; a new temporary folder when empty."`
}

func main() {
	var args arguments
	kong.Parse(&args, kong.Description("Runs a fleet under random faults and checks its invariants."))
	failed, err := run(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run executes one run per seed, sequentially, and returns how many runs violated
// an invariant.
func run(args arguments) (int, error) {
	folder := args.Folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "bergamotlead-soak-"); err != nil {
			return 0, fmt.Errorf("make folder: %w", err)
		}
	}
	binaries := filepath.Join(folder, "bin")
	if err := os.MkdirAll(binaries, 0o750); err != nil {
		return 0, fmt.Errorf("make folder: %w", err)
	}
	if err := blfleet.Build(args.Root, binaries); err != nil {
		return 0, fmt.Errorf("build programs: %w", err)
	}
	failed := 0
	fmt.Println("seed    answered  not run  unknown  broken  p50 ms  p99 ms  recovered  lost  verdict")
	for seed := args.Seed; seed < args.Seed+args.Seeds; seed++ {
		s := newSoak(args, seed, binaries, filepath.Join(folder, fmt.Sprintf("seed_%d", seed)))
		if err := s.execute(); err != nil {
			return failed, fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Println(s.summaryLine())
		for _, violation := range s.listViolations() {
			fmt.Println("        ", violation)
		}
		if len(s.listViolations()) > 0 {
			failed++
		}
	}
	fmt.Printf("soak: %d passed, %d failed\n", int(args.Seeds)-failed, failed)
	fmt.Println("logs and reports:", folder)
	return failed, nil
}

// writePlan writes the plan of a run to the folder of its logs.
func writePlan(folder string, plan []plannedFault) error {
	text, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "plan.json"), text, 0o600); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	return nil
}
