package blproof_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	partitions  = 8
	tickEvery   = 50 * time.Millisecond
	ttl         = 900 * time.Millisecond
	lease       = 500 * time.Millisecond
	margin      = 30 * time.Millisecond
	callTimeout = 250 * time.Millisecond
)

type placement = blassign.LeastMoves

// event is something that happens at a moment of the world.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sabotage switches a rule off, to see that the model notices.
type sabotage struct {
	name string
	// offered changes a grant on its way to its holder.
	offered func(blgrant.Offered, bltimer.Instant) blgrant.Offered
	// authority changes what the ownership duty is told.
	authority func(bllead.Authority) bllead.Authority
	// answer changes what the standby says.
	answer func(bllead.StandbyAnswer) bllead.StandbyAnswer
	// recordOutcome and chunkOutcome change what is said of a lost answer.
	recordOutcome func(blplatform.Outcome) blplatform.Outcome
	chunkOutcome  func(blplatform.Outcome) blplatform.Outcome
	// silenceIsEnd takes an address that doesn't answer for one whose process
	// has ended.
	silenceIsEnd bool
	// releasedEarly has holders report what they still use as released.
	releasedEarly bool
}

// world runs a few nodes against a store, by a schedule of faults.
type world struct {
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	seq       int
	store     *memoryStore
	storeDown bool
	nodes     []*node
	cut       map[[2]int]bool
	storeCut  map[int]bool
	// loseAnswers, lateWrites and slowMessages are chances in a thousand.
	loseAnswers int
	// holdLimit bounds the time for which a lead goes on without the store; zero
	// is no bound.
	holdLimit    time.Duration
	lateWrites   int
	slowMessages int
	// loseRecords is the number of record writes whose answers are lost next.
	loseRecords int
	sabotage    sabotage
	broken      []string
	fences      map[blvalue.Partition]fenceSeen
	served      int
	refused     int
}

// fenceSeen is the highest fence under which a partition was served, and by
// whom.
type fenceSeen struct {
	fence  blvalue.Fence
	holder blvalue.Incarnation
}

// node is one process with the upstream beside it.
type node struct {
	world  *world
	index  int
	run    int
	host   blvalue.Host
	rate   float64
	offset time.Duration
	paused time.Duration
	down   bool

	lead   bllead.State
	assign blassign.State[placement]
	member blmember.State
	grant  blgrant.State
}

func newWorld(seed uint64, count int, s sabotage) *world {
	return newLimitedWorld(seed, count, s, 0)
}

func newLimitedWorld(seed uint64, count int, s sabotage, limit time.Duration) *world {
	w := &world{
		holdLimit: limit,
		random:    rand.New(rand.NewPCG(seed, 1)), store: newMemoryStore(),
		cut: map[[2]int]bool{}, storeCut: map[int]bool{}, sabotage: s,
		fences: map[blvalue.Partition]fenceSeen{},
	}
	for i := range count {
		n := &node{world: w, index: i, rate: 0.99 + 0.02*w.random.Float64(), offset: time.Duration(w.random.IntN(1e9))}
		w.nodes = append(w.nodes, n)
		n.start()
		w.after(time.Duration(w.random.IntN(int(tickEvery))), n.tick)
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.seq, run: run})
}

func (w *world) chance(perThousand int) bool {
	return w.random.IntN(1000) < perThousand
}

// delay is how long a message takes: mostly little, now and then long.
func (w *world) delay() time.Duration {
	if w.chance(w.slowMessages) {
		return time.Duration(w.random.IntN(int(2 * time.Second)))
	}
	return time.Duration(w.random.IntN(int(3 * time.Millisecond)))
}

func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end && len(w.broken) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) breaks(format string, values ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, values...))
}

func plan() blconfig.Plan {
	return blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{
			"pot": {Name: "pot", Kind: blconfig.ServiceExclusive, Partitions: partitions, Slots: 6},
		},
		Domains: map[blvalue.DomainName]blconfig.DomainState{"a": "in", "b": "in", "c": "in"},
		Timing: blconfig.Timing{
			Heartbeat: 300 * time.Millisecond, GrantTTL: ttl, LeadLease: lease, Freshness: 2 * time.Second, Margin: margin,
		},
	}
}

