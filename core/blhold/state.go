package blhold

import (
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// place is one partition at the upstream.
type place struct {
	fence blvalue.Fence
	// handover goes with the first grant.
	handover string
	// heldUntil is when the upstream surely still holds the partition.
	heldUntil bltimer.Instant
	// usedUntil is when the upstream surely holds it no more, whatever became
	// of the orders that got no answer.
	usedUntil bltimer.Instant
	// doubtUntil is when the last order without an answer can do nothing more.
	doubtUntil bltimer.Instant
	// sending tells that an order is under way.
	sending bool
	// leaving tells that the partition is to be given back.
	leaving bool
	// released tells that the upstream has given it back.
	released bool
	// returned is what it gave back with the partition.
	returned string
}

// State is the duty's immutable state.
type State struct {
	timing     Timing
	partitions int
	upstream   blvalue.Upstream
	address    string
	grant      blgrant.Grant
	places     bltable.Table[blvalue.Partition, place]
	// startedAt is when this duty first saw the upstream. Orders of an earlier
	// run of the node may be under way until a grant later.
	startedAt bltimer.Instant
	// confirmed is what the grant duty was told last.
	confirmed blvalue.PartitionSet
	sending   bool
}

// New returns the state of a node without an upstream.
func New(timing Timing) State {
	return State{timing: timing}
}

// Busy reports whether the duty has anything to wait for.
func (s State) Busy() bool {
	return s.places.Len() > 0
}

// Decide computes the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Tick:
		return s.step(now)
	case UpstreamSeen:
		return s.upstreamSeen(m, now), nil
	case GrantChanged:
		return s.grantChanged(m, now)
	case Sent:
		return s.sent(m, now)
	}
	return s, nil
}

// upstreamSeen starts anew with each run of the upstream, which holds nothing.
func (s State) upstreamSeen(m UpstreamSeen, now bltimer.Instant) State {
	s.address = m.Address
	s.partitions = m.Partitions
	if m.Upstream.Incarnation == s.upstream.Incarnation {
		s.upstream = m.Upstream
		return s
	}
	return State{
		timing: s.timing, upstream: m.Upstream, address: m.Address, startedAt: now, partitions: s.partitions,
	}
}

func (s State) grantChanged(m GrantChanged, now bltimer.Instant) (State, []Effect) {
	if m.Grant.Incarnation != s.upstream.Incarnation {
		return s, nil
	}
	before := s.grant
	s.grant = m.Grant
	if before.Fence != m.Grant.Fence {
		s = s.withSet(now)
	}
	return s.step(now)
}

// withSet brings the places in line with the partitions granted.
func (s State) withSet(now bltimer.Instant) State {
	handovers := make(map[blvalue.Partition]string, len(s.grant.Handovers()))
	for _, handover := range s.grant.Handovers() {
		handovers[handover.Partition] = handover.Token
	}
	for p := range s.grant.Set.All() {
		known, ok := s.places.Get(p)
		// What has lapsed may have been another upstream's meanwhile: it comes back
		// under the latest fence.
		if ok && !known.leaving && now.Before(known.heldUntil) {
			continue
		}
		handover := handovers[p]
		if handover == "" && !known.leaving {
			handover = known.handover
		}
		known = place{
			fence: s.grant.Fence, handover: handover,
			usedUntil: max(known.usedUntil, s.startedAt.Add(s.timing.GrantTTL)), doubtUntil: known.doubtUntil, sending: known.sending,
		}
		s.places = s.places.With(p, known)
	}
	for p, known := range s.places.All() {
		if !s.grant.Set.Has(p) && !known.leaving {
			known.leaving = true
			known.doubtUntil = max(known.doubtUntil, s.startedAt.Add(s.timing.GrantTTL))
			s.places = s.places.With(p, known)
		}
	}
	return s.withDropped(now)
}

// withDropped adds partitions that the grant duty wants given back and that
// this run of the node never granted itself.
func (s State) withDropped(now bltimer.Instant) State {
	for p := range s.grant.Dropping().All() {
		if _, ok := s.places.Get(p); ok {
			continue
		}
		s.places = s.places.With(p, place{
			fence: s.grant.Fence, leaving: true,
			usedUntil: s.startedAt.Add(s.timing.GrantTTL), doubtUntil: min(now, s.startedAt.Add(s.timing.GrantTTL)),
		})
	}
	return s
}

