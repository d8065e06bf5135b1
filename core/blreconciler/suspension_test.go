package blreconciler_test

import (
	"testing"

	"bergamotlead/core/blreconciler"
)

func (n *node) countOrders(kind blreconciler.Kind) int {
	count := 0
	for _, order := range n.orders {
		if order.Kind == kind {
			count++
		}
	}
	return count
}

// TestUpstreamHoldsPartitionsAfterSuspension guards against a second owner: after a
// suspension of the host the upstream went on holding its partitions by its own clock,
// while the node's grant had expired and others had got them.
func TestUpstreamHoldsPartitionsAfterSuspension(t *testing.T) {
	n := restartNode(t)
	resumed := ordersExpired + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
	n.wantReleaseOfAll(n.grant.Fence)
	n.offer(1, resumed, 3, 4)
	if got := n.countOrders(blreconciler.KindGrant); got != 0 {
		t.Errorf("grants before the release is answered: got %d, want 0", got)
	}
	n.answerReclaim("run_1", blreconciler.ResultDone, resumed)
	if got, want := n.countOrders(blreconciler.KindGrant), 2; got != want {
		t.Errorf("grants once the node's grant is renewed: got %d, want %d", got, want)
	}
}

// TestReleaseUnansweredAfterSuspension guards against a second owner: a partition
// counted as returned by the node's clock, while the upstream held it by its own.
func TestReleaseUnansweredAfterSuspension(t *testing.T) {
	n := restartNode(t)
	n.offer(2, ordersExpired+margin, 4)
	n.answer(blreconciler.ResultUnknown, ordersExpired+margin)
	resumed := ordersExpired + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
	if got := n.holdings.Released.Has(3); got {
		t.Error("returned at the end of the suspension: got true, want false")
	}
	n.answer(blreconciler.ResultDone, resumed)
	if got := n.holdings.Released.Has(3); !got {
		t.Error("returned once it is released: got false, want true")
	}
}

// TestSuspensionWithinGrant checks that a suspension that the node's grant outlasts
// takes nothing from the upstream, and that a renewal ends its effect.
func TestSuspensionWithinGrant(t *testing.T) {
	n := restartNode(t)
	resumed := ordersExpired + ttl/2 + 3*margin
	n.suspended = ttl / 2
	n.send(blreconciler.Tick{}, resumed)
	if got := n.countOrders(blreconciler.KindRelease) + len(n.reclaims); got != 0 {
		t.Errorf("releases while the grant lasts: got %d, want 0", got)
	}
	n.offer(1, resumed, 3, 4)
	n.answer(blreconciler.ResultDone, resumed)
	n.suspended = ttl / 2
	n.send(blreconciler.Tick{}, ordersExpired+2*ttl)
	if got := n.countOrders(blreconciler.KindRelease) + len(n.reclaims); got != 0 {
		t.Errorf("releases of partitions that were granted after the suspension: got %d, want 0", got)
	}
}
