package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// answerKind gives the orders in flight of one kind the same result and leaves the others
// unanswered.
func (n *node) answerKind(kind blreconciler.Kind, result blreconciler.Result, now time.Duration) {
	n.t.Helper()
	var answers []blreconciler.Answer
	var left []blreconciler.Order
	for _, order := range n.orders {
		if order.Kind != kind {
			left = append(left, order)
			continue
		}
		answers = append(answers, blreconciler.Answer{Order: order, Result: result, SentAt: bltimer.Instant(now)})
	}
	if len(answers) == 0 {
		n.t.Fatalf("orders of kind %s: got none, want some", kind)
	}
	n.orders = left
	n.send(blreconciler.OrdersAnswered{Incarnation: "run_1", Answers: answers}, now)
}

// newNodeWithPartition returns a node whose upstream holds partition 3.
func newNodeWithPartition(t *testing.T) *node {
	t.Helper()
	n := newNode(t)
	n.offer(1, ordersExpired, 3)
	n.answer(blreconciler.ResultDone, ordersExpired)
	return n
}

// TestReleaseWaitsForGrants guards against partitions that a node takes back only after its
// upstream has answered grants of others.
func TestReleaseWaitsForGrants(t *testing.T) {
	n := newNodeWithPartition(t)
	n.offer(2, ordersExpired, 3, 4)
	n.offer(3, ordersExpired+time.Millisecond, 4)
	if got := n.countOrders(blreconciler.KindRelease); got != 1 {
		t.Errorf("releases beside a grant in flight: got %d, want 1", got)
	}
}

// TestRenewalWaitsForReleases guards against grants that expire while a request at work
// keeps the upstream from answering a release.
func TestRenewalWaitsForReleases(t *testing.T) {
	n := newNodeWithPartition(t)
	n.offer(2, ordersExpired, 3, 4)
	n.answer(blreconciler.ResultDone, ordersExpired)
	n.offer(3, ordersExpired+time.Millisecond, 4)
	n.offer(3, ordersExpired+ttl/2+time.Millisecond, 4)
	if got := n.countOrders(blreconciler.KindRelease); got != 1 {
		t.Errorf("releases: got %d, want 1", got)
	}
	if got := n.countOrders(blreconciler.KindGrant); got != 1 {
		t.Errorf("renewals beside a release in flight: got %d, want 1", got)
	}
}

// TestPartitionHasOneOrderInFlight checks that a partition is released only when its grant
// has been answered.
func TestPartitionHasOneOrderInFlight(t *testing.T) {
	n := newNode(t)
	n.offer(1, ordersExpired, 3)
	n.offer(2, ordersExpired+time.Millisecond)
	if got := n.countOrders(blreconciler.KindRelease); got != 0 {
		t.Errorf("releases beside the grant of the partition: got %d, want 0", got)
	}
	n.answer(blreconciler.ResultDone, ordersExpired+2*time.Millisecond)
	if got := n.countOrders(blreconciler.KindRelease); got != 1 {
		t.Errorf("releases after the answer: got %d, want 1", got)
	}
}

// TestLateAnswerRevivesStoppedUpstream guards against orders to a later upstream at the
// address of one that has stopped.
func TestLateAnswerRevivesStoppedUpstream(t *testing.T) {
	n := newNodeWithPartition(t)
	n.offer(2, ordersExpired, 3, 4)
	n.offer(3, ordersExpired+time.Millisecond, 4)
	n.answerKind(blreconciler.KindGrant, blreconciler.ResultStopped, ordersExpired+2*time.Millisecond)
	n.answerKind(blreconciler.KindRelease, blreconciler.ResultUnknown, ordersExpired+3*time.Millisecond)
	n.send(blreconciler.Tick{}, ordersExpired+time.Second)
	if got := len(n.orders); got != 0 {
		t.Errorf("orders to a stopped upstream: got %d, want 0", got)
	}
}

// TestDroppedOrdersEndAllOthers guards against an upstream that gets no orders any more,
// since some were dropped before they were sent.
func TestDroppedOrdersEndAllOthers(t *testing.T) {
	n := newNode(t)
	n.offer(1, ordersExpired, 3)
	dropped := blreconciler.Send{Upstream: blvalue.Upstream{Incarnation: "run_1"}, Orders: n.orders}
	n.orders = nil
	n.send(dropped.Unsent(), ordersExpired)
	n.send(blreconciler.Tick{}, ordersExpired+time.Second)
	if got := n.countOrders(blreconciler.KindGrant); got != 1 {
		t.Errorf("grants after some were dropped: got %d, want 1", got)
	}
}
