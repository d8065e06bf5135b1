package blreconciler

import (
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// partitionState is the state of one partition at the upstream.
type partitionState struct {
	fence blvalue.Fence
	// handover is sent with the first grant.
	handover string
	// heldUntil is the time until which the upstream is certain to hold the
	// partition.
	heldUntil bltimer.Instant
	// mayHoldUntil is the time from which the upstream is certain not to hold
	// the partition any more, whatever became of the orders that got no answer.
	mayHoldUntil bltimer.Instant
	// unansweredUntil is the time from which the last order without an answer
	// can't take effect any more.
	unansweredUntil bltimer.Instant
	// sending is set while an order is in flight, and suspendedInFlight is the time for
	// which the host has been suspended meanwhile.
	sending           bool
	suspendedInFlight time.Duration
	// releasing is set when the partition is to be released.
	releasing bool
	// released is set when the upstream has returned the partition.
	released bool
	// returnedHandover is the token that it returned with the partition.
	returnedHandover string
	// mayOutlast is set when the upstream may hold the partition for longer than the
	// node's grant lasts, since it got a grant before a suspension. A later grant need
	// not shorten that.
	mayOutlast bool
	attempts   attempts
}

// State is the immutable state of the reconciler duty.
type State struct {
	timing     Timing
	partitions int
	upstream   blvalue.Upstream
	address    string
	grant      blgrant.Grant
	states     bltable.Table[blvalue.Partition, partitionState]
	// startedAt is when this duty first saw the upstream. Orders of an earlier
	// incarnation of the node may be in flight until one grant TTL later.
	startedAt bltimer.Instant
	// confirmed is the set that was last reported to the grant duty.
	confirmed blvalue.PartitionSet
	// sendingGrants is set while a Send is unanswered, and sendingReleases while a Release
	// is. The next one waits for it.
	sendingGrants, sendingReleases bool
	// stopped is set when nothing listens at the upstream's address. No orders are
	// sent until the upstream announces itself again: a later incarnation with the
	// same ID would take them.
	stopped bool
	// suspended is the time for which the host has been suspended, and resumedAt when
	// this state last changed with it.
	suspended time.Duration
	resumedAt bltimer.Instant
	// withdrawn is set when partitions of the grant have been taken back because it had
	// expired. They are granted again if it is renewed.
	withdrawn bool
	// earlierRunUntil is the time from which the upstream holds nothing any more that an
	// earlier run of this node granted, or zero once all has been taken back.
	earlierRunUntil bltimer.Instant
	// reclaim is the task to take all partitions back.
	reclaim reclaim
	// reclaimedAt is when the upstream last returned all partitions. A grant that was
	// sent before may have arrived before.
	reclaimedAt bltimer.Instant
	backoff     backoff
}

// New returns the state of a node that starts at now and knows of no upstream.
func New(timing Timing, now bltimer.Instant) State {
	return State{timing: timing, earlierRunUntil: now.Add(timing.GrantTTL + timing.ClockMargin)}
}

// WithAddress returns a state that expects the upstream at address before it has
// announced itself.
func (s State) WithAddress(address string) State {
	s.address = address
	return s
}

// WithSuspendedBefore returns the state of a node whose host was suspended for the given
// time before the node started. What an earlier run of it granted may last at the
// upstream, whose clock may have stood still as well.
func (s State) WithSuspendedBefore(suspended time.Duration) State {
	if suspended > 0 {
		s.reclaim = s.reclaim.withDue(s.earlierRunUntil)
	}
	return s
}

// Busy reports whether the duty has partitions to renew or release, or may have some to take
// back after a suspension of the host.
func (s State) Busy() bool {
	return s.states.Len() > 0 || s.reclaim.due || s.earlierRunUntil != 0
}

// Decide returns the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Tick:
		return s.reconcile(now)
	case UpstreamSeen:
		return s.upstreamSeen(m, now), nil
	case GrantChanged:
		return s.grantChanged(m, now)
	case OrdersAnswered:
		return s.ordersAnswered(m, now)
	}
	return s, nil
}

// upstreamSeen starts with an empty state for each incarnation of the upstream,
// since a restarted upstream holds no partitions but those of orders that were meant
// for its earlier incarnation.
func (s State) upstreamSeen(m UpstreamSeen, now bltimer.Instant) State {
	s.address = m.Address
	s.partitions = m.Partitions
	s.stopped = false
	if m.Upstream.Incarnation == s.upstream.Incarnation {
		s.upstream = m.Upstream
		return s
	}
	next := State{
		timing: s.timing, upstream: m.Upstream, address: m.Address, startedAt: now, partitions: s.partitions,
		suspended: s.suspended, resumedAt: s.resumedAt, earlierRunUntil: s.earlierRunUntil, reclaim: s.reclaim,
	}
	if s.upstream.Incarnation != "" {
		next.reclaim.sending, next.reclaim.abandoned = false, false
	}
	if m.Upstream.ID != "" && m.Upstream.ID == s.upstream.ID {
		next.states = s.takenBySuccessor(now)
	}
	return next
}

// takenBySuccessor returns the partitions that a later incarnation with the same ID
// may hold: it carries out what was sent to the earlier one, under the earlier fences,
// from its start until it announces itself.
func (s State) takenBySuccessor(now bltimer.Instant) bltable.Table[blvalue.Partition, partitionState] {
	var taken bltable.Table[blvalue.Partition, partitionState]
	for p, state := range s.states.All() {
		if state.sending {
			expires := s.grant.Until.Add(s.timing.ClockMargin + state.suspendedInFlight)
			state.mayHoldUntil = max(state.mayHoldUntil, expires)
			state.unansweredUntil = max(state.unansweredUntil, expires)
		}
		if now.Before(max(state.mayHoldUntil, state.unansweredUntil)) {
			taken = taken.With(p, partitionState{
				fence: state.fence, mayHoldUntil: state.mayHoldUntil, unansweredUntil: state.unansweredUntil, mayOutlast: state.mayOutlast,
			})
		}
	}
	return taken
}
