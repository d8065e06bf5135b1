package bldeliver_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// replayClass is one class of requests in a replay of services that call each other.
type replayClass struct {
	name           string
	service        blvalue.ServiceName
	rank           int
	work           time.Duration
	goal, deadline time.Duration
	// calls is the class of the calls that a request makes one after the other, callCount
	// their number, and callShare the share of the requests that make them.
	calls     string
	callCount int
	callShare float64
}

// replayCount counts how the requests of a class ended.
type replayCount struct {
	all, inGoal, late, refused, failed int
}

func (c replayCount) share() float64 { return float64(c.inGoal+c.late) / float64(max(c.all, 1)) }

func (c replayCount) String() string {
	return fmt.Sprintf("%d of %d in time, %d late, %d refused, %d failed", c.inGoal, c.all, c.late, c.refused, c.failed)
}

// callsReplay runs requests through the delivery duties of one upstream of each service.
// A request holds its slot while its calls run, and fails if one of them isn't answered
// before its deadline.
type callsReplay struct {
	classes map[string]replayClass
	states  map[blvalue.ServiceName]bldeliver.State
	queue   returnEvents
	waiting map[bldeliver.Ticket]*replayRequest
	counts  map[string]*replayCount
	changes []bldeliver.CallsChanged
	random  *rand.Rand
	ticket  bldeliver.Ticket
	now     time.Duration
	// origins is set if the delivery duties learn where requests entered.
	origins bool
}

// replayRequest is a request or a call of one.
type replayRequest struct {
	class     replayClass
	ticket    bldeliver.Ticket
	arrivedAt time.Duration
	startedAt time.Duration
	reply     blring.Reply[bldeliver.AcquireAnswer]
	callsLeft int
	segment   time.Duration
	// done is called when the request has ended.
	done func(answered bool)
}

const replaySlots = 6

func newCallsReplay(seed uint64, origins bool, classes ...replayClass) *callsReplay {
	r := &callsReplay{
		classes: map[string]replayClass{}, states: map[blvalue.ServiceName]bldeliver.State{},
		waiting: map[bldeliver.Ticket]*replayRequest{}, counts: map[string]*replayCount{},
		random: rand.New(rand.NewPCG(seed, 11)), origins: origins,
	}
	for _, class := range classes {
		r.classes[class.name] = class
		r.counts[class.name] = &replayCount{}
	}
	for _, service := range replayHosts {
		r.decide(service, bldeliver.ConfigChanged{Accepted: blconfig.Accepted{
			Revision: 1, Plan: blconfig.Plan{Limits: blconfig.Limits{QueueLength: 64}},
		}})
		r.decide(service, bldeliver.UpstreamsSeen{Announcements: []blmember.Announcement{{
			Upstream: blvalue.Upstream{Name: blvalue.UpstreamName(service), Service: service, Incarnation: "1", Slots: replaySlots},
		}}})
	}
	return r
}

func (r *callsReplay) schedule(at time.Duration, run func()) {
	heap.Push(&r.queue, returnEvent{at: at, run: run})
}

func (r *callsReplay) decide(service blvalue.ServiceName, message bldeliver.Message) {
	state, effects := bldeliver.Decide(r.states[service], message, bltimer.Instant(r.now))
	r.states[service] = state
	for _, effect := range effects {
		if effect.Calls != nil {
			r.changes = append(r.changes, *effect.Calls)
			continue
		}
		effect.Reply.Put(effect.Answer)
	}
	var answered []*replayRequest
	for ticket := bldeliver.Ticket(1); ticket <= r.ticket; ticket++ {
		if request, ok := r.waiting[ticket]; ok && r.started(request) {
			answered = append(answered, request)
		}
	}
	for _, request := range answered {
		r.proceed(request)
	}
}

