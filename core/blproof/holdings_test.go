package blproof_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHoldingsOfUpstreams runs the random schedules with upstreams that keep their grants
// themselves, some of whose orders are late or unanswered. No two may hold a partition.
func TestHoldingsOfUpstreams(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := runHoldings(t, mutation{})
		for _, violation := range sim.violations {
			t.Errorf("violation: %s", violation)
		}
		served += sim.served
	})
	if served == 0 {
		t.Error("requests served: got 0, want some")
	}
}

// runHoldings draws a random fault schedule for upstreams that keep their grants and runs
// it.
func runHoldings(t *rapid.T, m mutation) *simulation {
	sim := drawSchedule(t, m, 3*time.Second).withUpstreams()
	sim.runUntil(simulationLength)
	return sim
}

// TestModelDetectsGrantsHeldTooLong disables rules of the grants that upstreams keep. The
// model has to find a schedule in which two hold a partition.
func TestModelDetectsGrantsHeldTooLong(t *testing.T) {
	for _, m := range []mutation{
		{name: "hold time is what is left", holdsWhatIsLeft: true},
		{name: "grants of an ended lead treated as released", reportHeldAsReleased: true},
	} {
		t.Run(m.name, func(t *testing.T) {
			wantViolation(t, func(t *rapid.T) *simulation { return runHoldings(t, m) })
		})
	}
}
