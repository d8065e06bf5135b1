package blrollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	service  = blvalue.ServiceName("pot")
	simTick  = 20 * time.Millisecond
	leadTick = 60 * time.Millisecond
	// coldTime is how long a started upstream is cold, and coldRate the number of requests
	// that its node passes to it per second meanwhile.
	coldTime = 3 * time.Second
	coldRate = 4
	// shortFreshness is how long a node without an answer of a lead goes on sending, where
	// the options set nothing, and platformFreshness how long it does on the platform.
	shortFreshness    = 2500 * time.Millisecond
	platformFreshness = time.Minute
	attempts          = 3
	// orderAt is when the operator writes the order, to an established lead.
	orderAt                = 5 * time.Second
	oldVersion, newVersion = "v1", "v2"
)

// behaviour is how an upstream answers: the part of the requests that it fails and by
// what factor it is slower.
type behaviour func(u *simNode, class string, now time.Duration) (failing, slowness float64)

func healthy(*simNode, string, time.Duration) (float64, float64) { return 0.003, 1 }

// simOptions describes a fleet.
type simOptions struct {
	old, added int
	rate       float64
	heartbeat  time.Duration
	duration   time.Duration
	version    behaviour
	others     behaviour
	classes    []simClass
	startAfter time.Duration
	freshness  time.Duration
	seed       uint64
}

// simClass is a class with its part of the traffic and its usual service time.
type simClass struct {
	name  string
	part  float64
	usual time.Duration
}

func defaultClasses() []simClass {
	return []simClass{{"read", 0.6, 150 * time.Millisecond}, {"write", 0.3, 190 * time.Millisecond}, {"upload", 0.1, 130 * time.Millisecond}}
}

// simRequest is a request that an upstream runs.
type simRequest struct {
	node    *simNode
	run     int
	class   string
	sentAt  time.Duration
	endsAt  time.Duration
	failed  bool
	counted bool
}

// simNode is a host with a node and an upstream.
type simNode struct {
	sim       *fleetSim
	index     int
	run       int
	upstream  blvalue.Upstream
	host      blvalue.Host
	startedAt time.Duration
	behaviour behaviour
	stopped   bool

	orderSeenAt   time.Duration
	orderRev      uint64
	orderDuration time.Duration
	sent          uint64
	running       int
	classes       map[string]*blvalue.ClassResults
	allowance     blvalue.Allowance
	allowedUntil  time.Duration
	lastColdAt    time.Duration

	// listed and held are the nodes whose upstreams the directory lists, and the upstreams
	// held in it. It is that of the lead of term, by step.
	term, step uint64
	listed     map[int]bool
	held       map[blvalue.Incarnation]bool
	answeredAt time.Duration
	nextBeatAt time.Duration
	cutUntil   time.Duration
}

func (n *simNode) cold(now time.Duration) bool { return now < n.startedAt+coldTime }

func (n *simNode) fresh(now time.Duration) bool { return now < n.answeredAt+n.sim.freshness }

func (n *simNode) restart(now time.Duration) {
	n.run++
	n.host.Incarnation = blvalue.Incarnation(fmt.Sprintf("n%02d.%d", n.index, n.run))
	n.sent, n.running, n.classes = 0, 0, map[string]*blvalue.ClassResults{}
	n.allowance, n.allowedUntil, n.orderSeenAt = blvalue.Allowance{}, 0, now
	n.term, n.step, n.listed, n.held, n.answeredAt = 0, 0, nil, nil, -n.sim.freshness
}

// fleetSim runs nodes with upstreams, leads and a store in simulated time.
type fleetSim struct {
	simOptions
	random   *rand.Rand
	now      time.Duration
	order    blconfig.RolloutOrder
	config   uint64
	nodes    []*simNode
	requests []*simRequest
	leads    []*simLead
	store    simStore
	// total counts the requests that reached the service since the order, exposed those
	// sent to the version, and served those answered without a failure.
	total, exposed, served, refused int
	badAt                           []time.Duration
	lastExposedAt                   time.Duration
	decided                         []string
	violations                      []string
	partitions                      []simPartition
	mutation                        mutation
	lossPerThousand                 int
	// maxDelay bounds how long messages between nodes and leads take.
	maxDelay time.Duration
	calls    []simCall
	// out holds the failure domains that operators have taken out.
	out map[blvalue.DomainName]blconfig.DomainState
	// proven is set once a lead has passed the version.
	proven bool
	// ticked is called after each step of the simulation, unless it is nil.
	ticked func()
}

