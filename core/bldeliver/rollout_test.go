package bldeliver_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// rolloutNode runs the decisions of a delivery duty beside one upstream of version "new".
type rolloutNode struct {
	*node
	revision uint64
	kind     blconfig.ServiceKind
}

func newRolloutNode() *rolloutNode {
	n := &rolloutNode{node: &node{
		state: bldeliver.New(), replies: map[bldeliver.Ticket]blring.Reply[bldeliver.AcquireAnswer]{},
	}}
	n.configure(blconfig.RolloutOrder{})
	n.run("run_1", false)
	return n
}

// configure brings a configuration with the order into force, or one without an order if
// it names no target.
func (n *rolloutNode) configure(order blconfig.RolloutOrder) {
	n.revision++
	plan := blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{"pot": {Name: "pot", Kind: n.kind, Slots: 6}},
		Limits:   blconfig.Limits{QueueLength: 64},
	}
	if order.Target != "" {
		order.Service = "pot"
		plan.Rollouts = map[blvalue.ServiceName]blconfig.RolloutOrder{"pot": order}
		plan.Exposure = blconfig.Exposure{Share: 0.1, Reserve: 50}
	}
	n.send(bldeliver.ConfigChanged{Accepted: blconfig.Accepted{Revision: n.revision, Plan: plan}})
}

func (n *rolloutNode) run(incarnation string, cold bool) {
	n.send(bldeliver.UpstreamsSeen{Announcements: []blmember.Announcement{{
		Upstream: blvalue.Upstream{
			Name: "pot_1", Service: "pot", Incarnation: blvalue.Incarnation(incarnation), Version: "new", Slots: 6,
		},
		Address: "here", Cold: cold,
	}}})
}

// allow gives an allowance for run_1 under order 5, as an answer to a heartbeat that is
// sent now.
func (n *rolloutNode) allow(term, requests uint64) {
	n.give(term, blvalue.Allowance{Incarnation: "run_1", Order: 5, Requests: requests, TTL: time.Second})
}

func (n *rolloutNode) give(term uint64, allowance blvalue.Allowance) {
	n.send(bldeliver.AllowancesSeen{SentAt: n.now, Term: term, Allowances: []blvalue.Allowance{allowance}})
}

// request asks for a slot, and returns the ticket and whether the request was sent.
func (n *rolloutNode) request() (bldeliver.Ticket, bool) {
	ticket := n.acquire("a", blconfig.PriorityNormal, time.Second)
	answer, ok := n.replies[ticket].Poll()
	return ticket, ok && answer.Refusal == nil
}

// serve sends a number of requests one after the other, which the upstream answers, and
// returns how many were let through.
func (n *rolloutNode) serve(requests int) int {
	sent := 0
	for range requests {
		ticket, ok := n.request()
		if ok {
			sent++
			n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultAnswered, Latency: 5 * time.Millisecond})
		}
	}
	return sent
}

var orderNew = blconfig.RolloutOrder{Target: "new", Revision: 5, Duration: 12 * time.Second}

