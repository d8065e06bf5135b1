package bladmit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// fleetAccounts is the number of client accounts, and requestsPerNode the
	// requests per second that callers send to each node.
	fleetAccounts   = 140
	fleetDomains    = 6
	requestsPerNode = 6.4
	// headroom is how many times its usual request rate an account's limit is.
	headroom = 1.6
	// quotaWindow, quotaExcess and quotaSlack are the users' bound on an account's
	// requests: in each window (rate x window + burst) x (1 + excess) + slack.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// oneWay is the time that a message between two nodes takes, and leadWork how
	// long the lead takes for one exchange.
	oneWay   = 3 * time.Millisecond
	leadWork = 500 * time.Microsecond
	// callTimeout is how long a node waits for a lead that doesn't answer.
	callTimeout = 400 * time.Millisecond
	// askMargin is how much longer a node waits for a delegate than the delegate for
	// the lead.
	askMargin = 100 * time.Millisecond
	// maxWait is how long a request waits for a token.
	maxWait   = 200 * time.Millisecond
	fleetTick = 50 * time.Millisecond
)

// quotaFleet replays the requests of many accounts at the admission duties of all
// nodes and at the quota duty of the lead, with the times that their messages take.
type quotaFleet struct {
	random *rand.Rand
	now    time.Duration
	queue  fleetEvents
	plan   blconfig.Plan
	// usual is the usual request rate of each account, in requests per second.
	usual  []float64
	surge  func(account int, now time.Duration) float64
	nodes  []*fleetNode
	lead   blquota.State
	leadUp bool
	// cut is the failure domain that is cut off from the others and from the lead.
	cut blvalue.DomainName
	// serving is set while callers send requests.
	serving  bool
	leadFree time.Duration
	term     uint64
	// exchanges counts the requests for tokens that the lead answered.
	exchanges int
	// asks counts the requests for tokens to delegates, and spends holds what is done
	// with their answers.
	asks      int
	spends    map[blring.Reply[bladmit.SpendAnswer]]func(bladmit.SpendAnswer)
	reference []referenceBucket
	admitted  [][]time.Duration
	pending   map[blring.Reply[blroute.Answer]]*fleetRequest
	asked     int
	refused   int
	// allowed counts for each account the requests that a single bucket for the whole
	// fleet admits.
	allowed []int
}

type fleetRequest struct {
	account  int
	at       time.Duration
	answered bool
}

type fleetNode struct {
	name       string
	domain     blvalue.DomainName
	generation int
	// down is set for a node that answers nothing.
	down  bool
	state bladmit.State
}

func (n *fleetNode) incarnation() blvalue.Incarnation {
	return blvalue.Incarnation(fmt.Sprintf("%s-%d", n.name, n.generation))
}

func (n *fleetNode) host() blvalue.Host {
	return blvalue.Host{Name: blvalue.HostName(n.name), Incarnation: n.incarnation(), Domain: n.domain}
}

// referenceBucket is a token bucket that sees each request of an account.
type referenceBucket struct {
	level    float64
	filledAt time.Duration
}

func (b *referenceBucket) take(account blconfig.Account, now time.Duration) bool {
	b.level = min(b.level+(now-b.filledAt).Seconds()*float64(account.Rate), float64(account.Burst))
	b.filledAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

type fleetEvent struct {
	at  time.Duration
	run func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }

func (e fleetEvents) Less(i, j int) bool { return e[i].at < e[j].at }

func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *fleetEvents) Push(x any) { *e = append(*e, x.(fleetEvent)) }

func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func accountName(i int) blvalue.AccountName {
	return blvalue.AccountName(fmt.Sprintf("account_%03d", i))
}

