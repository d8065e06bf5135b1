package blproof_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// restore is a loss of the store's latest writes: it is away from at on for length, and
// comes back from a copy that is age older than at.
type restore struct {
	at, length, age time.Duration
	// keepsLease is set where the copy holds leases, which then begin anew.
	keepsLease bool
}

// restoreGenerator generates random restores that start no later than lastFaultAt.
func restoreGenerator() *rapid.Generator[restore] {
	milliseconds := func(t *rapid.T, least, most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
	}
	return rapid.Custom(func(t *rapid.T) restore {
		return restore{
			at:     milliseconds(t, 0, int(lastFaultAt/time.Millisecond), "at"),
			length: milliseconds(t, 0, 3000, "length"),
			age:    milliseconds(t, 0, 5000, "age"),

			keepsLease: rapid.Bool().Draw(t, "keeps lease"),
		}
	})
}

// scheduleRestore schedules a restore of the store.
func (sim *simulation) scheduleRestore(r restore) {
	sim.schedule(r.at, func() {
		sim.storeDown = true
		copiedAt := sim.now - r.age
		sim.schedule(r.length, func() {
			sim.store.restore(copiedAt, r.keepsLease, sim.now)
			sim.storeDown = false
		})
	})
}

// TestOwnershipWhenStoreIsRestored runs the random schedules with restores of the store
// from older copies.
func TestOwnershipWhenStoreIsRestored(t *testing.T) {
	for name, limit := range map[string]time.Duration{"hold bounded": 3 * time.Second, "hold not bounded": 0} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := drawSchedule(t, mutation{}, limit)
				for _, r := range rapid.SliceOfN(restoreGenerator(), 1, 3).Draw(t, "restores") {
					sim.scheduleRestore(r)
				}
				sim.runUntil(simulationLength)
				for _, violation := range sim.violations {
					t.Errorf("violation: %s", violation)
				}
			})
		})
	}
}

// TestRestoredStoreKeepsOneLead guards against a standby that takes over by a record and
// an absent lease of a restored store while the lead of the lost writes still acts, in a
// term that has been used. Two leads restart, so that the restored record names neither
// the lead nor its standby.
func TestRestoredStoreKeepsOneLead(t *testing.T) {
	for shift := time.Duration(0); shift < maxShift; shift += shiftStep {
		sim := newSteadySimulation(t, mutation{})
		restartLead := func() {
			if lead := sim.leadNode(); lead != nil {
				lead.start()
			}
		}
		restartLead()
		sim.schedule(2*time.Second, restartLead)
		sim.scheduleRestore(restore{at: 5*time.Second + shift, length: 50 * time.Millisecond, age: 5500*time.Millisecond + shift})
		sim.runUntil(steadyAt + 12*time.Second)
		if len(sim.violations) > 0 {
			t.Errorf("shift %v: got violation %s, want none", shift, sim.violations[0])
		}
		if got := sim.unservedPartitions(); got > 0 {
			t.Errorf("shift %v: got %d partitions unserved, want 0", shift, got)
		}
	}
}

// TestLeadLearnsOfARestoreWithoutOutage guards against a lead that moves nothing any more,
// since no call of its failed while the store was restored with its lease.
func TestLeadLearnsOfARestoreWithoutOutage(t *testing.T) {
	sim := newSteadySimulation(t, mutation{})
	sim.scheduleRestore(restore{at: time.Second, age: 300 * time.Millisecond, keepsLease: true})
	for i, at := range []time.Duration{3 * time.Second, 8 * time.Second} {
		sim.schedule(at, func() {
			for _, n := range sim.nodes {
				if n != sim.leadNode() && n != sim.standbyNode() && !n.down {
					n.down = true
					t.Logf("node %d ends at %v (%d)", n.index, sim.now, i)
					return
				}
			}
		})
	}
	sim.runUntil(steadyAt + 16*time.Second)
	if got := sim.unservedPartitions(); got > 0 {
		t.Errorf("partitions unserved: got %d, want 0", got)
	}
	if len(sim.violations) > 0 {
		t.Errorf("violations: got %s, want none", sim.violations[0])
	}
}
