package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	ttl    = 3 * time.Second
	margin = 100 * time.Millisecond
	// started is when the node first sees the upstream.
	started = time.Minute
	// ordersExpired is when no order of an earlier incarnation of the node can
	// be in flight.
	ordersExpired = started + ttl + margin
)

// node runs the decisions of the reconciler and answers in place of the upstream.
type node struct {
	t        *testing.T
	state    blreconciler.State
	grant    blgrant.Grant
	orders   []blreconciler.Order
	reclaims []blreconciler.Order
	holdings blgrant.UpstreamHoldings
	stopped  bool
	// suspended is the time for which the host has been suspended.
	suspended time.Duration
}

func newNode(t *testing.T) *node {
	t.Helper()
	n := &node{t: t, state: blreconciler.New(blreconciler.Timing{GrantTTL: ttl, ClockMargin: margin}, 0)}
	n.grant = blgrant.Grant{Upstream: "pot_1", Incarnation: "run_1", Service: "pot"}
	n.sendUpstreamSeen("run_1", started)
	return n
}

func (n *node) sendUpstreamSeen(incarnation blvalue.Incarnation, now time.Duration) {
	n.send(blreconciler.UpstreamSeen{
		Upstream: blvalue.Upstream{Name: "pot_1", Incarnation: incarnation}, Address: "here", Partitions: 16,
	}, now)
}

func (n *node) send(message blreconciler.Message, now time.Duration) {
	var effects []blreconciler.Effect
	state := n.state.WithSuspended(n.suspended, bltimer.Instant(now))
	n.state, effects = blreconciler.Decide(state, message, bltimer.Instant(now))
	for _, effect := range effects {
		switch e := effect.(type) {
		case blreconciler.Send:
			n.orders = append(n.orders, e.Orders...)
		case blreconciler.Release:
			n.orders = append(n.orders, e.Orders...)
		case blreconciler.Reclaim:
			n.reclaims = e.Orders
		case blreconciler.HoldingsChanged:
			n.holdings = e.Holdings
		case blreconciler.UpstreamStopped:
			n.stopped = true
		}
	}
}

// offer changes the grant of the upstream.
func (n *node) offer(sequence uint64, now time.Duration, partitions ...blvalue.Partition) {
	n.grant = n.grant.WithOffer(blgrant.Offer{
		Fence: blvalue.Fence{Term: 1, Sequence: sequence}, TTL: ttl, HasSet: true, Set: blvalue.NewPartitionSet(partitions...),
	}, bltimer.Instant(now))
	n.send(blreconciler.GrantChanged{Grant: n.grant}, now)
}

// answer gives every order in flight the same result.
func (n *node) answer(result blreconciler.Result, now time.Duration) {
	n.t.Helper()
	if len(n.orders) == 0 {
		n.t.Fatal("orders: got none, want some")
	}
	answers := map[blreconciler.Kind][]blreconciler.Answer{}
	for _, order := range n.orders {
		answers[order.Kind] = append(answers[order.Kind],
			blreconciler.Answer{Order: order, Result: result, SentAt: bltimer.Instant(now), Handover: "token"})
	}
	n.orders = nil
	for _, kind := range []blreconciler.Kind{blreconciler.KindRelease, blreconciler.KindGrant} {
		if len(answers[kind]) > 0 {
			n.send(blreconciler.OrdersAnswered{Incarnation: "run_1", Answers: answers[kind]}, now)
		}
	}
}