// TestAllowances guards against requests to an upstream of an unproven version that the
// lead didn't allow, and against refusals of those that it did.
func TestAllowances(t *testing.T) {
	cases := []struct {
		name string
		run  func(n *rolloutNode)
		// want is how many of ten requests are sent.
		want int
	}{
		{"without an order", func(*rolloutNode) {}, 10},
		{"no allowance", func(n *rolloutNode) { n.configure(orderNew) }, 0},
		{"the upstream is of another version", func(n *rolloutNode) {
			n.configure(blconfig.RolloutOrder{Target: "newer", Revision: 5})
		}, 10},
		{"four allowed", func(n *rolloutNode) { n.configure(orderNew); n.allow(1, 4) }, 4},
		{"four allowed and three of them sent", func(n *rolloutNode) { n.configure(orderNew); n.allow(1, 4); n.serve(3) }, 1},
		{"the allowance was raised", func(n *rolloutNode) { n.configure(orderNew); n.allow(1, 4); n.serve(3); n.allow(1, 9) }, 6},
		{"the allowance was sent again", func(n *rolloutNode) { n.configure(orderNew); n.allow(1, 4); n.serve(3); n.allow(1, 4) }, 1},
		{"a reply to an earlier heartbeat is late", func(n *rolloutNode) {
			n.configure(orderNew)
			n.now = n.now.Add(time.Second)
			n.allow(1, 9)
			n.send(bldeliver.AllowancesSeen{SentAt: n.now.Add(-time.Second / 2), Term: 1, Allowances: []blvalue.Allowance{
				{Incarnation: "run_1", Order: 5, Requests: 4, TTL: time.Second},
			}})
		}, 9},
		{"the allowance expired", func(n *rolloutNode) { n.configure(orderNew); n.allow(1, 4); n.now = n.now.Add(time.Second) }, 0},
		{"the allowance is for a later order", func(n *rolloutNode) {
			n.configure(orderNew)
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 6, Requests: 4, TTL: time.Second})
		}, 0},
		{"the allowance is for an earlier order", func(n *rolloutNode) {
			n.configure(orderNew)
			n.allow(1, 4)
			n.configure(blconfig.RolloutOrder{Target: "newer", Revision: 6})
			n.configure(blconfig.RolloutOrder{Target: "new", Revision: 7, Duration: orderNew.Duration})
		}, 0},
		{"the order was written again with the same target", func(n *rolloutNode) {
			n.configure(orderNew)
			n.allow(1, 4)
			n.serve(1)
			n.configure(blconfig.RolloutOrder{Target: "new", Revision: 6, Duration: orderNew.Duration})
		}, 3},
		{"the allowance arrives before the order", func(n *rolloutNode) { n.allow(1, 4); n.configure(orderNew) }, 4},
		{"the upstream restarted under its id", func(n *rolloutNode) { n.configure(orderNew); n.allow(1, 4); n.run("run_2", false) }, 0},
		{"the upstream was gone for a while", func(n *rolloutNode) {
			n.configure(orderNew)
			n.allow(1, 4)
			n.serve(3)
			n.send(bldeliver.UpstreamsSeen{})
			n.run("run_1", false)
			n.allow(1, 4)
		}, 1},
		{"a late reply of an earlier term", func(n *rolloutNode) { n.configure(orderNew); n.allow(2, 4); n.allow(1, 9) }, 4},
		{"a late reply of an earlier term that allowed all", func(n *rolloutNode) {
			n.configure(orderNew)
			n.allow(2, 4)
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 5, Unlimited: true})
		}, 4},
		{"a later lead allows less", func(n *rolloutNode) { n.configure(orderNew); n.allow(1, 9); n.allow(2, 4) }, 4},
		{"unlimited", func(n *rolloutNode) {
			n.configure(orderNew)
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 5, Unlimited: true})
			n.now = n.now.Add(time.Hour)
		}, 10},
		{"unlimited, and a later lead doesn't know", func(n *rolloutNode) {
			n.configure(orderNew)
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 5, Unlimited: true})
			n.allow(2, 4)
		}, 10},
		{"unlimited, and a later lead allows nothing", func(n *rolloutNode) {
			n.configure(orderNew)
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 5, Unlimited: true})
			n.allow(2, 0)
		}, 0},
		{"unlimited, and the same lead limits it", func(n *rolloutNode) {
			n.configure(orderNew)
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 5, Unlimited: true})
			n.allow(1, 4)
		}, 4},
		{"the lead knows first that the order was written again", func(n *rolloutNode) {
			n.configure(orderNew)
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 5, Unlimited: true})
			n.give(1, blvalue.Allowance{Incarnation: "run_1", Order: 6, Unlimited: true})
		}, 10},
		{"the node knows first that the order was written again", func(n *rolloutNode) {
			n.configure(orderNew)
			n.configure(blconfig.RolloutOrder{Target: "new", Revision: 6, Duration: orderNew.Duration})
			n.allow(1, 4)
		}, 4},
		{"the order was removed", func(n *rolloutNode) { n.configure(orderNew); n.configure(blconfig.RolloutOrder{}) }, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newRolloutNode()
			c.run(n)
			if got := n.serve(10); got != c.want {
				t.Errorf("requests sent of ten: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestRefusalWithoutAllowance guards against a refusal that the entry node takes for a
// failure, or that it doesn't follow at once by an attempt at another upstream.
func TestRefusalWithoutAllowance(t *testing.T) {
	n := newRolloutNode()
	n.configure(orderNew)
	ticket := n.acquire("a", blconfig.PriorityNormal, time.Second)
	answer, ok := n.replies[ticket].Poll()
	if !ok || answer.Refusal == nil {
		t.Fatalf("answer: got %+v, want a refusal", answer)
	}
	if got, want := answer.Refusal.Reason, blvalue.ReasonHeldBack; got != want || answer.Refusal.Outcome != blvalue.OutcomeNotRun {
		t.Errorf("refusal: got %v, want not run, %s", answer.Refusal, want)
	}
}

// TestAllowanceUnderLoad guards against more requests than allowed when many wait, and
// against requests that go on to wait although no more may be sent.
func TestAllowanceUnderLoad(t *testing.T) {
	cases := []struct {
		name string
		// during happens while six requests run and others wait.
		during     func(n *rolloutNode)
		sent, left int
	}{
		{"the allowance is used up", func(*rolloutNode) {}, 8, 0},
		{"the allowance expires", func(n *rolloutNode) { n.now = n.now.Add(time.Second) }, 6, 0},
		{"the upstream restarts", func(n *rolloutNode) { n.run("run_2", false) }, 6, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newRolloutNode()
			n.configure(orderNew)
			n.allow(1, 8)
			tickets := make([]bldeliver.Ticket, 0, 20)
			for range 20 {
				tickets = append(tickets, n.acquire("a", blconfig.PriorityNormal, 10*time.Second))
			}
			c.during(n)
			n.send(bldeliver.Tick{})
			sent := 0
			for _, ticket := range tickets {
				if answer, ok := n.replies[ticket].Poll(); ok && answer.Refusal == nil {
					sent++
					n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultAnswered, Latency: time.Millisecond})
				}
			}
			if sent != c.sent || n.state.Waiting() != c.left {
				t.Errorf("sent and waiting: got %d and %d, want %d and %d", sent, n.state.Waiting(), c.sent, c.left)
			}
		})
	}
}

