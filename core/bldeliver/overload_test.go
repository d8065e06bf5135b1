package bldeliver_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// workClass is one class of requests in a load pattern.
type workClass struct {
	name           string
	rank           int
	share          float64
	work           time.Duration
	goal, deadline time.Duration
}

// pattern returns the load of a server of the Dakar mesh in its busiest second:
// calls of 22 ms together with pages and payments.
func pattern() []workClass {
	return []workClass{
		{"call", -1, 0.45, 22 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond},
		{"pay", 65, 0.15, 120 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond},
		{"look", 66, 0.4, 90 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond},
	}
}

const (
	loadSlots  = 6
	loadLength = 20 * time.Second
	loadTick   = 50 * time.Millisecond
)

type loadEvent struct {
	at    time.Duration
	class int
	// work is the time that the request runs.
	work time.Duration
	// ends is the request that finishes, or nil for an arrival.
	ends *loadRequest
}

type loadRequest struct {
	ticket  bldeliver.Ticket
	class   int
	arrived time.Duration
	started time.Duration
	work    time.Duration
	reply   blring.Reply[bldeliver.AcquireAnswer]
}

type loadEvents []loadEvent

func (e loadEvents) Len() int           { return len(e) }
func (e loadEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e loadEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)        { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// arrivals generates random requests at the given fraction of the server's
// capacity.
func arrivals(seed uint64, load float64) loadEvents {
	random := rand.New(rand.NewPCG(seed, 7))
	mean := 0.0
	for _, class := range pattern() {
		mean += class.share * class.work.Seconds()
	}
	perSecond := load * loadSlots / mean
	var events loadEvents
	for at := time.Duration(0); at < loadLength; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		draw, class := random.Float64(), 0
		for draw > pattern()[class].share && class < len(pattern())-1 {
			draw -= pattern()[class].share
			class++
		}
		work := time.Duration((0.5 + random.Float64()) * float64(pattern()[class].work))
		events = append(events, loadEvent{at: at, class: class, work: work})
	}
	return events
}

// served counts, for each class, all requests and those answered within their
// latency goal, and sums the time that refused requests waited.
type served struct {
	all, inGoal [3]int
	refused     int
	waited      time.Duration
}

func (s *served) share(class int) float64 {
	return float64(s.inGoal[class]) / float64(max(s.all[class], 1))
}

func (s *served) total() float64 {
	all, inGoal := 0, 0
	for class := range s.all {
		all += s.all[class]
		inGoal += s.inGoal[class]
	}
	return float64(inGoal) / float64(max(all, 1))
}

// simulateDelivery runs the arrivals through the decisions of the delivery duty.
func simulateDelivery(events loadEvents) served {
	return simulateDeliveryOn(sharedHost{}, events)
}