// started takes the answer of a waiting request, and reports whether it got a slot.
func (r *callsReplay) started(request *replayRequest) bool {
	answer, ok := request.reply.Poll()
	if !ok {
		return false
	}
	delete(r.waiting, request.ticket)
	if answer.Refusal != nil {
		r.counts[request.class.name].refused++
		r.schedule(r.now, func() { request.done(false) })
		return false
	}
	request.startedAt = r.now
	return true
}

// arrive sends a request that entered at a host of origin.
func (r *callsReplay) arrive(name string, origin blvalue.ServiceName, done func(bool)) {
	class := r.classes[name]
	r.counts[name].all++
	r.ticket++
	request := &replayRequest{
		class: class, ticket: r.ticket, arrivedAt: r.now, done: done, reply: blring.NewReply[bldeliver.AcquireAnswer](),
	}
	if r.random.Float64() < class.callShare {
		request.callsLeft = class.callCount
	}
	work := time.Duration((0.9 + 0.2*r.random.Float64()) * float64(class.work))
	request.segment = work / time.Duration(request.callsLeft+1)
	r.waiting[request.ticket] = request
	if !r.origins {
		origin = ""
	}
	r.decide(class.service, bldeliver.Acquire{
		Ticket: request.ticket, Upstream: blvalue.UpstreamName(class.service), Service: class.service, Class: name, Rank: class.rank,
		Origin: origin, Reply: request.reply, Deadline: bltimer.Instant(r.now + class.deadline), Goal: bltimer.Instant(r.now + class.goal),
	})
}

// proceed runs the next part of a request, and then the call that follows it.
func (r *callsReplay) proceed(request *replayRequest) {
	r.schedule(r.now+request.segment, func() {
		if request.callsLeft == 0 {
			r.end(request, true)
			return
		}
		request.callsLeft--
		r.arrive(request.class.calls, request.class.service, func(answered bool) {
			if !answered {
				r.end(request, false)
				return
			}
			r.proceed(request)
		})
	})
}

func (r *callsReplay) end(request *replayRequest, answered bool) {
	elapsed := r.now - request.arrivedAt
	count := r.counts[request.class.name]
	switch {
	case !answered || elapsed > request.class.deadline:
		answered = false
		count.failed++
	case elapsed > request.class.goal:
		count.late++
	default:
		count.inGoal++
	}
	r.decide(request.class.service, bldeliver.Release{
		Ticket: request.ticket, Result: bldeliver.ResultAnswered, Latency: r.now - request.startedAt,
	})
	request.done(answered)
}

// offer schedules callers' requests of a class from from to until. They enter at the hosts
// of all services.
func (r *callsReplay) offer(name string, perSecond float64, from, until time.Duration) {
	r.offerFrom(name, perSecond, from, until, replayHosts...)
}

// offerFrom schedules requests that enter at the hosts of the given services.
func (r *callsReplay) offerFrom(name string, perSecond float64, from, until time.Duration, origins ...blvalue.ServiceName) {
	for at := from; at < until; at += time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)) {
		origin := origins[r.random.IntN(len(origins))]
		r.schedule(at, func() { r.arrive(name, origin, func(bool) {}) })
	}
}

// warmUp is the time after which a replay counts. The classes of calls are recognised by
// then.
const warmUp = 5 * time.Second

func (r *callsReplay) run(length time.Duration) {
	r.schedule(warmUp, func() {
		for name := range r.counts {
			r.counts[name] = &replayCount{}
		}
	})
	for at := loadTick; at < length; at += loadTick {
		r.schedule(at, func() {
			for _, service := range replayHosts {
				r.decide(service, bldeliver.Tick{})
			}
		})
	}
	for len(r.queue) > 0 {
		event := heap.Pop(&r.queue).(returnEvent)
		r.now = event.at
		event.run()
	}
}

// served returns the share of all requests of the classes that were answered.
func (r *callsReplay) served(names ...string) float64 {
	var sum replayCount
	for _, name := range names {
		sum.all += r.counts[name].all
		sum.inGoal += r.counts[name].inGoal
		sum.late += r.counts[name].late
	}
	return sum.share()
}
