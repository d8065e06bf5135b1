package blproof_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// steadyAt is the time by which a simulation without faults has a lead and a
// standby and serves every partition.
const steadyAt = 4 * time.Second

// newSteadySimulation returns a simulation that has run without faults until
// steadyAt.
func newSteadySimulation(t *testing.T, m mutation) *simulation {
	t.Helper()
	sim := newSimulation(7, nodeCount, m)
	sim.runUntil(steadyAt)
	if sim.leadNode() == nil || sim.standbyNode() == nil || sim.unservedPartitions() > 0 {
		t.Fatalf("simulation at %v: %d partitions unserved, want lead, standby and 0", steadyAt, sim.unservedPartitions())
	}
	return sim
}

// unservedPartitions returns the number of partitions that no running node may
// use at the current time.
func (sim *simulation) unservedPartitions() int {
	count := 0
	for p := range blvalue.Partition(partitions) {
		served := false
		for _, n := range sim.nodes {
			served = served || !n.down && n.pausedUntil <= sim.now && n.grant.Uses("pot", p, n.clock())
		}
		if !served {
			count++
		}
	}
	return count
}

// longestOutage runs the simulation for length and returns the longest
// uninterrupted time during which any partition was unserved.
func (sim *simulation) longestOutage(length time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	longest, current := time.Duration(0), time.Duration(0)
	for end := sim.now + length; sim.now < end; {
		sim.runUntil(sim.now + step)
		if sim.unservedPartitions() == 0 {
			current = 0
			continue
		}
		current += step
		longest = max(longest, current)
	}
	return longest
}

// treatUnresolvedAsNotSent reports a write of unknown outcome as not sent.
func treatUnresolvedAsNotSent(outcome blplatform.Outcome) blplatform.Outcome {
	if outcome == blplatform.Unresolved {
		return blplatform.NotSent
	}
	return outcome
}

// forcePromise makes the standby claim a promise in every answer and hide that
// it can reach the store.
func forcePromise(answer bllead.StandbyAnswer) bllead.StandbyAnswer {
	answer.Promised = true
	answer.StoreAnswers = false
	return answer
}

// Each schedule is run with its later faults shifted from zero to below maxShift
// in steps of shiftStep, because whether an invariant is violated depends on the
// phase of a heartbeat or renewal in which the faults occur.
const (
	maxShift  = 400 * time.Millisecond
	shiftStep = 25 * time.Millisecond
)

// TestDirectedSchedules runs hand-written fault schedules. Each has to violate
// an invariant while a mutation disables the rule that it targets, and must not
// violate any while all rules are in force.
func TestDirectedSchedules(t *testing.T) {
	cases := []struct {
		name     string
		mutation mutation
		schedule func(sim *simulation, shift time.Duration)
	}{
		{
			name:     "another node treats lead and standby as terminated while they hold the role",
			mutation: mutation{silenceMeansTerminated: true},
			schedule: func(sim *simulation, _ time.Duration) {
				lead, standby := sim.leadNode(), sim.standbyNode()
				sim.cutStoreLinks[lead.index], sim.cutStoreLinks[standby.index] = true, true
				for _, n := range sim.nodes {
					if n != lead && n != standby {
						sim.cutLink(lead, n, time.Minute)
						sim.cutLink(standby, n, time.Minute)
					}
				}
			},
		},
		{
			name:     "standby claims a promise that does not bind it",
			mutation: mutation{modifyStandbyAnswer: forcePromise},
			schedule: func(sim *simulation, shift time.Duration) {
				lead, standby := sim.leadNode(), sim.standbyNode()
				sim.cutStoreLinks[lead.index] = true
				sim.schedule(300*time.Millisecond+shift, func() { sim.cutLink(lead, standby, time.Minute) })
			},
		},
		{
			name:     "lead holds the role although it may have recorded another standby",
			mutation: mutation{modifyRecordOutcome: treatUnresolvedAsNotSent},
			schedule: func(sim *simulation, shift time.Duration) {
				lead, standby := sim.leadNode(), sim.standbyNode()
				sim.recordAnswersToLose = 1
				standby.pausedUntil = sim.now + 1200*time.Millisecond
				sim.schedule(1150*time.Millisecond+shift, func() {
					sim.cutStoreLinks[lead.index], sim.cutStoreLinks[standby.index] = true, true
					for _, n := range sim.nodes {
						if n != standby {
							sim.cutLink(lead, n, time.Minute)
						}
					}
				})
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := 0
			for shift := time.Duration(0); shift < maxShift; shift += shiftStep {
				mutated := newSteadySimulation(t, c.mutation)
				c.schedule(mutated, shift)
				mutated.runUntil(steadyAt + 8*time.Second)
				violations += len(mutated.violations)
				unmodified := newSteadySimulation(t, mutation{})
				c.schedule(unmodified, shift)
				unmodified.runUntil(steadyAt + 8*time.Second)
				if len(unmodified.violations) > 0 {
					t.Errorf("with the rule in force, shift %v: got violation %s, want none", shift, unmodified.violations[0])
				}
			}
			if violations == 0 {
				t.Error("with the rule disabled: got 0 violations, want at least 1")
			}
		})
	}
}

