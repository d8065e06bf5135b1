package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blvalue"
)

const (
	// step is the time between two ticks.
	step = 10 * time.Millisecond
	// maxPause is the longest time that a repeat of an order may wait.
	maxPause = 400 * time.Millisecond
	// maxRepeats is the number of orders that may be repeated at once.
	maxRepeats = 8
)

// grantedNode returns a node whose upstream holds the partitions of all.
func grantedNode(t *testing.T, all ...blvalue.Partition) *node {
	t.Helper()
	n := newNode(t)
	n.offer(1, ordersExpired, all...)
	n.answer(blreconciler.ResultDone, ordersExpired)
	return n
}

// failFor gives all orders the same result for a time and returns when they were sent, from
// start.
func (n *node) failFor(result blreconciler.Result, length, start time.Duration) (sentAt []time.Duration, orders int) {
	for now := start; now <= start+length; now += step {
		n.send(blreconciler.Tick{}, now)
		for len(n.orders) > 0 {
			sentAt = append(sentAt, now-start)
			orders += len(n.orders)
			if len(sentAt) > int(length/step) {
				return sentAt, orders
			}
			n.answer(result, now)
		}
	}
	return sentAt, orders
}

// partitionsUpTo returns the partitions below count.
func partitionsUpTo(count int) []blvalue.Partition {
	all := make([]blvalue.Partition, count)
	for i := range all {
		all[i] = blvalue.Partition(i)
	}
	return all
}

// TestFailingUpstreamIsTriedWithoutPause guards against a node that spends its processor
// time on an upstream whose answers are no answers.
func TestFailingUpstreamIsTriedWithoutPause(t *testing.T) {
	cases := []struct {
		name   string
		kind   blreconciler.Kind
		result blreconciler.Result
		after  []blvalue.Partition
	}{
		{"releases", blreconciler.KindRelease, blreconciler.ResultUnknown, nil},
		{"grants", blreconciler.KindGrant, blreconciler.ResultUnknown, partitionsUpTo(64)},
		{"grants refused under the latest fence", blreconciler.KindGrant, blreconciler.ResultRefused, partitionsUpTo(64)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := grantedNode(t, partitionsUpTo(64)...)
			start := ordersExpired + ttl/2 + margin
			n.offer(2, start, c.after...)
			if got, want := n.countOrders(c.kind), 64; got != want {
				t.Fatalf("%s at first: got %d, want %d", c.kind, got, want)
			}
			n.answer(c.result, start)
			if got, want := n.countOrders(c.kind), 64; got != want {
				t.Fatalf("%s repeated at once: got %d, want %d", c.kind, got, want)
			}
			const length = time.Second
			sentAt, orders := n.failFor(c.result, length, start)
			if got, want := len(sentAt), 6; got > want {
				t.Errorf("sends in %s: got %d, want at most %d", length, got, want)
			}
			if got, want := orders-64, maxRepeats*5; got > want {
				t.Errorf("orders after the first repeat: got %d, want at most %d", got, want)
			}
			for i := 1; i < len(sentAt); i++ {
				if got := sentAt[i] - sentAt[i-1]; got > maxPause+step {
					t.Errorf("pause before send %d: got %s, want at most %s", i, got, maxPause)
				}
			}
		})
	}
}

// TestPauseDelaysNoFirstOrder checks that orders that have not failed twice go at once
// while the upstream is failing.
func TestPauseDelaysNoFirstOrder(t *testing.T) {
	n := grantedNode(t, 1, 2, 3)
	start := ordersExpired + margin
	n.offer(2, start, 2, 3)
	n.failFor(blreconciler.ResultUnknown, ttl/6, start)
	later := start + ttl/6
	n.offer(3, later, 3)
	for attempt := range 2 {
		if got := n.countOrders(blreconciler.KindRelease); got == 0 || n.orders[0].Partition != 2 {
			t.Fatalf("attempt %d at another partition: got orders %+v, want its release first", attempt+1, n.orders)
		}
		n.answer(blreconciler.ResultUnknown, later)
	}
	if got := len(n.orders); got != 0 {
		t.Errorf("orders after two failed attempts: got %d, want 0", got)
	}
}

// TestFailingUpstreamGetsReleaseAfterGrant checks that a partition whose grants fail is
// taken back at once when the node loses it.
func TestFailingUpstreamGetsReleaseAfterGrant(t *testing.T) {
	n := newNode(t)
	n.offer(1, ordersExpired, 3)
	n.answer(blreconciler.ResultUnknown, ordersExpired)
	n.failFor(blreconciler.ResultUnknown, ttl/3, ordersExpired)
	lost := ordersExpired + ttl/3 + step
	n.offer(2, lost)
	if got, want := n.countOrders(blreconciler.KindRelease), 1; got != want {
		t.Errorf("releases at once: got %d, want %d", got, want)
	}
}

// TestProperAnswerEndsPause checks that one proper answer lets all other orders go at
// once, and that the next failure starts anew.
func TestProperAnswerEndsPause(t *testing.T) {
	n := grantedNode(t, partitionsUpTo(64)...)
	start := ordersExpired + margin
	n.offer(2, start)
	n.failFor(blreconciler.ResultUnknown, ttl/3, start)
	now := start + ttl/3
	for ; len(n.orders) == 0; now += step {
		n.send(blreconciler.Tick{}, now)
	}
	n.answer(blreconciler.ResultDone, now)
	if got, want := n.countOrders(blreconciler.KindRelease), 64-maxRepeats; got != want {
		t.Fatalf("releases after a proper answer: got %d, want the other %d", got, want)
	}
	n.answer(blreconciler.ResultUnknown, now)
	if got, want := n.countOrders(blreconciler.KindRelease), 64-maxRepeats; got != want {
		t.Errorf("releases repeated at once after the next failure: got %d, want %d", got, want)
	}
}

// TestRestartEndsPause checks that orders for the next incarnation of a failing upstream
// go at once.
func TestRestartEndsPause(t *testing.T) {
	n := grantedNode(t, 3)
	start := ordersExpired + margin
	n.offer(2, start)
	n.failFor(blreconciler.ResultUnknown, ttl/3, start)
	restarted := start + ttl/3
	n.sendUpstreamSeen("run_2", restarted)
	n.grant = blgrant.Grant{Upstream: "pot_1", Incarnation: "run_2", Service: "pot"}
	n.offer(3, restarted, 4)
	if got, want := n.countOrders(blreconciler.KindGrant), 1; got != want {
		t.Errorf("grants to the next incarnation: got %d, want %d", got, want)
	}
}

// TestAllFailedOrdersAreRepeated checks that the repeats of a failing upstream take turns.
func TestAllFailedOrdersAreRepeated(t *testing.T) {
	n := grantedNode(t, partitionsUpTo(4*maxRepeats)...)
	start := ordersExpired + margin
	n.offer(2, start)
	n.answer(blreconciler.ResultUnknown, start)
	n.answer(blreconciler.ResultUnknown, start)
	repeated := map[blvalue.Partition]bool{}
	for now := start; now < start+2*time.Second; now += step {
		n.send(blreconciler.Tick{}, now)
		for _, order := range n.orders {
			repeated[order.Partition] = true
		}
		if len(n.orders) > 0 {
			n.answer(blreconciler.ResultUnknown, now)
		}
	}
	if got, want := len(repeated), 4*maxRepeats; got != want {
		t.Errorf("partitions with a further release: got %d, want %d", got, want)
	}
}
