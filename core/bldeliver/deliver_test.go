package bldeliver_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const service = 5 * time.Millisecond

func ExampleLimiter() {
	limiter := bldeliver.NewLimiter(2, 6, 5*time.Millisecond)
	start := limiter.Limit()
	for range 50 {
		limiter = limiter.WithAnswer(5 * time.Millisecond)
	}
	fmt.Println(start, limiter.Limit(), limiter.WithColdStart().Limit())
	// Output: 2 6 2
}

func TestLimiterBackoff(t *testing.T) {
	warm := bldeliver.NewLimiter(2, 6, service)
	for range 50 {
		warm = warm.WithAnswer(service)
	}
	cases := []struct {
		name  string
		after func(l bldeliver.Limiter) bldeliver.Limiter
		want  int
	}{
		{"warm", func(l bldeliver.Limiter) bldeliver.Limiter { return l }, 6},
		{"one slow answer", func(l bldeliver.Limiter) bldeliver.Limiter { return l.WithAnswer(3 * service) }, 6},
		{"shed once", func(l bldeliver.Limiter) bldeliver.Limiter { return l.WithShed() }, 4},
		{"shed repeatedly", func(l bldeliver.Limiter) bldeliver.Limiter {
			for range 20 {
				l = l.WithShed()
			}
			return l
		}, 1},
		{"became cold without announcing it", func(l bldeliver.Limiter) bldeliver.Limiter {
			for range 20 {
				l = l.WithAnswer(8 * service)
			}
			return l
		}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.after(warm).Limit(); got != c.want {
				t.Errorf("limit: got %d, want %d", got, c.want)
			}
		})
	}
}

// node runs the decisions of a delivery duty and stores the answers.
type node struct {
	state   bldeliver.State
	now     bltimer.Instant
	effects []bldeliver.Effect
	ticket  bldeliver.Ticket
	replies map[bldeliver.Ticket]blring.Reply[bldeliver.AcquireAnswer]
	// cancel ends the next request that acquires a slot.
	cancel func()
}

func newNode(queue int) *node {
	n := &node{state: bldeliver.New(), replies: map[bldeliver.Ticket]blring.Reply[bldeliver.AcquireAnswer]{}}
	n.send(bldeliver.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{
			"pot": {Name: "pot", Slots: 6, ColdStartLimit: 2, ServiceTime: service},
		},
		Limits: blconfig.Limits{QueueLength: queue},
	}}})
	n.announce("run_1", false)
	return n
}

func (n *node) send(message bldeliver.Message) {
	n.state, n.effects = bldeliver.Decide(n.state, message, n.now)
	for _, effect := range n.effects {
		effect.Reply.Put(effect.Answer)
	}
}

func (n *node) announce(incarnation string, cold bool) {
	n.send(bldeliver.UpstreamsSeen{Announcements: []blmember.Announcement{{
		Upstream: blvalue.Upstream{Name: "pot_1", Service: "pot", Incarnation: blvalue.Incarnation(incarnation), Slots: 6},
		Address:  "here", Cold: cold,
	}}})
}

// acquire requests a slot and returns the ticket of the request.
func (n *node) acquire(account string, priority blconfig.Priority, wait time.Duration) bldeliver.Ticket {
	n.ticket++
	n.replies[n.ticket] = blring.NewReply[bldeliver.AcquireAnswer]()
	n.send(bldeliver.Acquire{
		Ticket: n.ticket, Upstream: "pot_1", Service: "pot", Account: blvalue.AccountName(account), Rank: priority.Rank(),
		Deadline: n.now.Add(wait), Cancel: n.cancel, Reply: n.replies[n.ticket],
	})
	return n.ticket
}

// TestRequestRunsAtAnotherService guards against a request that goes to whichever
// upstream a host has, although it is of another service than the request.
func TestRequestRunsAtAnotherService(t *testing.T) {
	n := newNode(8)
	reply := blring.NewReply[bldeliver.AcquireAnswer]()
	n.send(bldeliver.Acquire{Ticket: 1, Upstream: "pot_1", Service: "wishlist", Deadline: n.now.Add(time.Second), Reply: reply})
	answer, ok := reply.Poll()
	if !ok || answer.Refusal == nil || answer.Refusal.Reason != blvalue.ReasonNotOwner {
		t.Errorf("answer: got %+v, %t, want a refusal as not_owner", answer, ok)
	}
}

// answered reports whether the request of the ticket was answered.
func (n *node) answered(ticket bldeliver.Ticket) bool {
	_, ok := n.replies[ticket].Poll()
	return ok
}

func (n *node) running() int {
	upstream, _ := n.state.Upstreams().Get("pot_1")
	return upstream.Running()
}

