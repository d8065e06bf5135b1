package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// TestGrantOfOneBatchFollowsReleaseOfAll guards against a second owner: a grant that waited
// in its batch while all partitions were taken back left after that, and its partition
// counted as returned.
func TestGrantOfOneBatchFollowsReleaseOfAll(t *testing.T) {
	const perSend = 128
	n := newNode(t)
	n.offer(1, ordersExpired, allPartitions(2*perSend)...)
	n.answer(blreconciler.ResultDone, ordersExpired)
	now := ordersExpired + time.Millisecond
	n.grant = n.grant.WithOffer(blgrant.Offer{
		Fence: blvalue.Fence{Term: 1, Sequence: 2}, TTL: ttl, HasSet: true, Withheld: true,
	}, bltimer.Instant(now))
	n.send(blreconciler.GrantChanged{Grant: n.grant}, now)
	if len(n.reclaims) != 1 {
		t.Fatalf("orders to take all back: got %d, want 1", len(n.reclaims))
	}
	last := n.orders[len(n.orders)-1].Partition
	n.send(blreconciler.OrdersAnswered{Incarnation: "run_1", Answers: []blreconciler.Answer{
		{Order: n.reclaims[0], Result: blreconciler.ResultDone, SentAt: bltimer.Instant(now)},
	}}, now)
	n.answer(blreconciler.ResultDone, now+time.Millisecond)
	if n.holdings.Released.Has(last) {
		t.Error("returned after a grant that followed: got true, want false")
	}
	if got := n.countOrders(blreconciler.KindRelease); got != perSend {
		t.Errorf("releases: got %d, want %d", got, perSend)
	}
}
