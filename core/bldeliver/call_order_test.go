package bldeliver_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// overloadedCalls are the reads of one service whose calls go to the service of the
// writes.
func overloadedCalls() []replayClass {
	return []replayClass{
		{"read", "s1", 0, 150 * time.Millisecond, 550 * time.Millisecond, 2 * time.Second, "call", 2, 0.7},
		{"call", "s2", 128, 40 * time.Millisecond, 150 * time.Millisecond, 500 * time.Millisecond, "", 0, 0},
		{"write", "s2", 64, 190 * time.Millisecond, time.Second, 3 * time.Second, "", 0, 0},
	}
}

const (
	readsPerSecond = 23
	replayLength   = 60 * time.Second
)

// TestCallsGoFirst replays reads whose calls lead to a service with too much work. It
// guards against calls that compete with callers' requests: a read whose call is refused
// has wasted its work.
func TestCallsGoFirst(t *testing.T) {
	cases := []struct {
		// load is the work of calls and writes as a multiple of what the slots can do.
		load            float64
		writesPerSecond float64
	}{{0.9, 21.6}, {1.3, 34}, {2, 56}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("load %.1f", c.load), func(t *testing.T) {
			replay := func(origins bool) *callsReplay {
				r := newCallsReplay(3, origins, overloadedCalls()...)
				r.offer("read", readsPerSecond, 0, replayLength)
				r.offer("write", c.writesPerSecond, 0, replayLength)
				r.run(replayLength + 5*time.Second)
				return r
			}
			before, after := replay(false), replay(true)
			for _, name := range []string{"read", "call", "write"} {
				t.Logf("%s before: %v; after: %v", name, before.counts[name], after.counts[name])
			}
			if got, most := after.counts["read"].failed, before.counts["read"].failed/4; got > most {
				t.Errorf("failed reads: got %d, want at most %d", got, most)
			}
			if got, least := after.counts["read"].inGoal, before.counts["read"].inGoal; got <= least {
				t.Errorf("reads in time: got %d, want more than the %d before", got, least)
			}
			checkServed(t, after, "read", "write")
		})
	}
}

// checkServed checks that no class is served less than a quarter as often as all, and that
// none is served less often than the next, less urgent one.
func checkServed(t *testing.T, r *callsReplay, names ...string) {
	t.Helper()
	// margin allows for the random order of arrivals.
	const margin = 0.05
	all := r.served(names...)
	for i, name := range names {
		if got, least := r.counts[name].share(), all/4; got < least {
			t.Errorf("served of %s: got %.3f, want at least a quarter of all, %.3f", name, got, least)
		}
		if i == 0 {
			continue
		}
		if got, most := r.counts[name].share(), r.counts[names[i-1]].share()+margin; got > most {
			t.Errorf("served of %s: got %.3f, want no more than of the more urgent %s, %.3f", name, got, names[i-1], most)
		}
	}
}

// TestBurstOfCalls replays a second in which the reads are three times as many. It guards
// against writes that are starved afterwards.
func TestBurstOfCalls(t *testing.T) {
	r := newCallsReplay(5, true, overloadedCalls()...)
	r.offer("read", 15, 0, 20*time.Second)
	r.offer("read", 60, 10*time.Second, 11*time.Second)
	r.offer("write", 26, 0, 20*time.Second)
	r.run(25 * time.Second)
	for _, name := range []string{"read", "call", "write"} {
		t.Logf("%s: %v", name, r.counts[name])
	}
	if got, most := r.counts["call"].refused, r.counts["call"].all/100; got > most {
		t.Errorf("refused calls: got %d, want at most %d", got, most)
	}
	if got, least := r.counts["write"].share(), 0.9; got < least {
		t.Errorf("served of write: got %.3f, want at least %.3f", got, least)
	}
}

