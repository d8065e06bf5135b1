package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
)

// answerSent gives all orders in flight, which were sent at sentAt, the same result.
func (n *node) answerSent(result blreconciler.Result, sentAt, now time.Duration) {
	orders := n.orders
	n.orders = nil
	answers := make([]blreconciler.Answer, 0, len(orders))
	for _, order := range orders {
		answers = append(answers, blreconciler.Answer{Order: order, Result: result, SentAt: bltimer.Instant(sentAt)})
	}
	n.send(blreconciler.OrdersAnswered{Incarnation: "run_1", Answers: answers}, now)
}

// TestGrantOvertakenByReleaseOfAll guards against a second owner: a grant that was in flight
// at a suspension arrived after the release of all partitions, and was never taken back.
func TestGrantOvertakenByReleaseOfAll(t *testing.T) {
	for _, result := range []blreconciler.Result{blreconciler.ResultUnknown, blreconciler.ResultDone} {
		t.Run(string(result), func(t *testing.T) {
			n := restartNode(t)
			renewal := ordersExpired + ttl/2 + 3*margin
			n.offer(1, renewal, 3, 4)
			resumed := renewal + 2*ttl
			n.suspended = 2 * ttl
			n.send(blreconciler.Tick{}, resumed)
			n.answerReclaim("run_1", blreconciler.ResultDone, resumed)
			n.answerSent(result, renewal, resumed+margin)
			if n.holdings.Released.Has(3) {
				t.Error("reported as released: got true, want false")
			}
			for i := range 10 {
				n.send(blreconciler.Tick{}, resumed+2*margin+time.Duration(i)*margin)
			}
			if got := n.countOrders(blreconciler.KindRelease) + len(n.reclaims); got == 0 {
				t.Error("releases after the late renewal: got 0, want 1 or more")
			}
		})
	}
}

// TestReleaseOfAllClearsStopped guards against orders to an upstream that has stopped, which
// its successor under the same ID would take.
func TestReleaseOfAllClearsStopped(t *testing.T) {
	n := restartNode(t)
	renewal := ordersExpired + ttl/2 + 3*margin
	n.offer(1, renewal, 3, 4)
	resumed := renewal + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
	n.answerSent(blreconciler.ResultStopped, renewal, resumed)
	n.answerReclaim("run_1", blreconciler.ResultUnknown, resumed)
	n.send(blreconciler.Tick{}, resumed+2*margin)
	n.wantNoOrders("to a stopped upstream")
}

// TestReturnedWhileReleaseOfAllIsDue guards against a second owner: a partition counted as
// returned by the time of the start, which a suspension had made later at the upstream.
func TestReturnedWhileReleaseOfAllIsDue(t *testing.T) {
	n := newRestartedNode(t, 0)
	n.sendUpstreamSeen("run_1", restartedAt)
	n.send(blreconciler.Tick{}, restartedAt)
	resumed := restartedAt + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
	n.wantReleaseOfAll(n.grant.Fence)
	n.offer(7, resumed, 3, 4)
	n.offer(8, resumed, 4)
	if n.holdings.Released.Has(3) {
		t.Error("reported as released before the release of all is answered: got true, want false")
	}
}

// TestSuccessorSeenBeforeTick guards against a second owner: an upstream that restarted under
// its ID announced itself before the first tick after a suspension.
func TestSuccessorSeenBeforeTick(t *testing.T) {
	for _, tick := range []bool{true, false} {
		n := restartNode(t)
		resumed := ordersExpired + 2*ttl
		n.suspended = 2 * ttl
		if tick {
			n.send(blreconciler.Tick{}, resumed)
			n.reclaims = nil
		}
		n.seeRun("run_2", "i-1", resumed)
		n.send(blreconciler.Tick{}, resumed)
		if got := len(n.reclaims); got != 1 {
			t.Errorf("tick before it %t: releases of all: got %d, want 1", tick, got)
		}
	}
}

// TestShortSuspensionTakesGrantsBack guards against a release of valid grants, when those of
// the earlier run have long been returned.
func TestShortSuspensionTakesGrantsBack(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.sendUpstreamSeen("run_1", restartedAt)
	n.offer(7, restartedAt, 3, 4)
	n.answerReclaim("run_1", blreconciler.ResultDone, restartedAt)
	n.answer(blreconciler.ResultDone, restartedAt)
	n.suspended = 20 * time.Millisecond
	n.send(blreconciler.Tick{}, restartedAt+100*time.Millisecond)
	n.wantNoOrders("while the grant lasts and all earlier ones are returned")
}

// TestSecondSuspensionDuringReleaseOfAll checks that the release of all partitions is repeated
// after another suspension.
func TestSecondSuspensionDuringReleaseOfAll(t *testing.T) {
	n := restartNode(t)
	resumed := ordersExpired + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
	n.suspended += 3 * ttl
	resumed += 3 * ttl
	n.answerReclaim("run_1", blreconciler.ResultUnknown, resumed)
	n.send(blreconciler.Tick{}, resumed+2*margin)
	if got := len(n.reclaims); got != 1 {
		t.Errorf("releases of all after the second suspension: got %d, want 1", got)
	}
}

// TestReleaseOfAllAnsweredAfterItsEnd guards against a second owner: the answer to a release of
// all partitions that was no longer due passed for that to a later release.
func TestReleaseOfAllAnsweredAfterItsEnd(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.sendUpstreamSeen("run_1", restartedAt)
	until := ttl + margin
	n.offer(7, until-margin, 3, 4)
	n.wantReleaseOfAll(n.grant.Fence)
	now := until + margin
	n.send(blreconciler.Tick{}, now)
	n.answer(blreconciler.ResultDone, now)
	if !n.holdings.Confirmed.Has(3) {
		t.Fatal("confirmed: got false, want true")
	}
	n.offer(8, now, 4)
	if got := n.countOrders(blreconciler.KindRelease); got != 1 {
		t.Fatalf("releases: got %d, want 1", got)
	}
	n.answerReclaim("run_1", blreconciler.ResultDone, now+margin)
	n.answer(blreconciler.ResultUnknown, now+2*margin)
	if n.holdings.Released.Has(3) {
		t.Error("reported as released although its release got no answer: got true, want false")
	}
}