func newFleetSim(o simOptions) *fleetSim {
	if o.classes == nil {
		o.classes = defaultClasses()
	}
	if o.others == nil {
		o.others = healthy
	}
	if o.version == nil {
		o.version = healthy
	}
	if o.freshness == 0 {
		o.freshness = shortFreshness
	}
	sim := &fleetSim{simOptions: o, random: rand.New(rand.NewPCG(o.seed, 17))}
	sim.store.sim = sim
	for i := range o.old + o.added {
		sim.addNode(i)
	}
	return sim
}

func (sim *fleetSim) addNode(i int) {
	version, answers, started := oldVersion, sim.others, -time.Hour
	if i >= sim.old {
		version, answers, started = newVersion, sim.version, orderAt+sim.startAfter+time.Duration(sim.random.IntN(200))*time.Millisecond
	}
	n := &simNode{sim: sim, index: i, startedAt: started, behaviour: answers, answeredAt: -sim.freshness}
	n.upstream = blvalue.Upstream{
		Name: blvalue.UpstreamName(fmt.Sprintf("u%02d", i)), Incarnation: blvalue.Incarnation(fmt.Sprintf("u%02d_run", i)),
		Service: service, Version: version, Slots: 6,
	}
	n.host = blvalue.Host{Name: blvalue.HostName(fmt.Sprintf("h%02d", i)), Domain: blvalue.DomainName(fmt.Sprintf("d%d", i%4))}
	n.restart(0)
	n.nextBeatAt = max(started, 0) + time.Duration(sim.random.IntN(int(sim.heartbeat)))
	sim.nodes = append(sim.nodes, n)
}

func (sim *fleetSim) plan() blconfig.Plan {
	plan := blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{service: {Name: service}},
		Domains:  map[blvalue.DomainName]blconfig.DomainState{"d0": "in", "d1": "in", "d2": "in", "d3": "in"},
		Timing:   blconfig.Timing{Heartbeat: sim.heartbeat, Freshness: sim.freshness, ClockMargin: 50 * time.Millisecond},
		Limits:   blconfig.Limits{RequestTimeout: 6 * time.Second},
		Exposure: blconfig.Exposure{Share: 0.1, Reserve: 50, RollbackTime: 5 * time.Second},
		Rollouts: map[blvalue.ServiceName]blconfig.RolloutOrder{},
	}
	for domain, state := range sim.out {
		plan.Domains[domain] = state
	}
	if sim.order.Target != "" {
		plan.Rollouts[service] = sim.order
	}
	return plan
}

// writeOrder has the operator store an order, which nodes and leads see at once.
func (sim *fleetSim) writeOrder(target string) {
	sim.store.number++
	sim.order = blconfig.RolloutOrder{Service: service, Target: target, Duration: sim.duration, Revision: sim.store.revision()}
	sim.configChanged()
	for _, n := range sim.nodes {
		sim.seeOrder(n)
	}
}

// seeOrder makes a node count from zero when it learns of the first order or one of another
// duration.
func (sim *fleetSim) seeOrder(n *simNode) {
	if (n.orderRev == 0 || n.orderDuration != sim.order.Duration) && sim.order.Target != "" {
		n.orderSeenAt, n.sent, n.classes = max(sim.now, n.startedAt), 0, map[string]*blvalue.ClassResults{}
	}
	n.orderRev, n.orderDuration = sim.order.Revision, sim.order.Duration
}

func (sim *fleetSim) configChanged() {
	sim.store.number++
	sim.config = sim.store.revision()
	for _, l := range sim.leads {
		if l.holds() {
			l.configure()
		}
	}
}

// runUntil advances the simulation.
func (sim *fleetSim) runUntil(end time.Duration) {
	for ; sim.now < end; sim.now += simTick {
		sim.finishRequests()
		sim.arrive()
		sim.deliver()
		for _, n := range sim.nodes {
			if !n.stopped && sim.now >= n.nextBeatAt && sim.now >= n.startedAt {
				sim.beat(n)
			}
		}
		for _, l := range sim.leads {
			l.tick()
		}
		sim.movePartitions()
		if sim.ticked != nil {
			sim.ticked()
		}
	}
}