func newQuotaFleet(nodes int, seed uint64) *quotaFleet {
	f := &quotaFleet{
		random: rand.New(rand.NewPCG(seed, 3)), surge: func(int, time.Duration) float64 { return 1 },
		reference: make([]referenceBucket, fleetAccounts), admitted: make([][]time.Duration, fleetAccounts),
		spends:  map[blring.Reply[bladmit.SpendAnswer]]func(bladmit.SpendAnswer){},
		allowed: make([]int, fleetAccounts),
		pending: map[blring.Reply[blroute.Answer]]*fleetRequest{},
	}
	f.plan = blconfig.Plan{
		Accounts: map[blvalue.AccountName]blconfig.Account{}, Digests: map[string]blvalue.AccountName{},
		Routes: []blconfig.Route{{Service: "pot", Method: "GET", Path: blconfig.AnyPath, Goal: 4 * maxWait}},
		Timing: blconfig.Timing{
			Freshness: time.Hour, LoanTTL: 1600 * time.Millisecond, LoanLookahead: 800 * time.Millisecond,
			ClockMargin: 100 * time.Millisecond,
		},
	}
	total := 0.0
	for i := range fleetAccounts {
		f.usual = append(f.usual, math.Pow(float64(i+1), -0.7))
		total += f.usual[i]
	}
	for i := range fleetAccounts {
		f.usual[i] *= requestsPerNode * float64(nodes) / total
		rate := math.Ceil(f.usual[i] * headroom)
		account := blconfig.Account{
			Name: accountName(i), AnyService: true, Rate: int64(rate), Burst: int64(rate) + 14,
			Overdraft: int64(0.95*quotaExcess*(rate*quotaWindow.Seconds()+rate)) + 5,
		}
		f.plan.Accounts[account.Name] = account
		f.plan.Digests[string(account.Name)] = account.Name
		f.schedule(0, func() { f.nextArrival(i) })
	}
	for i := range nodes {
		n := &fleetNode{name: fmt.Sprintf("node_%03d", i), domain: blvalue.DomainName(fmt.Sprint(i % fleetDomains))}
		f.nodes = append(f.nodes, n)
		f.schedule(time.Duration(f.random.Int64N(int64(fleetTick))), func() { f.tick(n) })
	}
	f.restart(0)
	return f
}

func (f *quotaFleet) schedule(at time.Duration, run func()) {
	heap.Push(&f.queue, fleetEvent{at: at, run: run})
}

func (f *quotaFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		event := heap.Pop(&f.queue).(fleetEvent)
		f.now = event.at
		event.run()
	}
}

// instant returns the time of the replay as the duties' clock shows it.
func (f *quotaFleet) instant() bltimer.Instant { return bltimer.Instant(time.Minute + f.now) }

// restart ends all nodes and the lead, and with them the requests that wait.
// Callers are back with the next lead.
func (f *quotaFleet) restart(leadAfter time.Duration) {
	for _, request := range f.pending {
		if !request.answered {
			request.answered = true
			f.asked--
		}
	}
	for _, n := range f.nodes {
		n.generation++
		n.state = bladmit.New(n.host()).WithFallback()
	}
	f.loseLead(leadAfter)
	f.serving = false
	f.schedule(f.now+leadAfter, func() {
		f.serving = true
		for _, n := range f.nodes {
			f.send(n, bladmit.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: f.plan}})
			f.send(n, bladmit.LeadResponded{SentAt: f.instant()})
			f.send(n, bladmit.NodesChanged{Nodes: f.hosts()})
		}
	})
}

// hosts returns the nodes that can be delegates: none if delegates are disabled.
func (f *quotaFleet) hosts() []blvalue.Host {
	list := make([]blvalue.Host, 0, len(f.nodes))
	for _, n := range f.nodes {
		list = append(list, n.host())
	}
	return list
}

// loseLead ends the lead. Another one takes over after the given time.
func (f *quotaFleet) loseLead(takeover time.Duration) {
	f.leadUp = false
	lostAt := f.instant()
	f.schedule(f.now+takeover, func() {
		f.term++
		f.leadUp = true
		f.lead, _ = blquota.Decide(blquota.New(), blquota.AuthorityChanged{Authority: bllead.Authority{
			Term: f.term, Until: f.instant().Add(time.Hour), PriorExpiredAt: lostAt,
		}}, f.instant())
		f.lead, _ = blquota.Decide(f.lead, blquota.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: f.plan}}, f.instant())
	})
}

// nextArrival sends a request of the account to a random node and schedules the
// account's next one.
func (f *quotaFleet) nextArrival(account int) {
	wave := 1 + 0.15*math.Sin(2*math.Pi*f.now.Seconds()/11)
	rate := f.usual[account] * wave * f.surge(account, f.now)
	if f.serving {
		f.request(account, f.nodes[f.random.IntN(len(f.nodes))])
	}
	f.schedule(f.now+time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() { f.nextArrival(account) })
}
