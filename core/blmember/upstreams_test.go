package blmember_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blmember"
	"bergamotlead/core/blvalue"
)

func TestSilentUpstreamIsMarkedLeavingAndThenRemoved(t *testing.T) {
	n := newNode()
	n.send(blmember.Announced{Announcement: blmember.Announcement{Upstream: blvalue.Upstream{Name: "pot_1", Incarnation: "run"}}})
	cases := []struct {
		after   time.Duration
		listed  int
		leaving bool
	}{
		{500 * time.Millisecond, 1, false},
		{200 * time.Millisecond, 1, true},
		{2 * time.Second, 0, false},
	}
	for _, c := range cases {
		n.tick(c.after)
		list := n.state.Announcements(n.now)
		if got := len(list); got != c.listed {
			t.Fatalf("upstreams after %v: got %d, want %d", c.after, got, c.listed)
		}
		if c.listed == 1 && list[0].Upstream.Leaving != c.leaving {
			t.Errorf("leaving after %v: got %t, want %t", c.after, list[0].Upstream.Leaving, c.leaving)
		}
	}
}

// TestEarlierStartIsIgnoredForever guards against an upstream that gets no work until
// its node restarts, because the clock was set back between its run and the one before.
func TestEarlierStartIsIgnoredForever(t *testing.T) {
	n := newNode()
	announce := func(incarnation blvalue.Incarnation, startedAt int64) {
		n.send(blmember.Announced{Announcement: blmember.Announcement{
			Upstream: blvalue.Upstream{Name: "pot_1", Incarnation: incarnation, StartedAt: startedAt}, Sequence: 1,
		}})
	}
	listed := func() blvalue.Incarnation {
		list := n.state.Announcements(n.now)
		if len(list) != 1 {
			return ""
		}
		return list[0].Upstream.Incarnation
	}
	announce("run_1", 2000)
	n.tick(time.Second)
	announce("run_2", 1000)
	if got, want := listed(), blvalue.Incarnation("run_1"); got != want {
		t.Errorf("upstream while the later start is heard: got %q, want %q", got, want)
	}
	n.tick(blmember.DefaultUpstreamTimeouts().RemoveAfter)
	announce("run_2", 1000)
	if got, want := listed(), blvalue.Incarnation("run_2"); got != want {
		t.Errorf("upstream once the later start is silent: got %q, want %q", got, want)
	}
}

// TestLeaveOfEarlierRunEndsLaterOne guards against an upstream that gets no work for
// good, because a leave of an earlier run under its ID arrived late.
func TestLeaveOfEarlierRunEndsLaterOne(t *testing.T) {
	n := newNode()
	leaving := func(sequence uint64) bool {
		n.send(blmember.Announced{Announcement: blmember.Announcement{
			Upstream: blvalue.Upstream{Name: "pot_1", ID: "i-1", Incarnation: "run_2", StartedAt: 2000}, Sequence: sequence,
		}})
		return n.state.Announcements(n.now)[0].Upstream.Leaving
	}
	leaving(1)
	n.send(blmember.Left{ID: "i-1", AtMS: 3000})
	if got := leaving(2); !got {
		t.Error("leaving after the leave: got false, want true")
	}
	n.now = n.now.Add(2 * time.Minute)
	if got := leaving(3); got {
		t.Error("leaving while it announces itself for minutes: got true, want false")
	}
}

// TestRunsThatHaveLeftAreBounded checks that a node forgets the runs that left first.
func TestRunsThatHaveLeftAreBounded(t *testing.T) {
	n := newNode()
	const runs = 100
	for i := range runs {
		n.now = n.now.Add(time.Millisecond)
		n.send(blmember.Left{ID: blvalue.UpstreamID(fmt.Sprint(i)), AtMS: 1000})
	}
	for i, want := range map[int]int{0: 1, runs - 1: 0} {
		upstream := blvalue.Upstream{Name: "pot_1", ID: blvalue.UpstreamID(fmt.Sprint(i)), Incarnation: "run", StartedAt: 1000}
		m := newNode()
		m.state, m.now = n.state, n.now
		m.send(blmember.Announced{Announcement: blmember.Announcement{Upstream: upstream, Sequence: 1}})
		if got := len(m.state.Announcements(m.now)); got != want {
			t.Errorf("upstreams listed after a late announcement of run %d: got %d, want %d", i, got, want)
		}
	}
}
