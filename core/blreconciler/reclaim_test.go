package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blvalue"
)

// answerReclaim answers the order that takes all partitions back.
func (n *node) answerReclaim(incarnation blvalue.Incarnation, result blreconciler.Result, now time.Duration) {
	n.t.Helper()
	if len(n.reclaims) != 1 {
		n.t.Fatalf("orders that release all partitions: got %d, want 1", len(n.reclaims))
	}
	answer := blreconciler.Answer{Order: n.reclaims[0], Result: result}
	n.reclaims = nil
	n.send(blreconciler.OrdersAnswered{Incarnation: incarnation, Answers: []blreconciler.Answer{answer}}, now)
}

func (n *node) wantReleaseOfAll(fence blvalue.Fence) {
	n.t.Helper()
	if len(n.reclaims) != 1 || n.reclaims[0].Kind != blreconciler.KindReleaseAll {
		n.t.Fatalf("orders: got %v, want one that releases all partitions", n.reclaims)
	}
	if got := n.reclaims[0].Fence; got != fence {
		n.t.Errorf("fence: got %v, want %v", got, fence)
	}
}

// TestReleaseOfAllWaitsForOtherOrders guards against a second owner: orders that an
// upstream leaves unanswered held up the one that takes all partitions back.
func TestReleaseOfAllWaitsForOtherOrders(t *testing.T) {
	n := restartNode(t)
	renewal := ordersExpired + ttl/2 + 3*margin
	n.send(blreconciler.Tick{}, renewal)
	if got, want := n.countOrders(blreconciler.KindGrant), 2; got != want {
		t.Fatalf("renewals: got %d, want %d", got, want)
	}
	resumed := renewal + 2*ttl
	n.send(blreconciler.Tick{Suspended: 2 * ttl}, resumed)
	n.wantReleaseOfAll(n.grant.Fence)
	n.answerReclaim("run_1", blreconciler.ResultDone, resumed)
	n.offer(1, resumed, 3, 4)
	renewals := n.orders
	n.answer(blreconciler.ResultDone, renewal)
	if n.holdings.Confirmed.Has(3) {
		t.Error("held by a renewal from before the release: got true, want false")
	}
	if got, want := n.countOrders(blreconciler.KindGrant), len(renewals); got != want {
		t.Errorf("grants afterwards: got %d, want %d", got, want)
	}
}
