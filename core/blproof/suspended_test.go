package blproof_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// suspensionFault suspends hosts at at for length.
type suspensionFault struct {
	hosts      string
	node       int
	at, length time.Duration
	// startsAgain is set when the processes end as the hosts resume.
	startsAgain bool
}

// suspensionGenerator generates random suspensions that start no later than lastFaultAt.
func suspensionGenerator() *rapid.Generator[suspensionFault] {
	return rapid.Custom(func(t *rapid.T) suspensionFault {
		return suspensionFault{
			hosts:       rapid.SampledFrom([]string{"one", "lead", "standby", "lead and standby", "lead and one", "standby and one", "all"}).Draw(t, "hosts"),
			node:        rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
			at:          time.Duration(rapid.IntRange(0, int(lastFaultAt/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			length:      time.Duration(rapid.IntRange(20, 6000).Draw(t, "length")) * time.Millisecond,
			startsAgain: rapid.IntRange(0, 4).Draw(t, "starts again") == 0,
		}
	})
}

func (sim *simulation) scheduleSuspension(f suspensionFault) {
	sim.schedule(f.at, func() {
		for _, n := range sim.suspendedBy(f) {
			n.suspend(f.length)
			if f.startsAgain {
				sim.schedule(f.length, n.start)
			}
		}
	})
}

// suspendedBy returns the nodes whose hosts the fault suspends.
func (sim *simulation) suspendedBy(f suspensionFault) []*node {
	var nodes []*node
	one, lead, standby := sim.nodes[f.node], sim.leadNode(), sim.standbyNode()
	switch f.hosts {
	case "all":
		return sim.nodes
	case "one":
		lead, standby = nil, nil
	case "lead":
		one, standby = nil, nil
	case "standby":
		one, lead = nil, nil
	case "lead and standby":
		one = nil
	case "lead and one":
		standby = nil
	case "standby and one":
		lead = nil
	}
	for _, n := range []*node{one, lead, standby} {
		if n != nil {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// runSuspensions draws a random fault schedule with suspensions and restores and runs it.
func runSuspensions(t *rapid.T, m mutation, limit time.Duration) *simulation {
	sim := drawSchedule(t, m, limit)
	for _, f := range rapid.SliceOfN(suspensionGenerator(), 1, 4).Draw(t, "suspensions") {
		sim.scheduleSuspension(f)
	}
	for _, r := range rapid.SliceOfN(restoreGenerator(), 0, 1).Draw(t, "restores") {
		sim.scheduleRestore(r)
	}
	sim.runUntil(simulationLength + lastFaultAt/2)
	return sim
}

// TestOwnershipWhenHostsAreSuspended runs the random schedules with suspensions of one or
// more hosts, among them lead and standby. An answer from before a suspension is handled
// after it, since timers stood still as well.
func TestOwnershipWhenHostsAreSuspended(t *testing.T) {
	for name, limit := range map[string]time.Duration{"hold bounded": 3 * time.Second, "hold not bounded": 0} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := runSuspensions(t, mutation{}, limit)
				for _, violation := range sim.violations {
					t.Errorf("violation: %s", violation)
				}
			})
		})
	}
}

// TestModelDetectsUncountedSuspensions disables the count of suspensions. The model has to
// find a schedule that violates an invariant within mutationSeeds seeds.
func TestModelDetectsUncountedSuspensions(t *testing.T) {
	for _, m := range []mutation{
		{name: "suspensions not counted", ignoresSuspensions: true},
		{name: "suspensions counted late", seesSuspensionsLate: true},
	} {
		t.Run(m.name, func(t *testing.T) {
			wantViolation(t, func(t *rapid.T) *simulation { return runSuspensions(t, m, 0) })
		})
	}
}