// simulateDeliveryOn does the same for an upstream on a host that other workloads slow down.
func simulateDeliveryOn(host sharedHost, events loadEvents) served {
	state, _ := bldeliver.Decide(bldeliver.New(), bldeliver.ConfigChanged{Accepted: blconfig.Accepted{
		Revision: 1, Plan: blconfig.Plan{Limits: blconfig.Limits{QueueLength: 64}},
	}}, 0)
	state, _ = bldeliver.Decide(state, bldeliver.UpstreamsSeen{Announcements: []blmember.Announcement{{
		Upstream: blvalue.Upstream{Name: "pot_1", Service: "pot", Incarnation: "run_1", Slots: loadSlots},
	}}}, 0)
	var result served
	waiting := map[bldeliver.Ticket]*loadRequest{}
	queue := append(loadEvents(nil), events...)
	heap.Init(&queue)
	collectAnswers := func(now time.Duration) {
		for ticket, r := range waiting {
			answer, ok := r.reply.Poll()
			if !ok {
				continue
			}
			delete(waiting, ticket)
			if answer.Refusal != nil {
				result.refused++
				result.waited += now - r.arrived
				continue
			}
			r.started = now
			heap.Push(&queue, loadEvent{at: host.end(now, r.work), ends: r})
		}
	}
	decide := func(message bldeliver.Message, now time.Duration) {
		var effects []bldeliver.Effect
		state, effects = bldeliver.Decide(state, message, bltimer.Instant(now))
		for _, effect := range effects {
			effect.Reply.Put(effect.Answer)
		}
		collectAnswers(now)
	}
	next := loadTick
	for ticket := bldeliver.Ticket(1); queue.Len() > 0; {
		e := heap.Pop(&queue).(loadEvent)
		for ; next <= e.at; next += loadTick {
			decide(bldeliver.Tick{}, next)
		}
		if e.ends != nil {
			class := pattern()[e.ends.class]
			if e.at-e.ends.arrived <= class.goal {
				result.inGoal[e.ends.class]++
			}
			decide(bldeliver.Release{
				Ticket: e.ends.ticket, Result: bldeliver.ResultAnswered, Latency: e.at - e.ends.started, Report: host.report(e.at),
			}, e.at)
			continue
		}
		class := pattern()[e.class]
		result.all[e.class]++
		r := &loadRequest{
			ticket: ticket, class: e.class, arrived: e.at, work: e.work, reply: blring.NewReply[bldeliver.AcquireAnswer](),
		}
		waiting[ticket] = r
		decide(bldeliver.Acquire{
			Ticket: ticket, Upstream: "pot_1", Service: "pot", Rank: class.rank, Class: class.name, Reply: r.reply,
			Deadline: bltimer.Instant(e.at + class.deadline), Goal: bltimer.Instant(e.at + class.goal),
		}, e.at)
		ticket++
	}
	return result
}

// simulateFIFO runs the arrivals through a first-in, first-out queue of fixed
// length that drops a request once its deadline has passed.
func simulateFIFO(events loadEvents) served {
	var result served
	free := make([]time.Duration, loadSlots)
	var starts []time.Duration
	for _, e := range events {
		class := pattern()[e.class]
		result.all[e.class]++
		waiting := 0
		for _, start := range starts {
			if start > e.at {
				waiting++
			}
		}
		if waiting >= 64 {
			result.refused++
			continue
		}
		slot := 0
		for i := range free {
			if free[i] < free[slot] {
				slot = i
			}
		}
		start := max(free[slot], e.at)
		if start > e.at+class.deadline {
			result.refused++
			result.waited += class.deadline
			continue
		}
		starts = append(starts, start)
		free[slot] = start + e.work
		if free[slot]-e.at <= class.goal {
			result.inGoal[e.class]++
		}
	}
	return result
}

// TestOverloadGoodput checks how many requests are answered within their latency
// goal at half the server's capacity and under overload, where a first-in,
// first-out queue spends the slots on requests that are already late. There the
// delivery duty must answer at least twice as many in time as that queue.
func TestOverloadGoodput(t *testing.T) {
	cases := []struct {
		name string
		load float64
		// minShare is the minimum goodput, as a share of what an optimal scheduler
		// with full knowledge could serve within the goal.
		minShare float64
	}{
		{"half the capacity", 0.5, 0.97},
		{"one and a half times the capacity", 1.5, 0.8},
		{"three times the capacity", 3, 0.8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			events := arrivals(3, c.load)
			delivery, fifo := simulateDelivery(events), simulateFIFO(events)
			best := min(1/c.load, 1)
			if got := delivery.total(); got < c.minShare*best {
				t.Errorf("served within the goal: got %.3f, want at least %.3f", got, c.minShare*best)
			}
			if c.load > 1 && delivery.total() < 2*fifo.total() {
				t.Errorf("served within the goal: got %.3f, want twice the %.3f of first-in, first-out", delivery.total(), fifo.total())
			}
			if got := delivery.share(0); got < 0.9*min(1, best*2) {
				t.Errorf("calls within their goal: got %.3f, want 0.9 of the share that fits the capacity", got)
			}
			t.Logf("delivery: all %.3f, calls %.3f, pay %.3f, look %.3f, refused %d after %v on average; first-in, first-out: all %.3f",
				delivery.total(), delivery.share(0), delivery.share(1), delivery.share(2), delivery.refused,
				delivery.waited/time.Duration(max(delivery.refused, 1)), fifo.total())
		})
	}
}
