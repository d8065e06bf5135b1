package blproof_test

import (
	"time"
)

// suspension is a time for which a host stood still. Its timers did as well, and its clock
// counts it.
type suspension struct {
	at, length time.Duration
}

// seenLateAfter is how long after a suspension a late clock counts it.
const seenLateAfter = 100 * time.Millisecond

// suspend suspends the node's host from now on.
func (n *node) suspend(length time.Duration) {
	if n.pausedUntil > n.sim.now {
		return
	}
	n.pausedUntil = n.sim.now + length
	n.suspensions = append(n.suspensions, suspension{at: n.sim.now, length: length})
}

// uncounted returns the time of suspensions that a mutation keeps out of the node's clock.
func (n *node) uncounted() time.Duration {
	sum := time.Duration(0)
	for _, s := range n.suspensions {
		late := n.sim.mutation.seesSuspensionsLate && n.sim.now < s.at+s.length+seenLateAfter
		if n.sim.mutation.ignoresSuspensions || late {
			sum += min(n.sim.now-s.at, s.length)
		}
	}
	return sum
}

// suspended returns the time of all suspensions so far, including the whole of the present
// one.
func (n *node) suspended() time.Duration {
	sum := time.Duration(0)
	for _, s := range n.suspensions {
		sum += s.length
	}
	return sum
}

// scheduleTimeout runs step on this node after d, in which suspensions don't count.
func (n *node) scheduleTimeout(d time.Duration, step func()) {
	before, generation := n.suspended(), n.generation
	n.sim.schedule(d, func() {
		if added := n.suspended() - before; added > 0 && n.generation == generation {
			n.scheduleTimeout(added, step)
			return
		}
		n.runStep(generation, step)
	})
}

// isSuspended reports whether the node's host stands still.
func (n *node) isSuspended() bool {
	for _, s := range n.suspensions {
		if n.sim.now >= s.at && n.sim.now < s.at+s.length {
			return true
		}
	}
	return false
}

// stoodStill returns for how long the node's host has been suspended by now.
func (n *node) stoodStill() time.Duration {
	sum := time.Duration(0)
	for _, s := range n.suspensions {
		sum += min(n.sim.now-s.at, s.length)
	}
	return sum
}

// onHost runs step on the node's host after d, or at the end of a suspension.
func (n *node) onHost(d time.Duration, step func()) {
	n.sim.schedule(d, func() {
		for _, s := range n.suspensions {
			if n.sim.now >= s.at && n.sim.now < s.at+s.length {
				n.onHost(s.at+s.length-n.sim.now, step)
				return
			}
		}
		step()
	})
}

func (n *node) hasResumedRecently() bool {
	for _, s := range n.suspensions {
		if resumedAt := s.at + s.length; n.sim.now >= resumedAt && n.sim.now < resumedAt+takeBackTime {
			return true
		}
	}
	return false
}