// recoveryTarget bounds the time until a key is served again after the loss of a
// node.
const recoveryTarget = 2 * time.Second

// TestRecoveryTime measures for how long partitions are unserved after a failure
// and compares the longest time over 20 seeds with the target.
func TestRecoveryTime(t *testing.T) {
	cases := []struct {
		name   string
		target time.Duration
		fail   func(sim *simulation)
	}{
		{"owner lost", recoveryTarget, func(sim *simulation) { sim.ownerNode().down = true }},
		{"lead lost", recoveryTarget, func(sim *simulation) { sim.leadNode().down = true }},
		{"lead and an owner lost", recoveryTarget, func(sim *simulation) {
			owner := sim.ownerNode()
			sim.leadNode().down = true
			owner.down = true
		}},
		{"standby lost", recoveryTarget, func(sim *simulation) { sim.standbyNode().down = true }},
		{"owner frozen", recoveryTarget, func(sim *simulation) { sim.ownerNode().pausedUntil = sim.now + 5*time.Second }},
		{"lead frozen", recoveryTarget, func(sim *simulation) { sim.leadNode().pausedUntil = sim.now + 5*time.Second }},
		{"store down for a minute", 0, func(sim *simulation) { sim.applyFault(fault{kind: "store down", length: time.Minute}) }},
		{"store down, then standby restarted", 0, func(sim *simulation) {
			sim.applyFault(fault{kind: "store down", length: time.Minute})
			standby := sim.standbyNode()
			sim.schedule(3*time.Second, standby.restartLeadDuty)
		}},
		{"lead cut from the store", recoveryTarget, func(sim *simulation) { sim.cutStoreLinks[sim.leadNode().index] = true }},
		{"every node restarted", 4 * time.Second, func(sim *simulation) {
			for _, n := range sim.nodes {
				n.start()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				sim := newSimulation(seed, nodeCount, mutation{})
				sim.runUntil(steadyAt)
				if sim.leadNode() == nil || sim.standbyNode() == nil || sim.unservedPartitions() > 0 {
					t.Fatalf("seed %d: no lead, no standby or unserved partitions at %v", seed, steadyAt)
				}
				c.fail(sim)
				worst = max(worst, sim.longestOutage(12*time.Second))
				if len(sim.violations) > 0 {
					t.Fatalf("seed %d: violation: %s", seed, sim.violations[0])
				}
			}
			t.Logf("longest time unserved over 20 seeds: %v", worst)
			if worst > c.target {
				t.Errorf("time unserved: got %v, want at most %v", worst, c.target)
			}
		})
	}
}

// ownerNode returns a node that owns partitions and is neither lead nor standby.
func (sim *simulation) ownerNode() *node {
	lead, standby := sim.leadNode(), sim.standbyNode()
	for _, n := range sim.nodes {
		if n != lead && n != standby {
			return n
		}
	}
	return nil
}

// restartLeadDuty restarts only the lead duty of the node, under a new
// incarnation. The node keeps its grants.
func (n *node) restartLeadDuty() {
	host := n.host
	host.Incarnation += "_again"
	n.lead = bllead.New(host, bllead.Timing{Lease: leaseTTL, GrantTTL: grantTTL, ClockMargin: clockMargin})
}

// TestStaleLeaseAbsenceDoesNotProveLeadEnded guards against taking an outdated
// read without a lease as proof that the lead has ended. Random faults found the
// schedule: a node reads the store before there is a lead, hears from that lead
// later, and reads again after a store outage through which the lead continued.
func TestStaleLeaseAbsenceDoesNotProveLeadEnded(t *testing.T) {
	sim := newSimulationWithHoldLimit(1, nodeCount, mutation{}, 3*time.Second)
	sim.slowMessagesPerThousand = 20
	for _, f := range []fault{
		{kind: "pause", node: 2, at: 28 * time.Millisecond, length: 1496 * time.Millisecond},
		{kind: "pause", node: 0, at: 1494 * time.Millisecond, length: 84 * time.Millisecond},
		{kind: "store down", at: 1677 * time.Millisecond, length: 2234 * time.Millisecond},
	} {
		sim.scheduleFault(f)
	}
	sim.runUntil(simulationLength)
	for _, violation := range sim.violations {
		t.Errorf("violation: %s", violation)
	}
}
