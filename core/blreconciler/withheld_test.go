package blreconciler_test

import (
	"testing"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// allPartitions returns the partitions below count.
func allPartitions(count int) []blvalue.Partition {
	list := make([]blvalue.Partition, 0, count)
	for i := range count {
		list = append(list, blvalue.Partition(i))
	}
	return list
}

// TestWithheldPartitionsAreReleasedOneByOne guards against partitions that another upstream
// holds as well, and that a node takes back with more orders than fit in the time allowed.
func TestWithheldPartitionsAreReleasedOneByOne(t *testing.T) {
	const perSend, kept = 128, 2
	cases := []struct {
		name     string
		taken    int
		withheld bool
		reclaims int
	}{
		{"few", perSend, true, 0},
		{"many", perSend + 1, true, 1},
		{"many that nobody else holds", perSend + 1, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t)
			all := allPartitions(c.taken + kept)
			n.offer(1, ordersExpired, all...)
			for len(n.orders) > 0 {
				n.answer(blreconciler.ResultDone, ordersExpired)
			}
			n.grant = n.grant.WithOffer(blgrant.Offer{
				Fence: blvalue.Fence{Term: 1, Sequence: 2}, TTL: ttl, HasSet: true, Set: blvalue.NewPartitionSet(all[:kept]...), Withheld: c.withheld,
			}, bltimer.Instant(ordersExpired))
			n.send(blreconciler.GrantChanged{Grant: n.grant}, ordersExpired)
			if got := len(n.reclaims); got != c.reclaims {
				t.Fatalf("orders to take all back: got %d, want %d", got, c.reclaims)
			}
			if c.reclaims == 0 {
				return
			}
			n.send(blreconciler.OrdersAnswered{Incarnation: "run_1", Answers: []blreconciler.Answer{
				{Order: n.reclaims[0], Result: blreconciler.ResultDone, SentAt: bltimer.Instant(ordersExpired)},
			}}, ordersExpired)
			if got := n.countOrders(blreconciler.KindGrant); got != kept {
				t.Errorf("grants of what is kept: got %d, want %d", got, kept)
			}
			if got := n.holdings.Released.Len(); got != c.taken {
				t.Errorf("partitions taken back: got %d, want %d", got, c.taken)
			}
		})
	}
}
