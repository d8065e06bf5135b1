package blproof_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// steady is when a world without faults serves every partition.
const steady = 4 * time.Second

func steadyWorld(t *testing.T, s sabotage) *world {
	t.Helper()
	w := newWorld(7, worldNodes, s)
	w.runUntil(steady)
	if w.leadNode() == nil || w.standbyNode() == nil || w.unserved() > 0 {
		t.Fatalf("world at %v: %d partitions unserved, want lead, standby and 0", steady, w.unserved())
	}
	return w
}

// unserved counts the partitions that no node may work on at this moment.
func (w *world) unserved() int {
	count := 0
	for p := range blvalue.Partition(partitions) {
		served := false
		for _, n := range w.nodes {
			served = served || !n.down && n.paused <= w.now && n.grant.Uses("pot", p, n.clock())
		}
		if !served {
			count++
		}
	}
	return count
}

// outage runs the world and returns the longest time for which any partition
// was unserved.
func (w *world) outage(length time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	longest, current := time.Duration(0), time.Duration(0)
	for end := w.now + length; w.now < end; {
		w.runUntil(w.now + step)
		if w.unserved() == 0 {
			current = 0
			continue
		}
		current += step
		longest = max(longest, current)
	}
	return longest
}

func lostIsNotSent(outcome blplatform.Outcome) blplatform.Outcome {
	if outcome == blplatform.Unresolved {
		return blplatform.NotSent
	}
	return outcome
}

// alwaysPromised is a standby that promises and hides that it reaches the store.
func alwaysPromised(answer bllead.StandbyAnswer) bllead.StandbyAnswer {
	answer.Promised = true
	answer.StoreAnswers = false
	return answer
}

// A schedule is run with its later faults shifted by steps, since what breaks
// depends on where in a heartbeat or renewal they fall.
const (
	shifts    = 400 * time.Millisecond
	shiftStep = 25 * time.Millisecond
)

// TestDirectedSchedules runs schedules that break when the rule that they are
// meant for is off, and holds them against the rules in force.
func TestDirectedSchedules(t *testing.T) {
	cases := []struct {
		name     string
		off      sabotage
		schedule func(w *world, shift time.Duration)
	}{
		{
			name: "another node takes lead and standby for ended while they hold",
			off:  sabotage{silenceIsEnd: true},
			schedule: func(w *world, _ time.Duration) {
				lead, standby := w.leadNode(), w.standbyNode()
				w.storeCut[lead.index], w.storeCut[standby.index] = true, true
				for _, n := range w.nodes {
					if n != lead && n != standby {
						w.cutFor(lead, n, time.Minute)
						w.cutFor(standby, n, time.Minute)
					}
				}
			},
		},
		{
			name: "a promise that binds nobody",
			off:  sabotage{answer: alwaysPromised},
			schedule: func(w *world, shift time.Duration) {
				lead, standby := w.leadNode(), w.standbyNode()
				w.storeCut[lead.index] = true
				w.after(300*time.Millisecond+shift, func() { w.cutFor(lead, standby, time.Minute) })
			},
		},
		{
			name: "a lead holds though it may have named another standby",
			off:  sabotage{recordOutcome: lostIsNotSent},
			schedule: func(w *world, shift time.Duration) {
				lead, standby := w.leadNode(), w.standbyNode()
				w.loseRecords = 1
				standby.paused = w.now + 1200*time.Millisecond
				w.after(1150*time.Millisecond+shift, func() {
					w.storeCut[lead.index], w.storeCut[standby.index] = true, true
					for _, n := range w.nodes {
						if n != standby {
							w.cutFor(lead, n, time.Minute)
						}
					}
				})
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			breaks := 0
			for shift := time.Duration(0); shift < shifts; shift += shiftStep {
				broken := steadyWorld(t, c.off)
				c.schedule(broken, shift)
				broken.runUntil(steady + 8*time.Second)
				breaks += len(broken.broken)
				sound := steadyWorld(t, sabotage{})
				c.schedule(sound, shift)
				sound.runUntil(steady + 8*time.Second)
				if len(sound.broken) > 0 {
					t.Errorf("with the rule on, shift %v: got %s, want nothing broken", shift, sound.broken[0])
				}
			}
			if breaks == 0 {
				t.Error("with the rule off: got nothing broken, want a break")
			}
		})
	}
}