// simCall is a message or a call on its way.
type simCall struct {
	at  time.Duration
	run func()
}

func (sim *fleetSim) after(delay time.Duration, run func()) {
	sim.calls = append(sim.calls, simCall{at: sim.now + delay, run: run})
}

func (sim *fleetSim) deliver() {
	calls := sim.calls
	sim.calls = nil
	for _, call := range calls {
		if sim.now < call.at {
			sim.calls = append(sim.calls, call)
			continue
		}
		call.run()
	}
}

// delay returns how long a message takes.
func (sim *fleetSim) delay() time.Duration {
	if sim.maxDelay == 0 {
		return 0
	}
	return time.Duration(sim.random.Int64N(int64(sim.maxDelay)))
}

func (sim *fleetSim) arrive() {
	expected := sim.rate * simTick.Seconds()
	count := int(expected)
	if sim.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		sim.request()
	}
}

func (sim *fleetSim) request() {
	if sim.order.Target != "" {
		sim.total++
	}
	entry := sim.nodes[sim.random.IntN(len(sim.nodes))]
	if entry.stopped || !entry.fresh(sim.now) {
		sim.refused++
		return
	}
	class := sim.classes[0]
	for draw, i := sim.random.Float64(), 0; i < len(sim.classes); i++ {
		if class = sim.classes[i]; draw < class.part {
			break
		}
		draw -= class.part
	}
	tried := map[int]bool{}
	for range attempts {
		n := sim.choose(entry, tried)
		if n == nil {
			break
		}
		tried[n.index] = true
		if sim.pass(n, class) {
			return
		}
	}
	sim.refused++
}