func TestOrderOutcomes(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, n *node)
	}{
		{"a grant is confirmed once it is answered", func(t *testing.T, n *node) {
			n.offer(1, ordersExpired, 3)
			if got := n.holdings.Confirmed.Has(3); got {
				t.Error("confirmed before the answer: got true, want false")
			}
			n.answer(blreconciler.ResultDone, ordersExpired)
			if got := n.holdings.Confirmed.Has(3); !got {
				t.Error("confirmed: got false, want true")
			}
		}},
		{"a partition is returned when the release is answered", func(t *testing.T, n *node) {
			n.offer(1, ordersExpired, 3)
			n.answer(blreconciler.ResultDone, ordersExpired)
			n.offer(2, ordersExpired+time.Second)
			n.answer(blreconciler.ResultDone, ordersExpired+time.Second)
			if got := n.holdings.Released.Has(3); !got {
				t.Error("released: got false, want true")
			}
			if got := len(n.holdings.Handovers); got != 1 {
				t.Errorf("handovers: got %d, want 1", got)
			}
		}},
		{"an unanswered grant may arrive late: its partition isn't released before the grant has expired", func(t *testing.T, n *node) {
			n.offer(1, ordersExpired, 3)
			n.answer(blreconciler.ResultUnknown, ordersExpired)
			n.offer(2, ordersExpired+time.Second)
			// The repeated grant is answered first, then the release.
			n.answer(blreconciler.ResultDone, ordersExpired+time.Second)
			if len(n.orders) > 0 {
				n.answer(blreconciler.ResultDone, ordersExpired+time.Second)
			}
			if got := n.holdings.Released.Has(3); got {
				t.Error("released while the unanswered order may arrive: got true, want false")
			}
			n.send(blreconciler.Tick{}, ordersExpired+ttl+2*margin+time.Second)
			if got := n.holdings.Released.Has(3); !got {
				t.Error("released after the grant has expired: got false, want true")
			}
		}},
		{"orders of an earlier incarnation of the node may arrive until a grant TTL has passed", func(t *testing.T, n *node) {
			n.offer(1, started, 3)
			n.answer(blreconciler.ResultDone, started)
			n.offer(2, started+time.Second)
			n.answer(blreconciler.ResultDone, started+time.Second)
			if got := n.holdings.Released.Has(3); got {
				t.Error("released at once: got true, want false")
			}
			n.send(blreconciler.Tick{}, ordersExpired+time.Millisecond)
			if got := n.holdings.Released.Has(3); !got {
				t.Error("released later: got false, want true")
			}
		}},
		{"a refused grant is sent again under the latest fence", func(t *testing.T, n *node) {
			n.offer(1, ordersExpired, 3)
			n.offer(2, ordersExpired, 3, 4)
			n.answer(blreconciler.ResultRefused, ordersExpired)
			for _, order := range n.orders {
				if order.Partition == 3 && order.Fence.Sequence != 2 {
					t.Errorf("fence: got %s, want the latest", order.Fence)
				}
			}
		}},
		{"a stopped upstream is reported at once", func(t *testing.T, n *node) {
			n.offer(1, ordersExpired, 3)
			n.answer(blreconciler.ResultStopped, ordersExpired)
			if !n.stopped {
				t.Error("stopped: got false, want true")
			}
		}},
		{"a new incarnation of the upstream holds nothing", func(t *testing.T, n *node) {
			n.offer(1, ordersExpired, 3)
			n.answer(blreconciler.ResultDone, ordersExpired)
			n.sendUpstreamSeen("run_2", ordersExpired+time.Second)
			if n.state.Busy() {
				t.Error("busy: got true, want false")
			}
		}},
		{"nothing is granted after the node's own grant has expired", func(t *testing.T, n *node) {
			n.offer(1, ordersExpired, 3)
			n.answer(blreconciler.ResultDone, ordersExpired)
			n.send(blreconciler.Tick{}, ordersExpired+ttl)
			if got := len(n.orders); got != 0 {
				t.Errorf("orders: got %d, want 0", got)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newNode(t)) })
	}
}

func TestExpiredPartitionIsGrantedUnderLaterFence(t *testing.T) {
	n := newNode(t)
	n.offer(1, ordersExpired, 3, 4)
	n.answer(blreconciler.ResultDone, ordersExpired)
	// No lead is heard for longer than a grant TTL. Another upstream may have had
	// the partition in the meantime.
	later := ordersExpired + 2*ttl
	n.offer(5, later, 3, 4)
	if len(n.orders) != 2 {
		t.Fatalf("orders: got %d, want 2", len(n.orders))
	}
	for _, order := range n.orders {
		if got, want := order.Fence.Sequence, uint64(5); got != want {
			t.Errorf("fence of partition %d: got %d, want %d", order.Partition, got, want)
		}
	}
}

// TestRevokedPartitionWaitsForOrdersOfEarlierRun guards against a second owner: a
// restarted node released a partition that it had not granted itself, while a grant
// that its earlier run had sent could still arrive at the upstream.
func TestRevokedPartitionWaitsForOrdersOfEarlierRun(t *testing.T) {
	n := newNode(t)
	n.grant = n.grant.WithOffer(blgrant.Offer{
		Fence: blvalue.Fence{Term: 1, Sequence: 1}, TTL: ttl, HasSet: true, Set: blvalue.NewPartitionSet(3),
	}, bltimer.Instant(started))
	n.offer(2, started+time.Second)
	n.answer(blreconciler.ResultDone, started+time.Second)
	if got := n.holdings.Released.Has(3); got {
		t.Error("released while an order of the earlier run may arrive: got true, want false")
	}
	n.send(blreconciler.Tick{}, ordersExpired+time.Millisecond)
	if got := n.holdings.Released.Has(3); !got {
		t.Error("released once no such order is left: got false, want true")
	}
}
