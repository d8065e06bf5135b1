package blreconciler_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blvalue"
)

// restartedAt is when a node that has just started gets its first tick.
const restartedAt = 50 * time.Millisecond

// newRestartedNode returns a node that has just started on a host that was suspended for
// the given time before.
func newRestartedNode(t *testing.T, suspended time.Duration) *node {
	t.Helper()
	state := blreconciler.New(blreconciler.Timing{GrantTTL: ttl, ClockMargin: margin}, 0)
	n := &node{t: t, state: state.WithAddress("here").WithSuspendedBefore(suspended)}
	n.grant = blgrant.Grant{Upstream: "pot_1", Incarnation: "run_1", Service: "pot"}
	return n
}

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

func (n *node) wantNoOrders(when string) {
	n.t.Helper()
	if got := len(n.orders) + len(n.reclaims); got != 0 {
		n.t.Fatalf("orders %s: got %d, want 0", when, got)
	}
}

// TestUpstreamOutlastsRestartedNode guards against a second owner: a node that started
// after a suspension of its host knew nothing of what its earlier run had granted, while
// the upstream went on holding it.
func TestUpstreamOutlastsRestartedNode(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.send(blreconciler.Tick{}, restartedAt)
	n.wantReleaseOfAll(blvalue.Fence{})
	n.answerReclaim("", blreconciler.ResultDone, restartedAt)
	n.sendUpstreamSeen("run_1", restartedAt)
	n.wantNoOrders("before an offer")
	n.offer(7, restartedAt, 3, 4)
	n.wantReleaseOfAll(blvalue.Fence{Term: 1, Sequence: 7})
	n.answerReclaim("run_1", blreconciler.ResultDone, restartedAt)
	if got, want := n.countOrders(blreconciler.KindGrant), 2; got != want {
		t.Errorf("grants after the release: got %d, want %d", got, want)
	}
}

// TestReleaseOfAllPartitionsIsLost guards against a second owner: the one release of all
// partitions got no answer, and grants followed it.
func TestReleaseOfAllPartitionsIsLost(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.sendUpstreamSeen("run_1", restartedAt)
	n.offer(7, restartedAt, 3, 4)
	now := restartedAt
	const attempts = 3
	for range attempts {
		n.wantReleaseOfAll(blvalue.Fence{Term: 1, Sequence: 7})
		n.answerReclaim("run_1", blreconciler.ResultUnknown, now)
		n.wantNoOrders("without a pause")
		now += margin
		n.send(blreconciler.Tick{}, now)
	}
	n.answerReclaim("run_1", blreconciler.ResultDone, now)
	if got, want := n.countOrders(blreconciler.KindGrant), 2; got != want {
		t.Errorf("grants after the release: got %d, want %d", got, want)
	}
}

// TestUpstreamAnnouncesItselfDuringReleaseOfAll guards against grants that a release of
// all partitions overtakes.
func TestUpstreamAnnouncesItselfDuringReleaseOfAll(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.send(blreconciler.Tick{}, restartedAt)
	inFlight := n.reclaims
	n.reclaims = nil
	n.sendUpstreamSeen("run_1", restartedAt)
	n.offer(7, restartedAt, 3)
	n.wantNoOrders("beside the first one")
	n.reclaims = inFlight
	n.answerReclaim("", blreconciler.ResultDone, restartedAt)
	n.wantReleaseOfAll(blvalue.Fence{Term: 1, Sequence: 7})
}

// TestSuspensionBeforeFirstOffer guards against a second owner: a node that had just
// started when its host was suspended didn't count what its earlier run had granted.
func TestSuspensionBeforeFirstOffer(t *testing.T) {
	n := newRestartedNode(t, 0)
	n.sendUpstreamSeen("run_1", restartedAt)
	n.send(blreconciler.Tick{}, restartedAt)
	n.wantNoOrders("before the suspension")
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, restartedAt+2*ttl)
	n.wantReleaseOfAll(blvalue.Fence{})
}

// TestReleaseOfAllWaitsForOtherOrders guards against a second owner: orders that an
// upstream leaves unanswered held up the one that takes all partitions back.
func TestReleaseOfAllWaitsForOtherOrders(t *testing.T) {
	n := restartNode(t)
	renewal := ordersExpired + ttl/2 + 3*margin
	n.offer(1, renewal, 3, 4)
	if got, want := n.countOrders(blreconciler.KindGrant), 2; got != want {
		t.Fatalf("renewals: got %d, want %d", got, want)
	}
	resumed := renewal + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
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

// TestSuspensionBeforeFirstAnnouncement guards against a second owner: a node that had just
// started got no ticks before its upstream announced itself, and learned of a suspension
// only then.
func TestSuspensionBeforeFirstAnnouncement(t *testing.T) {
	n := newRestartedNode(t, 0)
	n.send(blreconciler.Tick{}, restartedAt)
	if !n.state.Busy() {
		t.Fatal("busy while earlier grants last: got false, want true")
	}
	resumed := restartedAt + 2*ttl
	n.suspended = 2 * ttl
	n.send(blreconciler.Tick{}, resumed)
	n.wantReleaseOfAll(blvalue.Fence{})
	n.answerReclaim("", blreconciler.ResultDone, resumed)
	n.send(blreconciler.Tick{}, resumed+ttl+margin)
	if n.state.Busy() {
		t.Error("busy afterwards: got true, want false")
	}
}

// TestReleaseOfAllEnds checks that a node stops asking once all earlier grants have expired.
func TestReleaseOfAllEnds(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.send(blreconciler.Tick{}, restartedAt)
	n.answerReclaim("", blreconciler.ResultUnknown, restartedAt)
	n.send(blreconciler.Tick{}, ttl+margin)
	n.wantNoOrders("after a grant's time to live")
	if n.state.Busy() {
		t.Error("busy: got true, want false")
	}
}

// TestRefusedConnectionEndsReleaseOfAll guards against a second owner: one refused connection
// ended the attempts to take all partitions back until the upstream announced itself.
func TestRefusedConnectionEndsReleaseOfAll(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.send(blreconciler.Tick{}, restartedAt)
	n.answerReclaim("", blreconciler.ResultStopped, restartedAt)
	n.wantNoOrders("without a pause")
	n.send(blreconciler.Tick{}, restartedAt+margin)
	n.wantReleaseOfAll(blvalue.Fence{})
	n.answerReclaim("", blreconciler.ResultDone, restartedAt+margin)
	n.send(blreconciler.Tick{}, restartedAt+2*margin)
	n.wantNoOrders("once it is answered")
}

// TestRefusedConnectionBesideAnnouncement checks that a connection that was refused before the
// upstream announced itself doesn't count as the end of that run.
func TestRefusedConnectionBesideAnnouncement(t *testing.T) {
	n := newRestartedNode(t, time.Hour)
	n.send(blreconciler.Tick{}, restartedAt)
	inFlight := n.reclaims
	n.sendUpstreamSeen("run_1", restartedAt)
	n.offer(7, restartedAt, 3)
	n.reclaims = inFlight
	n.answerReclaim("", blreconciler.ResultStopped, restartedAt)
	if n.stopped {
		t.Error("reports the end of the upstream: got true, want false")
	}
	n.send(blreconciler.Tick{}, restartedAt+margin)
	n.wantReleaseOfAll(n.grant.Fence)
}
