package blproof_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// runSuspendedHoldings draws a random fault schedule with suspensions for upstreams that
// keep their grants, and runs it.
func runSuspendedHoldings(t *rapid.T, m mutation) *simulation {
	sim := drawSchedule(t, m, 3*time.Second).withUpstreams()
	for _, f := range rapid.SliceOfN(suspensionGenerator(), 1, 4).Draw(t, "suspensions") {
		sim.scheduleSuspension(f)
	}
	sim.runUntil(simulationLength + lastFaultAt/2)
	return sim
}

// TestHoldingsWhenHostsAreSuspended runs the random schedules with suspensions of hosts
// whose upstreams keep their grants by clocks that don't count them. No two may hold a
// partition once the nodes have had the time to take it back.
func TestHoldingsWhenHostsAreSuspended(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := runSuspendedHoldings(t, mutation{})
		for _, violation := range sim.violations {
			t.Errorf("violation: %s", violation)
		}
		served += sim.served
	})
	if served == 0 {
		t.Error("requests served: got 0, want some")
	}
}