func TestColdStartLimit(t *testing.T) {
	n := newNode(64)
	for range 10 {
		n.acquire("a", blconfig.PriorityNormal, time.Second)
	}
	if got, want := n.running(), 2; got != want {
		t.Errorf("running in cold start: got %d, want %d", got, want)
	}
	for ticket := bldeliver.Ticket(1); ticket <= 60; ticket++ {
		n.send(bldeliver.Release{Ticket: ticket, Result: bldeliver.ResultAnswered, Latency: service})
		n.acquire("a", blconfig.PriorityNormal, time.Second)
	}
	if got, want := n.running(), 6; got != want {
		t.Errorf("running when warm: got %d, want %d", got, want)
	}
	n.announce("run_2", false)
	upstream, _ := n.state.Upstreams().Get("pot_1")
	if got, want := upstream.Limit(), 2; got != want {
		t.Errorf("limit after a restart: got %d, want %d", got, want)
	}
}

func TestQueueLengthAndDeadlines(t *testing.T) {
	n := newNode(3)
	for range 5 {
		n.acquire("a", blconfig.PriorityNormal, time.Second)
	}
	n.acquire("a", blconfig.PriorityNormal, time.Second)
	if len(n.effects) != 1 || n.effects[0].Answer.Refusal == nil || n.effects[0].Answer.Refusal.Reason != blvalue.ReasonOverload {
		t.Errorf("answer with a full queue: got %v, want overload", n.effects)
	}
	n.now = n.now.Add(time.Second)
	n.send(bldeliver.Tick{})
	if got, want := len(n.effects), 3; got != want {
		t.Fatalf("refusals after the deadline: got %d, want %d", got, want)
	}
	if got, want := n.effects[0].Answer.Refusal.Reason, blvalue.ReasonTimeout; got != want {
		t.Errorf("reason: got %s, want %s", got, want)
	}
}

func TestQueueOrder(t *testing.T) {
	n := newNode(64)
	first := n.acquire("busy", blconfig.PriorityNormal, time.Second)
	second := n.acquire("busy", blconfig.PriorityNormal, time.Second)
	late := n.acquire("busy", blconfig.PriorityNormal, time.Second)
	soon := n.acquire("busy", blconfig.PriorityNormal, 100*time.Millisecond)
	quiet := n.acquire("quiet", blconfig.PriorityNormal, time.Second)
	urgent := n.acquire("busy", blconfig.PriorityUrgent, time.Second)
	order := []bldeliver.Ticket{urgent, quiet, soon, late}
	running := []bldeliver.Ticket{first, second}
	for _, want := range order {
		n.send(bldeliver.Release{Ticket: running[0], Result: bldeliver.ResultUnused})
		if !n.answered(want) {
			t.Fatalf("slot freed by ticket %d: got another request, want ticket %d", running[0], want)
		}
		running = append(running[1:], want)
	}
}

func TestCancelledRequestTakesNoSlot(t *testing.T) {
	n := newNode(64)
	n.acquire("a", blconfig.PriorityNormal, time.Second)
	n.acquire("a", blconfig.PriorityNormal, time.Second)
	cancelled := n.acquire("a", blconfig.PriorityNormal, time.Second)
	n.send(bldeliver.Release{Ticket: cancelled, Result: bldeliver.ResultUnused})
	n.send(bldeliver.Release{Ticket: 1, Result: bldeliver.ResultUnused})
	if got, want := n.running(), 1; got != want {
		t.Errorf("running: got %d, want %d", got, want)
	}
}

// TestLimitFollowsAnnouncedSlots guards against a limit that stays at the slots of the
// upstream's earlier run.
func TestLimitFollowsAnnouncedSlots(t *testing.T) {
	n := &node{state: bldeliver.New(), replies: map[bldeliver.Ticket]blring.Reply[bldeliver.AcquireAnswer]{}}
	n.send(bldeliver.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{"pot": {Name: "pot"}, "list": {Name: "list"}},
	}}})
	runs := []blvalue.Upstream{
		{Name: "a", Service: "pot", Incarnation: "run_1", Slots: 6},
		{Name: "a", Service: "list", Incarnation: "run_2", Slots: 9},
		{Name: "a", Service: "list", Incarnation: "run_3", Slots: 4},
	}
	for _, run := range runs {
		n.send(bldeliver.UpstreamsSeen{Announcements: []blmember.Announcement{{Upstream: run, Address: "here"}}})
		upstream, _ := n.state.Upstreams().Get("a")
		if got := upstream.Limit(); got != run.Slots {
			t.Errorf("limit of %s: got %d, want %d", run.Incarnation, got, run.Slots)
		}
	}
}
