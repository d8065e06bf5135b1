package blreconciler

import (
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func (s State) grantChanged(m GrantChanged, now bltimer.Instant) (State, []Effect) {
	if m.Grant.Incarnation != s.upstream.Incarnation {
		return s, nil
	}
	before := s.grant
	s.grant = m.Grant
	renewed := s.withdrawn && now.Before(m.Grant.Until)
	if before.Fence != m.Grant.Fence || renewed {
		s = s.withGrantedSet(now).withWithheld()
		s.withdrawn = false
	}
	return s.reconcile(now)
}

// withGrantedSet aligns the partition states with the granted set.
func (s State) withGrantedSet(now bltimer.Instant) State {
	handovers := make(map[blvalue.Partition]string, len(s.grant.Handovers()))
	for _, handover := range s.grant.Handovers() {
		handovers[handover.Partition] = handover.Token
	}
	for p := range s.grant.Set.All() {
		state, ok := s.states.Get(p)
		// A partition whose grant has expired may have belonged to another
		// upstream in the meantime: it is granted again under the latest fence.
		if ok && !state.releasing && now.Before(state.heldUntil) {
			continue
		}
		handover := handovers[p]
		if handover == "" && !state.releasing {
			handover = state.handover
		}
		state = partitionState{
			fence: s.grant.Fence, handover: handover,
			mayHoldUntil: max(state.mayHoldUntil, s.earlierOrdersUntil()), unansweredUntil: state.unansweredUntil,
			mayOutlast: state.mayOutlast, sending: state.sending, suspendedInFlight: state.suspendedInFlight,
		}
		s.states = s.states.With(p, state)
	}
	for p, state := range s.states.All() {
		if !s.grant.Set.Has(p) && !state.releasing {
			state.releasing = true
			state.unansweredUntil = max(state.unansweredUntil, s.earlierOrdersUntil())
			s.states = s.states.With(p, state)
		}
	}
	return s.withRevoked()
}

// withWithheld takes all partitions back with one order, if more are to be taken back than
// one Release has room for and another upstream may hold them.
func (s State) withWithheld() State {
	if !s.grant.Withheld() {
		return s
	}
	count, until := 0, bltimer.Instant(0)
	for _, state := range s.states.All() {
		if state.releasing && !state.released {
			count++
			until = max(until, state.mayHoldUntil, state.unansweredUntil)
		}
	}
	if count > maxOrdersPerSend {
		s.reclaim = s.reclaim.withDue(until)
	}
	return s
}

// withRevoked adds partitions that the grant duty wants released and that this
// incarnation of the node never granted itself.
func (s State) withRevoked() State {
	for p := range s.grant.Revoked().All() {
		if _, ok := s.states.Get(p); ok {
			continue
		}
		s.states = s.states.With(p, partitionState{
			fence: s.grant.Fence, releasing: true,
			mayHoldUntil: s.earlierOrdersUntil(), unansweredUntil: s.earlierOrdersUntil(),
		})
	}
	return s
}

// earlierOrdersUntil returns the time from which no order that was sent before this duty
// saw the upstream can be in force.
func (s State) earlierOrdersUntil() bltimer.Instant {
	return s.startedAt.Add(s.timing.GrantTTL + s.timing.ClockMargin)
}