// choose returns an upstream that the entry node doesn't know to be held.
func (sim *fleetSim) choose(entry *simNode, tried map[int]bool) *simNode {
	var open []*simNode
	for _, n := range sim.nodes {
		if !n.stopped && entry.listed[n.index] && !tried[n.index] && !entry.held[n.upstream.Incarnation] {
			open = append(open, n)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[sim.random.IntN(len(open))]
}

// pass passes a request to the upstream of a node, if the node has an allowance for it.
func (sim *fleetSim) pass(n *simNode, class simClass) bool {
	target := sim.order.Target != "" && n.upstream.Version == sim.order.Target
	if target && !n.allowance.Unlimited && (n.sent >= n.allowance.Requests || sim.now >= n.allowedUntil) {
		return false
	}
	if n.cold(sim.now) {
		if sim.now < n.lastColdAt+time.Second/coldRate {
			return false
		}
		n.lastColdAt = sim.now
	}
	failing, slowness := n.behaviour(n, class.name, sim.now-orderAt)
	bad := sim.random.Float64() < failing
	took := time.Duration(float64(class.usual) * (0.8 + 0.6*sim.random.Float64()) * slowness)
	n.sent++
	n.running++
	sim.requests = append(sim.requests, &simRequest{
		node: n, run: n.run, class: class.name, sentAt: sim.now, endsAt: sim.now + took, failed: bad, counted: !n.cold(sim.now),
	})
	if target {
		sim.exposed++
		sim.lastExposedAt = sim.now
	}
	return true
}

func (sim *fleetSim) finishRequests() {
	sim.requests = slices.DeleteFunc(sim.requests, func(q *simRequest) bool {
		if sim.now < q.endsAt {
			return false
		}
		sim.finish(q)
		return true
	})
}

func (sim *fleetSim) finish(q *simRequest) {
	slow := q.endsAt-q.sentAt > time.Second
	if q.node.index >= sim.old && (q.failed || slow) {
		sim.badAt = append(sim.badAt, sim.now)
	}
	if !q.failed {
		sim.served++
	}
	if q.run != q.node.run || q.node.stopped {
		return
	}
	q.node.running--
	counts, ok := q.node.classes[q.class]
	if !ok {
		counts = &blvalue.ClassResults{Class: q.class}
		q.node.classes[q.class] = counts
	}
	counts.Answered++
	if q.failed {
		counts.Failed++
	}
	if q.counted {
		bucket := 0
		for bucket < blvalue.LatencyBuckets-1 && q.endsAt-q.sentAt >= time.Millisecond<<bucket {
			bucket++
		}
		counts.Latency[bucket]++
	}
}

// results returns what a node reports.
func (sim *fleetSim) results(n *simNode) []blvalue.UpstreamResults {
	if n.orderRev == 0 {
		return nil
	}
	results := blvalue.UpstreamResults{
		Upstream: n.upstream.Name, Incarnation: n.upstream.Incarnation, Service: service, Version: n.upstream.Version,
		Order: n.orderRev, OrderAge: sim.now - n.orderSeenAt, Sent: n.sent, Running: n.running,
	}
	for _, class := range sim.classes {
		if counts, ok := n.classes[class.name]; ok {
			results.Classes = append(results.Classes, *counts)
		}
	}
	return []blvalue.UpstreamResults{results}
}

// beat sends a heartbeat to the latest lead, and applies its answer.
func (sim *fleetSim) beat(n *simNode) {
	n.nextBeatAt = sim.now + sim.heartbeat
	sim.seeOrder(n)
	if sim.now < n.cutUntil || sim.random.IntN(1000) < sim.lossPerThousand {
		return
	}
	for _, l := range slices.Backward(sim.leads) {
		if !l.holds() {
			continue
		}
		report := simReport{node: n, host: n.host, results: sim.results(n), term: n.term, step: n.step, sentAt: sim.now}
		if sim.maxDelay == 0 {
			l.heartbeat(report)
			return
		}
		sim.after(sim.delay(), func() { l.heartbeat(report) })
		return
	}
}

// simReport is a heartbeat on its way.
type simReport struct {
	node       *simNode
	host       blvalue.Host
	results    []blvalue.UpstreamResults
	term, step uint64
	sentAt     time.Duration
}

// simPartition is a partition with its owner and an earlier one that may still use it.
type simPartition struct {
	owner, previous *simNode
	movedAt         time.Duration
}

// movePartitions has the lead move partitions away from held upstreams.
func (sim *fleetSim) movePartitions() {
	lead := sim.lead()
	if lead == nil {
		return
	}
	for i, p := range sim.partitions {
		if p.previous != nil && sim.now > p.movedAt+2*sim.heartbeat {
			p.previous = nil
		}
		if p.previous == nil && (p.owner == nil || p.owner.stopped || lead.isHeld(p.owner)) && sim.random.IntN(10) == 0 {
			if next := sim.nodes[sim.random.IntN(len(sim.nodes))]; !next.stopped && !lead.isHeld(next) && sim.now >= next.startedAt {
				p = simPartition{owner: next, previous: p.owner, movedAt: sim.now}
			}
		}
		sim.partitions[i] = p
	}
}

func (sim *fleetSim) partitionsOf(n *simNode) int {
	count := 0
	for _, p := range sim.partitions {
		if p.owner == n || p.previous == n {
			count++
		}
	}
	return count
}

func (sim *fleetSim) instant() bltimer.Instant {
	// Clocks of processes start some time before the simulation.
	return bltimer.Instant(sim.now + time.Minute)
}

func (sim *fleetSim) lead() *simLead {
	for _, l := range slices.Backward(sim.leads) {
		if l.holds() {
			return l
		}
	}
	return nil
}

func (sim *fleetSim) view(l *simLead) blassign.RolloutView {
	view := blassign.RolloutView{Term: l.term, ConfirmedStep: l.confirmed()}
	if sim.order.Target == "" {
		return view
	}
	for _, n := range sim.nodes {
		partitions := sim.partitionsOf(n)
		if (n.stopped || !l.knows[n.index]) && partitions == 0 {
			continue
		}
		u := n.upstream
		if !l.knows[n.index] {
			// Only the assignment in the store names it.
			u = blvalue.Upstream{Name: u.Name, Service: u.Service}
		}
		u.Cold = n.cold(sim.now)
		view.Upstreams = append(view.Upstreams, blassign.RolloutUpstream{Upstream: u, Node: l.hosts[n.index], Partitions: partitions})
	}
	return view
}
