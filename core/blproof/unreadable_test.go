package blproof_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// manyWrites is a number of the store that is beyond the terms of several eras.
const manyWrites = 500_000

// restartAll restarts every node, so that no process remembers a term.
func (sim *simulation) restartAll() {
	for _, n := range sim.nodes {
		n.start()
	}
}

// TestFencesRiseWhereTheRecordIsSpoilt runs the random schedules with a lead record that
// another writer makes unreadable or removes, restarts of the whole fleet, and restores.
func TestFencesRiseWhereTheRecordIsSpoilt(t *testing.T) {
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := drawSchedule(t, mutation{}, 3*time.Second).withUpstreams()
		sim.store.data.number = rapid.SampledFrom([]uint64{0, manyWrites}).Draw(t, "writes before")
		times := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, int(lastFaultAt/time.Millisecond)).Draw(t, "at")) * time.Millisecond
		})
		for _, fault := range []struct {
			name   string
			action func()
		}{
			{"unreadable", sim.store.spoilRecord},
			{"removed while no process runs", func() {
				sim.store.removeRecord()
				sim.restartAll()
			}},
			{"whole fleet restarts", sim.restartAll},
		} {
			for _, at := range rapid.SliceOfN(times, 0, 2).Draw(t, fault.name) {
				sim.schedule(at, fault.action)
			}
		}
		for _, r := range rapid.SliceOfN(restoreGenerator(), 0, 2).Draw(t, "restores") {
			sim.scheduleRestore(r)
		}
		sim.runUntil(simulationLength)
		for _, violation := range sim.violations {
			t.Errorf("violation: %s", violation)
		}
		served += sim.served
	})
	if served == 0 {
		t.Error("requests served: got 0, want some")
	}
}

// TestWholeFleetRestartsWhereTheRecordIsSpoilt guards against fences that fall when no
// process remembers the term of an unreadable record, or of those after it.
func TestWholeFleetRestartsWhereTheRecordIsSpoilt(t *testing.T) {
	restored := func(sim *simulation, at, age time.Duration) {
		sim.scheduleRestore(restore{at: at, length: 50 * time.Millisecond, age: age})
	}
	cases := map[string]func(sim *simulation){
		"unreadable": func(sim *simulation) { sim.schedule(12*time.Second, sim.store.spoilRecord) },
		"removed":    func(sim *simulation) { sim.schedule(12*time.Second, sim.store.removeRecord) },
		"restored to a readable record": func(sim *simulation) {
			restored(sim, 12*time.Second, 11500*time.Millisecond)
		},
		"restored twice to a readable record": func(sim *simulation) {
			restored(sim, 11*time.Second, 10500*time.Millisecond)
			restored(sim, 12*time.Second, 11500*time.Millisecond)
		},
		"restored to an unreadable record": func(sim *simulation) {
			restored(sim, 12*time.Second, 10900*time.Millisecond)
		},
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulationWithHoldLimit(7, nodeCount, mutation{}, 3*time.Second).withUpstreams()
			sim.store.data.number = manyWrites
			sim.runUntil(steadyAt)
			sim.schedule(time.Second, sim.store.spoilRecord)
			spoil(sim)
			sim.schedule(12100*time.Millisecond, sim.restartAll)
			sim.runUntil(steadyAt + 13*time.Second)
			served := sim.served
			sim.runUntil(steadyAt + 30*time.Second)
			if len(sim.violations) > 0 {
				t.Errorf("violations: got %s, want none", sim.violations[0])
			}
			if sim.served == served {
				t.Error("requests served after the restart: got 0, want some")
			}
		})
	}
}