// TestCircleOfCalls replays two services whose requests call each other, with calls alone
// for more work than one of them can do. It guards against callers' requests that get no
// slot at all.
func TestCircleOfCalls(t *testing.T) {
	r := newCallsReplay(7, true,
		replayClass{"read", "s1", 0, 60 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, "ask", 4, 1},
		replayClass{"ask", "s2", 128, 80 * time.Millisecond, 300 * time.Millisecond, time.Second, "", 0, 0},
		replayClass{"write", "s2", 64, 60 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, "check", 4, 1},
		replayClass{"check", "s1", 128, 80 * time.Millisecond, 300 * time.Millisecond, time.Second, "", 0, 0},
	)
	r.offer("read", 40, 0, 30*time.Second)
	r.offer("write", 40, 0, 30*time.Second)
	r.run(40 * time.Second)
	for _, name := range []string{"read", "ask", "write", "check"} {
		t.Logf("%s: %v", name, r.counts[name])
	}
	checkServed(t, r, "read", "write")
}

// TestCallsLeaveCallersTheirShare replays calls for twice the work that an upstream can do.
// It guards against callers' requests that get no slot, and against calls that get less
// than what callers leave.
func TestCallsLeaveCallersTheirShare(t *testing.T) {
	r := newCallsReplay(13, true, overloadedCalls()...)
	r.offer("write", 16, 0, 30*time.Second)
	r.offerFrom("call", 120, 0, warmUp-time.Second, "s1")
	r.offerFrom("call", 300, warmUp-time.Second, 30*time.Second, "s1")
	r.run(35 * time.Second)
	for _, name := range []string{"call", "write"} {
		t.Logf("%s: %v", name, r.counts[name])
	}
	all := r.served("call", "write")
	if got, least := r.counts["write"].share(), all/2; got < least {
		t.Errorf("served of write: got %.3f, want at least half of all, %.3f", got, least)
	}
	// Three quarters of six slots run 2,812 calls in 25 s.
	const least = 2500
	if got := r.counts["call"].inGoal + r.counts["call"].late; got < least {
		t.Errorf("answered calls: got %d, want at least %d", got, least)
	}
}

// callsNode is a node whose classifier has recognised the class "call".
func callsNode(t *testing.T, queue int) *node {
	t.Helper()
	n := &node{state: bldeliver.New(), replies: map[bldeliver.Ticket]blring.Reply[bldeliver.AcquireAnswer]{}}
	n.send(bldeliver.ConfigChanged{Accepted: blconfig.Accepted{
		Revision: 1, Plan: blconfig.Plan{Limits: blconfig.Limits{QueueLength: queue}},
	}})
	n.send(bldeliver.UpstreamsSeen{Announcements: []blmember.Announcement{{
		Upstream: blvalue.Upstream{Name: "pot_1", Service: "pot", Incarnation: "run_1", Slots: 2},
	}}})
	for i := range 200 {
		n.now = n.now.Add(requestInterval)
		n.finish(n.ask("write", replayHosts[i%3], 64, 0, time.Second))
		n.finish(n.ask("call", "s1", 128, 0, time.Second))
	}
	if !n.state.Calls().Contains("call") {
		t.Fatal("calls: got not recognised, want recognised")
	}
	// The measured load of the calls is out of date after a second.
	for range 2 {
		n.now = n.now.Add(time.Second)
		n.finish(n.ask("write", "s1", 64, 0, time.Second))
	}
	return n
}

func (n *node) ask(class string, origin blvalue.ServiceName, rank int, goal, wait time.Duration) bldeliver.Ticket {
	n.ticket++
	n.replies[n.ticket] = blring.NewReply[bldeliver.AcquireAnswer]()
	m := bldeliver.Acquire{
		Ticket: n.ticket, Upstream: "pot_1", Service: "pot", Class: class, Origin: origin, Rank: rank,
		Deadline: n.now.Add(wait), Reply: n.replies[n.ticket],
	}
	if goal > 0 {
		m.Goal = n.now.Add(goal)
	}
	n.send(m)
	return n.ticket
}

// finish ends a request as answered after 40 ms.
func (n *node) finish(ticket bldeliver.Ticket) {
	n.replies[ticket].Poll()
	n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultAnswered, Latency: 40 * time.Millisecond})
}