// recoveryTarget is the time within which a key is served again after a loss.
const recoveryTarget = 2 * time.Second

// TestRecovery measures for how long partitions are unserved.
func TestRecovery(t *testing.T) {
	cases := []struct {
		name   string
		target time.Duration
		lose   func(w *world)
	}{
		{"owner lost", recoveryTarget, func(w *world) { w.ownerNode().down = true }},
		{"lead lost", recoveryTarget, func(w *world) { w.leadNode().down = true }},
		{"lead and an owner lost", recoveryTarget, func(w *world) {
			owner := w.ownerNode()
			w.leadNode().down = true
			owner.down = true
		}},
		{"standby lost", recoveryTarget, func(w *world) { w.standbyNode().down = true }},
		{"owner frozen", recoveryTarget, func(w *world) { w.ownerNode().paused = w.now + 5*time.Second }},
		{"lead frozen", recoveryTarget, func(w *world) { w.leadNode().paused = w.now + 5*time.Second }},
		{"store down for a minute", 0, func(w *world) { w.begin(fault{kind: "store down", length: time.Minute}) }},
		{"store down, then standby restarted", 0, func(w *world) {
			w.begin(fault{kind: "store down", length: time.Minute})
			standby := w.standbyNode()
			w.after(3*time.Second, standby.restartLeadDuty)
		}},
		{"lead cut from the store", recoveryTarget, func(w *world) { w.storeCut[w.leadNode().index] = true }},
		{"every node restarted", 4 * time.Second, func(w *world) {
			for _, n := range w.nodes {
				n.start()
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(20) {
				w := newWorld(seed, worldNodes, sabotage{})
				w.runUntil(steady)
				if w.leadNode() == nil || w.standbyNode() == nil || w.unserved() > 0 {
					t.Fatalf("seed %d: not steady at %v", seed, steady)
				}
				c.lose(w)
				worst = max(worst, w.outage(12*time.Second))
				if len(w.broken) > 0 {
					t.Fatalf("seed %d: broken: %s", seed, w.broken[0])
				}
			}
			t.Logf("longest time unserved over 20 seeds: %v", worst)
			if worst > c.target {
				t.Errorf("time unserved: got %v, want at most %v", worst, c.target)
			}
		})
	}
}

// ownerNode returns a node that owns partitions and is neither lead nor
// standby.
func (w *world) ownerNode() *node {
	lead, standby := w.leadNode(), w.standbyNode()
	for _, n := range w.nodes {
		if n != lead && n != standby {
			return n
		}
	}
	return nil
}

// restartLeadDuty gives the node's part in leading a new run and leaves its
// grants alone.
func (n *node) restartLeadDuty() {
	host := n.host
	host.Incarnation += "_again"
	n.lead = bllead.New(host, bllead.Timing{Lease: lease, GrantTTL: ttl, Margin: margin})
}

// TestOldAbsenceOfALeaseProvesNothing is a schedule that random faults found: a
// node reads the store before there is a lead, hears that lead later, and reads
// again when an outage has ended through which the lead goes on.
func TestOldAbsenceOfALeaseProvesNothing(t *testing.T) {
	w := newLimitedWorld(1, worldNodes, sabotage{}, 3*time.Second)
	w.slowMessages = 20
	for _, f := range []fault{
		{kind: "pause", node: 2, at: 28 * time.Millisecond, length: 1496 * time.Millisecond},
		{kind: "pause", node: 0, at: 1494 * time.Millisecond, length: 84 * time.Millisecond},
		{kind: "store down", at: 1677 * time.Millisecond, length: 2234 * time.Millisecond},
	} {
		w.inject(f)
	}
	w.runUntil(worldLength)
	for _, broken := range w.broken {
		t.Errorf("broken: %s", broken)
	}
}