// step sends what is due and tells what has changed.
func (s State) step(now bltimer.Instant) (State, []Effect) {
	s, effects := s.settle(now)
	if s.sending || s.upstream.Incarnation == "" || s.partitions == 0 {
		return s, effects
	}
	var orders []Order
	for p, known := range s.places.All() {
		order, due := s.due(p, known, now)
		if !due {
			continue
		}
		known.sending = true
		s.places = s.places.With(p, known)
		orders = append(orders, order)
		if len(orders) == mostOrders {
			break
		}
	}
	if len(orders) == 0 {
		return s, effects
	}
	s.sending = true
	return s, append(effects, Send{
		Upstream: s.upstream, Address: s.address, Partitions: s.partitions, Orders: orders,
	})
}

// mostOrders bounds the orders that are sent at once.
const mostOrders = 128

// renewPart is the part of a grant after which it is renewed.
const renewPart = 2

// due returns the order that a partition needs now, if any.
func (s State) due(p blvalue.Partition, known place, now bltimer.Instant) (Order, bool) {
	if known.leaving {
		return Order{Kind: KindRelease, Partition: p, Fence: known.fence}, !known.released
	}
	if !now.Before(s.grant.Until) {
		return Order{}, false
	}
	if known.heldUntil.Sub(now) > s.timing.GrantTTL/renewPart {
		return Order{}, false
	}
	return Order{
		Kind: KindGrant, Partition: p, Fence: known.fence, Until: s.grant.Until, Handover: known.handover,
	}, true
}

// settle forgets places that the upstream can't use any more and tells the
// grant duty what changed.
func (s State) settle(now bltimer.Instant) (State, []Effect) {
	kept := blgrant.Kept{Upstream: s.upstream.Name, Incarnation: s.upstream.Incarnation}
	var confirmed, released []blvalue.Partition
	for p, known := range s.places.All() {
		switch {
		case !known.leaving && now.Before(known.heldUntil):
			confirmed = append(confirmed, p)
		case known.leaving && known.over(now):
			released = append(released, p)
			if known.returned != "" {
				kept.Handovers = append(kept.Handovers, blgrant.Handover{Partition: p, Token: known.returned})
			}
			s.places = s.places.Without(p)
		}
	}
	kept.Confirmed = blvalue.NewPartitionSet(confirmed...)
	kept.Released = blvalue.NewPartitionSet(released...)
	if len(released) == 0 && kept.Confirmed.Equal(s.confirmed) {
		return s, nil
	}
	s.confirmed = kept.Confirmed
	return s, []Effect{Kept{Kept: kept}}
}

// over reports whether the upstream can't use the place any more: it gave it
// back and nothing without an answer can bring it back, or all has lapsed.
func (k place) over(now bltimer.Instant) bool {
	if k.sending {
		return false
	}
	return k.released && !now.Before(k.doubtUntil) || !now.Before(max(k.usedUntil, k.doubtUntil))
}

// sent takes the answers of the upstream.
func (s State) sent(m Sent, now bltimer.Instant) (State, []Effect) {
	if m.Incarnation != s.upstream.Incarnation {
		return s, nil
	}
	s.sending = false
	heard, ended := false, false
	for _, answer := range m.Answers {
		heard = heard || answer.Result == ResultDone || answer.Result == ResultRefused
		ended = ended || answer.Result == ResultEnded
		if known, ok := s.places.Get(answer.Order.Partition); ok {
			s.places = s.places.With(answer.Order.Partition, s.answered(known, answer))
		}
	}
	s, effects := s.step(now)
	if heard {
		effects = append(effects, Heard{Incarnation: m.Incarnation})
	}
	if ended {
		effects = append(effects, Ended{Incarnation: m.Incarnation})
	}
	return s, effects
}

func (s State) answered(known place, answer Answer) place {
	known.sending = false
	order := answer.Order
	if order.Kind == KindRelease {
		if answer.Result == ResultDone && known.leaving {
			known.released = true
			known.returned = answer.Handover
		}
		return known
	}
	if answer.Result == ResultUnsent || answer.Result == ResultEnded {
		return known
	}
	known.usedUntil = max(known.usedUntil, order.Until.Add(s.timing.Margin))
	switch answer.Result {
	case ResultDone:
		known.heldUntil = max(known.heldUntil, order.Until.Add(-s.timing.Margin))
		known.handover = ""
	case ResultRefused:
		known.heldUntil = 0
		known.fence = s.grant.Fence
	case ResultUnknown:
		known.doubtUntil = max(known.doubtUntil, order.Until.Add(s.timing.Margin))
	case ResultUnsent, ResultEnded:
	}
	return known
}