// TestResults guards against results of requests that don't count: those before the
// order, of another order, or of another run of the upstream.
func TestResults(t *testing.T) {
	answer := func(n *rolloutNode, release bldeliver.Release) {
		release.Ticket, _ = n.request()
		n.send(release)
	}
	good := bldeliver.Release{Result: bldeliver.ResultAnswered, Latency: 5 * time.Millisecond}
	orderNewer := blconfig.RolloutOrder{Target: "newer", Revision: 8}
	var atFive [blvalue.LatencyBuckets]uint64
	atFive[3] = 1
	cases := []struct {
		name string
		run  func(n *rolloutNode)
		want []blvalue.UpstreamResults
	}{
		{"without an order", func(n *rolloutNode) { answer(n, good) }, nil},
		{"no request since the order", func(n *rolloutNode) { answer(n, good); n.configure(orderNewer) },
			[]blvalue.UpstreamResults{{Incarnation: "run_1", Order: 8}}},
		{"an answer", func(n *rolloutNode) { n.configure(orderNewer); answer(n, good) }, []blvalue.UpstreamResults{{
			Incarnation: "run_1", Order: 8, Sent: 1, Classes: []blvalue.ClassResults{{Answered: 1, Latency: atFive}},
		}}},
		{"an error of the server", func(n *rolloutNode) {
			n.configure(orderNewer)
			answer(n, bldeliver.Release{Result: bldeliver.ResultAnswered, Latency: 5 * time.Millisecond, ServerError: true})
		}, []blvalue.UpstreamResults{{
			Incarnation: "run_1", Order: 8, Sent: 1, Classes: []blvalue.ClassResults{{Answered: 1, Failed: 1, Latency: atFive}},
		}}},
		{"a lost answer", func(n *rolloutNode) {
			n.configure(orderNewer)
			answer(n, bldeliver.Release{Result: bldeliver.ResultFailed, Lost: true})
		}, []blvalue.UpstreamResults{{Incarnation: "run_1", Order: 8, Sent: 1, Classes: []blvalue.ClassResults{{Failed: 1}}}}},
		{"a request that the caller cancelled", func(n *rolloutNode) {
			n.configure(orderNewer)
			answer(n, bldeliver.Release{Result: bldeliver.ResultUnused})
		}, []blvalue.UpstreamResults{{Incarnation: "run_1", Order: 8, Sent: 1}}},
		{"an answer in cold start", func(n *rolloutNode) {
			n.configure(orderNewer)
			n.run("run_1", true)
			answer(n, good)
		}, []blvalue.UpstreamResults{{Incarnation: "run_1", Order: 8, Sent: 1, Classes: []blvalue.ClassResults{{Answered: 1}}}}},
		{"an answer to a request from before the order", func(n *rolloutNode) {
			ticket, _ := n.request()
			n.configure(orderNewer)
			n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultAnswered})
		}, []blvalue.UpstreamResults{{Incarnation: "run_1", Order: 8}}},
		{"a request that is running since before the order", func(n *rolloutNode) {
			n.request()
			n.configure(orderNewer)
		}, []blvalue.UpstreamResults{{Incarnation: "run_1", Order: 8, Running: 1}}},
		{"another target", func(n *rolloutNode) {
			n.configure(orderNewer)
			answer(n, good)
			n.request()
			n.configure(blconfig.RolloutOrder{Target: "newest", Revision: 9})
			n.send(bldeliver.Release{Ticket: n.ticket, Result: bldeliver.ResultAnswered})
		}, []blvalue.UpstreamResults{{Incarnation: "run_1", Order: 9}}},
		{"the same target again", func(n *rolloutNode) {
			n.configure(orderNewer)
			answer(n, good)
			n.configure(blconfig.RolloutOrder{Target: "newer", Revision: 9})
		}, []blvalue.UpstreamResults{{
			Incarnation: "run_1", Order: 9, Sent: 1, Classes: []blvalue.ClassResults{{Answered: 1, Latency: atFive}},
		}}},
		{"the upstream restarted", func(n *rolloutNode) {
			n.configure(orderNewer)
			ticket, _ := n.request()
			n.run("run_2", false)
			n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultFailed, Lost: true})
		}, []blvalue.UpstreamResults{
			{Incarnation: "run_1", Order: 8, Sent: 1, Classes: []blvalue.ClassResults{{Failed: 1}}}, {Incarnation: "run_2", Order: 8},
		}},
		{"the upstream restarted long ago", func(n *rolloutNode) {
			n.configure(orderNewer)
			answer(n, good)
			n.run("run_2", false)
			n.now = n.now.Add(time.Minute)
			n.run("run_2", false)
		}, []blvalue.UpstreamResults{{Incarnation: "run_2", Order: 8}}},
		{"the upstream is gone", func(n *rolloutNode) {
			n.configure(orderNewer)
			answer(n, bldeliver.Release{Result: bldeliver.ResultFailed, Lost: true})
			n.send(bldeliver.UpstreamsSeen{})
		}, []blvalue.UpstreamResults{{Incarnation: "run_1", Order: 8, Sent: 1, Classes: []blvalue.ClassResults{{Failed: 1}}}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newRolloutNode()
			c.run(n)
			got := n.state.Results(n.now)
			if len(got) != len(c.want) {
				t.Fatalf("results: got %+v, want %+v", got, c.want)
			}
			for i := range got {
				c.want[i].Upstream = "pot_1"
				if !got[i].SameCounts(c.want[i]) {
					t.Errorf("results: got %+v, want %+v", got[i], c.want[i])
				}
			}
		})
	}
}

