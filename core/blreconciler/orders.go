package blreconciler

import (
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// reconcile reports changes to the grant duty and sends the orders that are due.
func (s State) reconcile(now bltimer.Instant) (State, []Effect) {
	s, effects := s.withoutExpiredReclaim(now).withoutOutlasting(now).reportChanges(now)
	s, reclaims := s.reclaimEffects(now)
	effects = append(effects, reclaims...)
	if s.stopped || s.reclaim.due || s.upstream.Incarnation == "" || s.partitions == 0 {
		return s, effects
	}
	s, sends := s.sendDue(now)
	return s, append(effects, sends...)
}

// sendDue sends the orders that are due, releases beside grants: neither waits for the
// answers to the other.
func (s State) sendDue(now bltimer.Instant) (State, []Effect) {
	if s.sendingGrants && s.sendingReleases {
		return s, nil
	}
	grants, releases := byKind(s.permitted(s.dueOrders(now), now))
	var effects []Effect
	if !s.sendingReleases && len(releases) > 0 {
		s.sendingReleases = true
		releases = releases[:min(len(releases), maxOrdersPerSend)]
		s = s.withSending(releases)
		effects = append(effects, Release{Send: s.send(releases...)})
	}
	if !s.sendingGrants && len(grants) > 0 {
		s.sendingGrants = true
		grants = grants[:min(len(grants), maxOrdersPerSend)]
		s = s.withSending(grants)
		effects = append(effects, s.send(grants...))
	}
	return s, effects
}

// dueOrders returns the orders that are due for partitions without an order in flight.
func (s State) dueOrders(now bltimer.Instant) []Order {
	var orders []Order
	for p, state := range s.states.All() {
		if state.sending {
			continue
		}
		if order, due := s.due(p, state, now); due {
			orders = append(orders, order)
		}
	}
	return orders
}

func byKind(orders []Order) (grants, releases []Order) {
	for _, order := range orders {
		if order.Kind == KindRelease {
			releases = append(releases, order)
			continue
		}
		grants = append(grants, order)
	}
	return grants, releases
}

// withSending returns the state with the orders in flight.
func (s State) withSending(orders []Order) State {
	for _, order := range orders {
		state, _ := s.states.Get(order.Partition)
		state.sending = true
		s.states = s.states.With(order.Partition, state)
	}
	return s
}

func (s State) send(orders ...Order) Send {
	return Send{Upstream: s.upstream, Address: s.address, Partitions: s.partitions, Orders: orders}
}

// maxOrdersPerSend bounds the orders in flight at once.
const maxOrdersPerSend = 128

// renewDivisor sets the share of the grant TTL that is left when a grant is
// renewed: one half.
const renewDivisor = 2

// due returns the order that a partition needs now, if any.
func (s State) due(p blvalue.Partition, state partitionState, now bltimer.Instant) (Order, bool) {
	if state.releasing {
		return Order{Kind: KindRelease, Partition: p, Fence: state.fence}, !state.released
	}
	if !now.Before(s.grant.Until) {
		return Order{}, false
	}
	if state.heldUntil.Sub(now) > s.timing.GrantTTL/renewDivisor {
		return Order{}, false
	}
	if !state.heldUntil.Before(s.grant.Until.Add(-s.timing.ClockMargin)) {
		// A renewal would extend nothing: the lead has not renewed the node's grant.
		return Order{}, false
	}
	return Order{
		Kind: KindGrant, Partition: p, Fence: state.fence, Until: s.grant.Until, Handover: state.handover,
	}, true
}

// reportChanges drops partitions that the upstream can't use any more and
// reports changes to the grant duty.
func (s State) reportChanges(now bltimer.Instant) (State, []Effect) {
	holdings := blgrant.UpstreamHoldings{Upstream: s.upstream.Name, Incarnation: s.upstream.Incarnation}
	var confirmed, released []blvalue.Partition
	for p, state := range s.states.All() {
		switch {
		case !state.releasing && now.Before(state.heldUntil):
			confirmed = append(confirmed, p)
		case state.releasing && (state.released || !s.reclaim.due) && state.unusable(now):
			released = append(released, p)
			if state.returnedHandover != "" {
				holdings.Handovers = append(holdings.Handovers, blgrant.Handover{Partition: p, Token: state.returnedHandover})
			}
			s.states = s.states.Without(p)
		}
	}
	holdings.Confirmed = blvalue.NewPartitionSet(confirmed...)
	holdings.Released = blvalue.NewPartitionSet(released...)
	if len(released) == 0 && holdings.Confirmed.Equal(s.confirmed) {
		return s, nil
	}
	s.confirmed = holdings.Confirmed
	return s, []Effect{HoldingsChanged{Holdings: holdings}}
}

// unusable reports whether the upstream can't use the partition any more: it
// has returned the partition and no order without an answer can restore it, or
// all its grants have expired.
func (p partitionState) unusable(now bltimer.Instant) bool {
	if p.sending {
		return false
	}
	return p.released && !now.Before(p.unansweredUntil) || !now.Before(max(p.mayHoldUntil, p.unansweredUntil))
}

// ordersAnswered records the upstream's answers. One to an order that was sent before the
// upstream had announced itself names no incarnation.
func (s State) ordersAnswered(m OrdersAnswered, now bltimer.Instant) (State, []Effect) {
	if m.Incarnation == "" {
		// A refused connection says nothing of the run that announces itself next.
		return s.reclaimAnswered(m.Answers[0], now).reconcile(now)
	}
	if m.Incarnation != s.upstream.Incarnation {
		return s, nil
	}
	reachable, stopped := false, false
	for _, answer := range m.Answers {
		reachable = reachable || answer.Result == ResultDone || answer.Result == ResultRefused
		stopped = stopped || answer.Result == ResultStopped
		s = s.answered(answer, now)
	}
	s.stopped = s.stopped || stopped
	s.backoff = s.backoff.withAnswers(m.Answers, now)
	s, effects := s.reconcile(now)
	if reachable {
		effects = append(effects, UpstreamResponded{Incarnation: m.Incarnation})
	}
	if stopped {
		effects = append(effects, UpstreamStopped{Incarnation: m.Incarnation})
	}
	return s, effects
}

// answered records the answer to one order.
func (s State) answered(answer Answer, now bltimer.Instant) State {
	if answer.Order.Kind == KindReleaseAll {
		return s.reclaimAnswered(answer, now)
	}
	if answer.Order.Kind == KindRelease {
		s.sendingReleases = false
	} else {
		s.sendingGrants = false
	}
	if state, ok := s.states.Get(answer.Order.Partition); ok {
		s.states = s.states.With(answer.Order.Partition, s.withAnswer(state, answer))
	}
	return s
}

// withAnswer records the answer to an order for one partition. A grant that was in flight at
// a suspension may last as much longer at the upstream.
func (s State) withAnswer(state partitionState, answer Answer) partitionState {
	inFlight := state.suspendedInFlight
	state.sending, state.suspendedInFlight = false, 0
	state.attempts = state.attempts.withAnswer(answer)
	order := answer.Order
	if order.Kind == KindRelease {
		if answer.Result == ResultDone && state.releasing {
			state.released = true
			state.returnedHandover = answer.Handover
		}
		return state
	}
	if answer.Result == ResultUnsent || answer.Result == ResultStopped {
		return state
	}
	expires := order.Until.Add(s.timing.ClockMargin + inFlight)
	state.mayHoldUntil = max(state.mayHoldUntil, expires)
	state.mayOutlast = state.mayOutlast || inFlight > 0
	// It may have arrived after all partitions were taken back, or have left after that.
	overtaken := answer.SentAt.Before(s.reclaimedAt)
	state.released = state.released && !overtaken && answer.Result == ResultRefused
	switch answer.Result {
	case ResultDone:
		if overtaken {
			return state
		}
		state.heldUntil = max(state.heldUntil, order.Until.Add(-s.timing.ClockMargin))
		state.mayOutlast = state.mayOutlast && order.Until.Add(s.timing.ClockMargin).Before(state.mayHoldUntil)
		state.handover = ""
	case ResultRefused:
		state.heldUntil = 0
		state.fence = s.grant.Fence
	case ResultUnknown:
		state.unansweredUntil = max(state.unansweredUntil, expires)
	case ResultUnsent, ResultStopped:
	}
	return state
}
