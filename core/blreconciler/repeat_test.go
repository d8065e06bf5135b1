package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// countSends answers all orders for a time with the same result and returns the number of
// Sends.
func (n *node) countSends(result blreconciler.Result, from, until time.Duration) int {
	sends := 0
	for now := from; now < until; now += step {
		n.send(blreconciler.Tick{}, now)
		for len(n.orders) > 0 && sends < int(ttl/step) {
			sends++
			n.answer(result, now)
		}
	}
	return sends
}

// TestGrantIsRepeatedWhileLeadIsSilent guards against calls without end: once half of its
// time to live had passed, a grant that the lead didn't renew was sent again and again.
func TestGrantIsRepeatedWhileLeadIsSilent(t *testing.T) {
	n := newNode(t)
	n.offer(1, ordersExpired, 3)
	n.answer(blreconciler.ResultDone, ordersExpired)
	if got, want := n.countSends(blreconciler.ResultDone, ordersExpired, ordersExpired+ttl), 0; got > want {
		t.Errorf("sends in one time to live: got %d, want %d", got, want)
	}
}

// TestUnsentOrderIsRepeatedAtOnce guards against a thread that spins on orders that aren't
// worth sending any more.
func TestUnsentOrderIsRepeatedAtOnce(t *testing.T) {
	n := newNode(t)
	n.offer(1, ordersExpired, 3)
	const length = time.Second
	if got, most := n.countSends(blreconciler.ResultUnsent, ordersExpired, ordersExpired+length), 21; got > most {
		t.Errorf("sends in %s: got %d, want at most %d", length, got, most)
	}
}

// TestOrderOfEarlierRunEndsWithItsMargin guards against a second owner: a partition counted
// as returned at the time to live of a grant of the node's earlier run, which may last for
// a clock margin more.
func TestOrderOfEarlierRunEndsWithItsMargin(t *testing.T) {
	n := newNode(t)
	n.offer(1, started, 3)
	n.answer(blreconciler.ResultDone, started)
	n.offer(2, started+margin)
	n.answer(blreconciler.ResultDone, started+margin)
	n.send(blreconciler.Tick{}, started+ttl+margin-time.Millisecond)
	if got := n.holdings.Released.Has(3); got {
		t.Error("returned within the margin: got true, want false")
	}
	n.send(blreconciler.Tick{}, started+ttl+margin)
	if got := n.holdings.Released.Has(3); !got {
		t.Error("returned after it: got false, want true")
	}
}

// TestRenewalShortensNoEarlierHold guards against a second owner: after a suspension an
// upstream held a partition by its grant from before, which ended later than a renewal from
// a heartbeat of before, and nothing took it back.
func TestRenewalShortensNoEarlierHold(t *testing.T) {
	n := restartNode(t)
	sentAt, resumed := ordersExpired+ttl/4, ordersExpired+3*ttl/4
	n.suspended = ttl / 2
	n.grant = n.grant.WithOffer(blgrant.Offer{
		Fence: blvalue.Fence{Term: 1, Sequence: 1}, TTL: ttl, HasSet: true, Set: blvalue.NewPartitionSet(3, 4),
	}, bltimer.Instant(sentAt))
	n.send(blreconciler.GrantChanged{Grant: n.grant}, resumed)
	n.answer(blreconciler.ResultDone, resumed)
	n.send(blreconciler.Tick{}, sentAt+ttl)
	n.wantReleaseOfAll(blvalue.Fence{Term: 1, Sequence: 1})
}
