package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blvalue"
)

// restartNode returns a node that has granted two partitions to run_1 of an upstream.
func restartNode(t *testing.T) *node {
	t.Helper()
	n := newNode(t)
	n.seeRun("run_1", "i-1", ordersExpired)
	n.offer(1, ordersExpired, 3, 4)
	n.answer(blreconciler.ResultDone, ordersExpired)
	return n
}

func (n *node) seeRun(incarnation blvalue.Incarnation, id blvalue.UpstreamID, now time.Duration) {
	n.send(blreconciler.UpstreamSeen{
		Upstream: blvalue.Upstream{Name: "pot_1", Incarnation: incarnation, ID: id}, Address: "here", Partitions: 16,
	}, now)
}

// TestOrdersAfterUpstreamStopped guards against grants that a restarted upstream takes
// under its ID, before the node knows of the restart.
func TestOrdersAfterUpstreamStopped(t *testing.T) {
	n := restartNode(t)
	renewal := ordersExpired + ttl/2 + 3*margin
	n.offer(1, renewal, 3, 4)
	n.answer(blreconciler.ResultStopped, renewal)
	n.send(blreconciler.Tick{}, renewal+margin)
	if got := len(n.orders); got != 0 {
		t.Errorf("orders to a stopped upstream: got %d, want 0", got)
	}
	n.seeRun("run_1", "i-1", renewal+2*margin)
	n.send(blreconciler.Tick{}, renewal+2*margin)
	if got, want := len(n.orders), 2; got != want {
		t.Errorf("orders once it has announced itself again: got %d, want %d", got, want)
	}
}

// TestRestartUnderTheSameIDTakesEarlierOrders guards against a second owner: a
// restarted upstream had taken orders that were meant for its earlier run, and the
// node never took the partitions back that it was not granted again.
func TestRestartUnderTheSameIDTakesEarlierOrders(t *testing.T) {
	cases := []struct {
		name     string
		id       blvalue.UpstreamID
		released int
	}{
		{"under the same ID", "i-1", 1},
		{"under another ID", "i-2", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := restartNode(t)
			restarted := ordersExpired + time.Second
			n.seeRun("run_2", c.id, restarted)
			n.send(blreconciler.Tick{}, restarted)
			if got := len(n.orders); got != 0 {
				t.Fatalf("orders before the grant of the restarted upstream: got %d, want 0", got)
			}
			n.grant = blgrant.Grant{Upstream: "pot_1", Incarnation: "run_2", Service: "pot"}
			n.offer(2, restarted, 4)
			released := 0
			for _, order := range n.orders {
				if order.Kind == blreconciler.KindRelease && order.Partition == 3 && order.Fence.Sequence == 1 {
					released++
				}
				if order.Kind == blreconciler.KindGrant && (order.Partition != 4 || order.Fence.Sequence != 2) {
					t.Errorf("grant: got partition %d under %s, want 4 under the latest fence", order.Partition, order.Fence)
				}
			}
			if released != c.released {
				t.Errorf("releases of the partition that it isn't granted again: got %d, want %d", released, c.released)
			}
		})
	}
}
