package blroute_test

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// roundRobin cycles through the candidates as draw rises.
type roundRobin struct{}

func (roundRobin) Choose(candidates []blassign.Entry, _ blroute.Healths, draw uint64, _ bltimer.Instant) blassign.Entry {
	return candidates[draw%uint64(len(candidates))]
}

// leastReported picks the candidate with the lowest load by its own reports, which
// lag by up to reportInterval. It is the baseline for comparison.
type leastReported struct{ reports *map[blvalue.UpstreamName]int }

func (l leastReported) Choose(candidates []blassign.Entry, _ blroute.Healths, draw uint64, _ bltimer.Instant) blassign.Entry {
	best := candidates[draw%uint64(len(candidates))]
	for _, c := range candidates {
		if (*l.reports)[c.Upstream.Name] < (*l.reports)[best.Upstream.Name] {
			best = c
		}
	}
	return best
}

// pool simulates a shared service of five upstreams with six slots each, some of
// which take ten times as long per request.
type pool struct {
	freeAt       map[blvalue.UpstreamName][]time.Duration
	serviceTimes map[blvalue.UpstreamName]time.Duration
	reports      map[blvalue.UpstreamName]int
}

const (
	poolUpstreams   = 5
	poolSlots       = 6
	poolServiceTime = 5 * time.Millisecond
	reportInterval  = time.Second
)

func newPool(slow int) *pool {
	p := &pool{
		freeAt: map[blvalue.UpstreamName][]time.Duration{}, serviceTimes: map[blvalue.UpstreamName]time.Duration{},
		reports: map[blvalue.UpstreamName]int{},
	}
	for i, name := range poolNames() {
		p.freeAt[name] = make([]time.Duration, poolSlots)
		p.serviceTimes[name] = poolServiceTime
		if i < slow {
			p.serviceTimes[name] *= 10
		}
	}
	return p
}

func poolNames() []blvalue.UpstreamName {
	return []blvalue.UpstreamName{"wish_1", "wish_2", "wish_3", "wish_4", "wish_5"}
}

// serve returns when a request that arrives at now is answered.
func (p *pool) serve(name blvalue.UpstreamName, now time.Duration, random *rand.Rand) time.Duration {
	slots := p.freeAt[name]
	sort.Slice(slots, func(i, j int) bool { return slots[i] < slots[j] })
	start := max(slots[0], now)
	slots[0] = start + time.Duration(float64(p.serviceTimes[name])*(0.5+random.Float64()))
	return slots[0]
}

func (p *pool) busy(name blvalue.UpstreamName, now time.Duration) int {
	count := 0
	for _, free := range p.freeAt[name] {
		if free > now {
			count++
		}
	}
	return count
}

// run sends requests at 40% of the pool's capacity and returns the 99th percentile
// of the latency, without the first two seconds.
func run[C blroute.Chooser](chooser C, p *pool, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 3))
	s := blroute.New(chooser)
	s, _ = blroute.Decide(s, blroute.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{"wishlist": {Name: "wishlist", Kind: blconfig.ServiceShared}},
	}}}, 0)
	directory := blassign.Directory{Full: true}
	for _, name := range poolNames() {
		directory.Entries = append(directory.Entries, entry(string(name), "wishlist"))
	}
	s, _ = blroute.Decide(s, blroute.DirectoryChanged{Directory: directory}, 0)
	type answer struct {
		at        time.Duration
		completed blroute.AttemptCompleted
	}
	var pending []answer
	var latencies []time.Duration
	gap := poolServiceTime * 10 / (poolUpstreams * poolSlots * 4)
	reported := time.Duration(0)
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.ExpFloat64() * float64(gap)) {
		if now-reported > reportInterval {
			reported = now
			for _, name := range poolNames() {
				p.reports[name] = p.busy(name, now)
			}
		}
		remaining := pending[:0]
		for _, a := range pending {
			if a.at > now {
				remaining = append(remaining, a)
				continue
			}
			s, _ = blroute.Decide(s, a.completed, bltimer.Instant(a.at))
		}
		pending = remaining
		var effects []blroute.Effect
		s, effects = blroute.Decide(s, blroute.Find{
			Request: blvalue.Request{Service: "wishlist"}, First: true, Reply: blring.NewReply[blroute.Answer](),
		}, bltimer.Instant(now))
		name := effects[0].Answer.Target.Upstream
		end := p.serve(name, now, random)
		pending = append(pending, answer{at: end, completed: blroute.AttemptCompleted{Upstream: name, Latency: end - now}})
		if now > 2*time.Second {
			latencies = append(latencies, end-now)
		}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[len(latencies)*99/100]
}

// runPlainRoundRobin sends the same requests to the upstreams in turn, without
// regard to their health.
func runPlainRoundRobin(p *pool, seed uint64) time.Duration {
	random := rand.New(rand.NewPCG(seed, 3))
	var latencies []time.Duration
	gap := poolServiceTime * 10 / (poolUpstreams * poolSlots * 4)
	turn := 0
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.ExpFloat64() * float64(gap)) {
		turn++
		latencies = append(latencies, p.serve(poolNames()[turn%poolUpstreams], now, random)-now)
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[len(latencies)*99/100]
}

// TestStragglersDoNotDominateTailLatency compares the load-balancing policies with
// none, one and two of five upstreams slowed down tenfold, under the same
// arrivals.
func TestStragglersDoNotDominateTailLatency(t *testing.T) {
	const target = 9 * time.Millisecond
	for _, slow := range []int{0, 1, 2} {
		p := newPool(slow)
		inTurn := run(roundRobin{}, newPool(slow), 5)
		reported := run(leastReported{reports: &p.reports}, p, 5)
		twoChoices := run(blroute.TwoChoices{}, newPool(slow), 5)
		t.Logf("%d of 5 slow: 99th percentile plain round robin %v, least reported load %v, round robin without outliers %v, two choices without outliers %v",
			slow, runPlainRoundRobin(newPool(slow), 5), reported, inTurn, twoChoices)
		if twoChoices > target {
			t.Errorf("99th percentile with %d slow: got %v, want at most %v", slow, twoChoices, target)
		}
	}
}
