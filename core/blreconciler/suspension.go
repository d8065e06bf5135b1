package blreconciler

import (
	"time"

	"bergamotlead/core/bltimer"
)

// WithSuspended returns the state at now, when the host has been suspended for the given
// time so far. Each decision needs it: one by a state from before a suspension would take
// what the upstream holds for expired. The upstream on the same host was suspended as well,
// and its clock may not have counted that: what it held before it may hold for as much
// longer.
func (s State) WithSuspended(suspended time.Duration, now bltimer.Instant) State {
	length := suspended - s.suspended
	s.suspended = suspended
	if length <= 0 {
		return s
	}
	s.resumedAt = now
	began := now.Add(-length)
	s.reclaim = s.reclaim.withSuspension(began, length)
	if began.Before(s.earlierRunUntil) {
		s.earlierRunUntil = s.earlierRunUntil.Add(length)
		s.reclaim = s.reclaim.withDue(s.earlierRunUntil)
	}
	for p, state := range s.states.All() {
		if began.Before(state.mayHoldUntil) {
			state.mayHoldUntil = state.mayHoldUntil.Add(length)
			state.mayOutlast = true
		}
		if began.Before(state.unansweredUntil) {
			state.unansweredUntil = state.unansweredUntil.Add(length)
		}
		if state.sending {
			state.suspendedInFlight += length
		}
		s.states = s.states.With(p, state)
	}
	return s
}

// withoutOutlasting takes back the partitions that the upstream may hold although the
// node's own grant has expired. One order for all partitions ends sooner than one for
// each, and the node's grants are expired anyway.
func (s State) withoutOutlasting(now bltimer.Instant) State {
	if s.resumedAt == 0 || now.Before(s.grant.Until) {
		return s
	}
	for p, state := range s.states.All() {
		if !state.mayOutlast || state.releasing || !now.Before(state.mayHoldUntil) {
			continue
		}
		state.releasing = true
		s.states = s.states.With(p, state)
		s.withdrawn = true
		s.reclaim = s.reclaim.withDue(state.mayHoldUntil)
	}
	return s
}