// TestOrderAge guards against an age that starts again when an order is written again.
func TestOrderAge(t *testing.T) {
	n := newRolloutNode()
	n.configure(orderNew)
	n.now = n.now.Add(3 * time.Second)
	n.configure(blconfig.RolloutOrder{Target: "new", Revision: 6, Duration: orderNew.Duration})
	if got, want := n.state.Results(n.now)[0].OrderAge, 3*time.Second; got != want {
		t.Errorf("age: got %s, want %s", got, want)
	}
}

// TestOrderOfAnotherDuration guards against an order that is tried again after a rollback and
// is judged by the age and the results of the one before.
func TestOrderOfAnotherDuration(t *testing.T) {
	n := newRolloutNode()
	n.configure(orderNew)
	n.allow(1, 4)
	if got, want := n.serve(4), 4; got != want {
		t.Fatalf("served: got %d, want %d", got, want)
	}
	n.now = n.now.Add(3 * time.Second)
	n.configure(blconfig.RolloutOrder{Target: "new", Revision: 6, Duration: orderNew.Duration + time.Second})
	results := n.state.Results(n.now)[0]
	if results.OrderAge != 0 || results.Sent != 0 {
		t.Errorf("results: got %+v, want none, of an order of age zero", results)
	}
	if got, want := n.serve(1), 0; got != want {
		t.Errorf("served under the earlier allowance: got %d, want %d", got, want)
	}
}

