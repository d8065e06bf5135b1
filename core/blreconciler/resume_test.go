package blreconciler_test

import (
	"testing"

	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
)

// TestGrantInFlightAtSuspension guards against a second owner: the upstream took a grant
// that was in flight at a suspension, and the node reckoned its end by the clock that
// counts the suspension.
func TestGrantInFlightAtSuspension(t *testing.T) {
	n := newNode(t)
	n.offer(1, ordersExpired, 3)
	resumed := ordersExpired + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
	answer := blreconciler.Answer{Order: n.orders[0], Result: blreconciler.ResultDone, SentAt: bltimer.Instant(ordersExpired)}
	n.orders = nil
	n.send(blreconciler.OrdersAnswered{Incarnation: "run_1", Answers: []blreconciler.Answer{answer}}, resumed)
	n.wantReleaseOfAll(n.grant.Fence)
	n.offer(2, resumed)
	if got := n.holdings.Released.Has(3); got {
		t.Error("returned before the release is answered: got true, want false")
	}
}

// TestAnswerBeforeTickAfterSuspension guards against a second owner: an answer that arrived
// at the resume before a tick was handled without the suspension, and a partition whose
// release had failed counted as returned.
func TestAnswerBeforeTickAfterSuspension(t *testing.T) {
	n := restartNode(t)
	n.offer(2, ordersExpired+margin, 4)
	if got, want := n.countOrders(blreconciler.KindRelease), 1; got != want {
		t.Fatalf("releases: got %d, want %d", got, want)
	}
	resumed := ordersExpired + 2*ttl
	n.suspended = 2*ttl - margin
	n.answer(blreconciler.ResultUnknown, resumed)
	n.send(blreconciler.Tick{}, resumed+margin)
	if got := n.holdings.Released.Has(3); got {
		t.Error("returned before the release is answered: got true, want false")
	}
}