// TestCallTakesPlaceInFullQueue guards against a call that is refused although callers'
// requests wait, and against a caller's request that is dropped without a return.
func TestCallTakesPlaceInFullQueue(t *testing.T) {
	n := callsNode(t, 3)
	n.ask("write", "s1", 64, 0, time.Second)
	n.ask("write", "s1", 64, 0, time.Second)
	waiting := []bldeliver.Ticket{
		n.ask("write", "s1", 64, 0, time.Second), n.ask("write", "s1", 64, 0, 2*time.Second), n.ask("write", "s1", 64, 0, time.Second),
	}
	call := n.ask("call", "s1", 128, 0, time.Second)
	if n.answered(call) {
		t.Fatal("call: got an answer, want it queued")
	}
	for i, ticket := range waiting {
		answer, dropped := n.replies[ticket].Poll()
		if want := i == 1; dropped != want {
			t.Errorf("caller's request %d: got dropped %t, want %t", i, dropped, want)
		}
		if !dropped {
			continue
		}
		if answer.Refusal == nil || answer.Refusal.Outcome != blvalue.OutcomeNotRun || answer.RetryAfter <= 0 {
			t.Errorf("answer of the dropped request: got %+v, want not run and a return", answer)
		}
	}
	for range 2 {
		n.ask("call", "s1", 128, 0, time.Second)
	}
	refused, ok := n.replies[n.ask("call", "s1", 128, 0, time.Second)].Poll()
	if !ok || refused.Refusal == nil {
		t.Error("call with a queue full of calls: got no refusal, want one")
	}
}

// TestCallIsRefusedForItsDeadlineOnly guards against a call that is refused for its
// latency goal, on which a running request depends.
func TestCallIsRefusedForItsDeadlineOnly(t *testing.T) {
	cases := []struct {
		name           string
		goal, deadline time.Duration
		want           bool
	}{
		{"late for its goal", time.Millisecond, 150 * time.Millisecond, false},
		{"late for its deadline", time.Millisecond, 35 * time.Millisecond, true},
		{"late for its deadline, no goal", 0, 35 * time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := callsNode(t, 64)
			for range 4 {
				n.ask("call", "s1", 128, 0, time.Second)
			}
			ticket := n.ask("call", "s1", 128, c.goal, c.deadline)
			if got := n.answered(ticket); got != c.want {
				t.Errorf("refused: got %t, want %t", got, c.want)
			}
		})
	}
}

// TestCallGoesBeforeCallers guards against a call that waits behind callers' requests of
// a more urgent route.
func TestCallGoesBeforeCallers(t *testing.T) {
	n := callsNode(t, 64)
	first := n.ask("write", "s1", 64, 0, time.Second)
	n.ask("write", "s1", 64, 0, time.Second)
	n.ask("write", "s1", 0, 0, 100*time.Millisecond)
	call := n.ask("call", "s1", 128, 0, time.Second)
	n.finish(first)
	if !n.answered(call) {
		t.Error("free slot: got given to another request, want to the call")
	}
}

// TestAccountsKeepTheirRule guards against classes of calls in a deployment whose client
// accounts already tell calls from callers' requests.
func TestAccountsKeepTheirRule(t *testing.T) {
	n := &node{state: bldeliver.New(), replies: map[bldeliver.Ticket]blring.Reply[bldeliver.AcquireAnswer]{}}
	n.send(bldeliver.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Accounts: map[blvalue.AccountName]blconfig.Account{"awa": {Name: "awa"}}, Limits: blconfig.Limits{QueueLength: 64},
	}}})
	n.send(bldeliver.UpstreamsSeen{Announcements: []blmember.Announcement{{
		Upstream: blvalue.Upstream{Name: "pot_1", Service: "pot", Incarnation: "run_1", Slots: 2},
	}}})
	for i := range 200 {
		n.now = n.now.Add(requestInterval)
		n.finish(n.ask("write", replayHosts[i%3], 64, 0, time.Second))
		n.finish(n.ask("call", "s1", 128, 0, time.Second))
	}
	if got := n.state.Calls().Recognised(); len(got) > 0 {
		t.Errorf("recognised calls: got %v, want none", got)
	}
}