// TestHeldUpstream guards against requests from nodes with an earlier directory that reach
// an upstream which the lead takes for idle, and against keys that lose their owner early.
func TestHeldUpstream(t *testing.T) {
	hold := func(n *rolloutNode, held, gone, full bool) {
		n.send(bldeliver.DirectoryChanged{Directory: blassign.Directory{Full: full, Entries: []blassign.Entry{
			{Upstream: blvalue.Upstream{Name: "pot_1", Incarnation: "run_1"}, Held: held, Gone: gone},
		}}})
	}
	cases := []struct {
		name string
		kind blconfig.ServiceKind
		run  func(n *rolloutNode)
		// want is how many of ten requests are sent.
		want int
	}{
		{"not held", blconfig.ServiceShared, func(n *rolloutNode) { hold(n, false, false, false) }, 10},
		{"held", blconfig.ServiceShared, func(n *rolloutNode) { hold(n, true, false, false) }, 0},
		{"held, owner of keys", blconfig.ServiceExclusive, func(n *rolloutNode) { hold(n, true, false, false) }, 10},
		{"held with an allowance", blconfig.ServiceShared, func(n *rolloutNode) {
			n.configure(orderNew)
			n.allow(1, 10)
			hold(n, true, false, false)
		}, 0},
		{"released", blconfig.ServiceShared, func(n *rolloutNode) { hold(n, true, false, false); hold(n, false, false, false) }, 10},
		{"gone from the directory", blconfig.ServiceShared, func(n *rolloutNode) { hold(n, true, false, false); hold(n, true, true, false) }, 10},
		{"a full directory without it", blconfig.ServiceShared, func(n *rolloutNode) {
			hold(n, true, false, false)
			n.send(bldeliver.DirectoryChanged{Directory: blassign.Directory{Full: true}})
		}, 10},
		{"another run", blconfig.ServiceShared, func(n *rolloutNode) { hold(n, true, false, false); n.run("run_2", false) }, 10},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newRolloutNode()
			n.kind = c.kind
			n.configure(blconfig.RolloutOrder{})
			c.run(n)
			if got := n.serve(10); got != c.want {
				t.Errorf("requests sent of ten: got %d, want %d", got, c.want)
			}
		})
	}
}