// start gives the node a new run: a new incarnation without memory.
func (n *node) start() {
	n.run++
	n.down = false
	n.host = blvalue.Host{
		Name: blvalue.HostName(fmt.Sprintf("host_%d", n.index)), Address: fmt.Sprintf("address_%d", n.index),
		Incarnation: blvalue.Incarnation(fmt.Sprintf("%d.%d", n.index, n.run)),
		Domain:      blvalue.DomainName([]string{"a", "b", "c"}[n.index%3]),
	}
	if n.world.holdLimit > 0 {
		// Leadership moves to more capacity there.
		n.host.Capacity = []int{16, 80, 16, 40}[n.index%4]
	}
	n.lead = bllead.New(n.host, bllead.Timing{Lease: lease, GrantTTL: ttl, Margin: margin, HoldLimit: n.world.holdLimit})
	n.assign = blassign.New(placement{}).WithSelf(n.host.Incarnation)
	n.member = blmember.New(n.host)
	n.grant = blgrant.New()
}

// clock is the node's own time, which drifts.
func (n *node) clock() bltimer.Instant {
	return bltimer.Instant(n.offset + time.Duration(float64(n.world.now)*n.rate))
}

// later runs a step at this node after d, once it isn't paused, and only in the
// same run of the process.
func (n *node) later(d time.Duration, step func()) {
	run := n.run
	n.world.after(d, func() { n.step(run, step) })
}

func (n *node) step(run int, step func()) {
	if n.down || n.run != run {
		return
	}
	if n.paused > n.world.now {
		n.world.after(n.paused-n.world.now, func() { n.step(run, step) })
		return
	}
	step()
}

func (n *node) tick() {
	n.world.after(tickEvery, n.tick)
	if n.down || n.paused > n.world.now {
		return
	}
	n.tellLead(bllead.Tick{})
	n.tellAssign(blassign.Tick{})
	n.tellMember(blmember.Announced{Announcement: blmember.Announcement{Upstream: n.upstream()}})
	n.tellMember(blmember.Tick{})
	n.tellGrant(blgrant.Tick{})
	n.useSomething()
}

func (n *node) upstream() blvalue.Upstream {
	return blvalue.Upstream{
		Name: blvalue.UpstreamName(fmt.Sprintf("pot_%d", n.index)), Service: "pot", Slots: 6, ChecksFence: true,
		Incarnation: blvalue.Incarnation(fmt.Sprintf("upstream_%d", n.index)),
	}
}

// useSomething runs a request for a while on a partition that is granted here.
func (n *node) useSomething() {
	p := blvalue.Partition(n.world.random.IntN(partitions))
	reply := blring.NewReply[blgrant.BeginAnswer]()
	var effects []blgrant.Effect
	n.grant, effects = blgrant.Decide(n.grant, blgrant.Begin{Service: "pot", Partition: p, Reply: reply}, n.clock())
	answer := effects[0].(blgrant.AnswerBegin).Answer
	if answer.Refusal != nil {
		n.world.refused++
		return
	}
	n.world.served++
	n.seeFence(p, answer.Permit.Fence)
	n.later(time.Duration(n.world.random.IntN(int(600*time.Millisecond))), func() {
		n.tellGrant(blgrant.End{Permit: answer.Permit.ID})
	})
}

// seeFence checks that a partition that came to another holder came with a
// higher fence.
func (n *node) seeFence(p blvalue.Partition, fence blvalue.Fence) {
	last := n.world.fences[p]
	if last.holder != n.host.Incarnation && last.holder != "" && !last.fence.Less(fence) {
		n.world.breaks("partition %d: fence %v at %s after %v at %s", p, fence, n.host.Name, last.fence, last.holder)
	}
	n.world.fences[p] = fenceSeen{fence: fence, holder: n.host.Incarnation}
}

// checkOwners looks for a partition that two nodes may use at this moment.
func (w *world) checkOwners() {
	for p := range blvalue.Partition(partitions) {
		user := -1
		for _, n := range w.nodes {
			if n.down || !n.grant.Uses("pot", p, n.clock()) {
				continue
			}
			if user >= 0 {
				w.breaks("partition %d is used by host_%d and host_%d", p, user, n.index)
				return
			}
			user = n.index
		}
	}
}

// checkLeads looks for two nodes that may act as lead at this moment.
func (w *world) checkLeads() {
	lead := -1
	for _, n := range w.nodes {
		if n.down || !n.lead.Authority(n.clock()).Holds(n.clock()) {
			continue
		}
		if lead >= 0 {
			w.breaks("host_%d and host_%d both lead", lead, n.index)
			return
		}
		lead = n.index
	}
}
