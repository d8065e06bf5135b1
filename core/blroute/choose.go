package blroute

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Health is what this node has seen of an upstream.
type Health struct {
	// Outstanding is the number of requests of this node that run there.
	Outstanding int
	// Latency is the moving average of the time to answer.
	Latency time.Duration
	// Failures counts failures in a row.
	Failures int
	// AsideUntil is when an upstream that was set aside is tried again.
	AsideUntil bltimer.Instant
	// Skipped counts the requests that passed it by while it was an outlier.
	Skipped int
	// Load is what its node said last, at LoadAt.
	Load   blvalue.Load
	LoadAt bltimer.Instant
}

// Healths maps upstreams to their health.
type Healths = bltable.Table[blvalue.UpstreamName, Health]

// Chooser picks one upstream of a shared service. Draw is a random number.
type Chooser interface {
	Choose(candidates []blassign.Entry, healths Healths, draw uint64, now bltimer.Instant) blassign.Entry
}

// RoundRobin takes the candidates in turn, by a draw that rises by one.
type RoundRobin struct{}

// Choose implements Chooser.
func (RoundRobin) Choose(candidates []blassign.Entry, _ Healths, draw uint64, _ bltimer.Instant) blassign.Entry {
	return candidates[draw%uint64(len(candidates))]
}

// TwoChoices draws two candidates and takes the one whose outstanding work
// would be done first by its measured latency. It trusts no report.
type TwoChoices struct{}

// Choose implements Chooser.
func (TwoChoices) Choose(
	candidates []blassign.Entry, healths Healths, draw uint64, now bltimer.Instant,
) blassign.Entry {
	count := uint64(len(candidates))
	position := mix(draw) % count
	first := candidates[position]
	if count == 1 {
		return first
	}
	second := candidates[(position+1+mix(^draw)%(count-1))%count]
	if cost(healths, second, now) < cost(healths, first, now) {
		return second
	}
	return first
}

// NearFirst keeps requests in one failure domain while a warm upstream there has
// a slot free, as far as is known. After those come warm ones elsewhere that have
// one. Otherwise it takes the better of two.
type NearFirst struct {
	// Domain is where this node stands.
	Domain blvalue.DomainName
}

// Choose implements Chooser.
func (n NearFirst) Choose(
	candidates []blassign.Entry, healths Healths, draw uint64, now bltimer.Instant,
) blassign.Entry {
	var near, far []blassign.Entry
	for _, entry := range candidates {
		switch {
		case entry.Upstream.Cold || !hasRoom(healths, entry, now):
		case entry.Node.Domain == n.Domain:
			near = append(near, entry)
		default:
			far = append(far, entry)
		}
	}
	switch {
	case len(near) > 0:
		return TwoChoices{}.Choose(near, healths, draw, now)
	case len(far) > 0:
		return TwoChoices{}.Choose(far, healths, draw, now)
	}
	return TwoChoices{}.Choose(candidates, healths, draw, now)
}

// hasRoom reports whether a slot of the upstream is free.
func hasRoom(healths Healths, entry blassign.Entry, now bltimer.Instant) bool {
	health, _ := healths.Get(entry.Upstream.Name)
	limit := health.Load.Limit
	if limit == 0 {
		limit = entry.Upstream.Slots
	}
	return health.work(now) < limit
}

// work returns the number of requests that are known to run or wait at the
// upstream. What its node said counts for a while only.
func (h Health) work(now bltimer.Instant) int {
	if now.Sub(h.LoadAt) > loadLasts {
		return h.Outstanding
	}
	return max(h.Outstanding, h.Load.Running+h.Load.Waiting)
}

// mix spreads consecutive draws over all bits.
func mix(draw uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], draw)
	return xxhash.Sum64(bytes[:])
}

// unknownLatency is assumed of an upstream that has not answered yet.
const unknownLatency = time.Millisecond

func cost(healths Healths, entry blassign.Entry, now bltimer.Instant) time.Duration {
	health, _ := healths.Get(entry.Upstream.Name)
	latency := max(health.Latency, unknownLatency)
	return latency * time.Duration(health.work(now)+1)
}

const (
	// latencyWeight is the share of a new answer in the moving average: one in
	// eight.
	latencyWeight = 8
	// failuresAside is how many failures in a row set an upstream aside.
	failuresAside = 5
	// aside is how long an upstream is set aside before it is tried again.
	aside = 2 * time.Second
)

// loadLasts is how long what a node said of its upstream's work is of use. The
// requests that it counted have mostly been answered then.
const loadLasts = 400 * time.Millisecond

// WithLoad returns the health after the upstream's node told its load.
func (h Health) WithLoad(load blvalue.Load, now bltimer.Instant) Health {
	if load.Known() {
		h.Load, h.LoadAt = load, now
	}
	return h
}

// WithAnswer returns the health after one answer.
func (h Health) WithAnswer(latency time.Duration, failed bool, now bltimer.Instant) Health {
	h.Outstanding = max(h.Outstanding-1, 0)
	if !failed {
		h.Failures = 0
		h.AsideUntil = 0
		if h.Latency == 0 {
			h.Latency = latency
		}
		h.Latency += (latency - h.Latency) / latencyWeight
		return h
	}
	h.Failures++
	if h.Failures >= failuresAside {
		h.AsideUntil = now.Add(aside)
	}
	return h
}

const (
	// outlierFactor is how many times the median latency an upstream may take
	// before it is an outlier.
	outlierFactor = 3
	// outlierFloor keeps quick upstreams from being outliers by chance.
	outlierFloor = 2 * time.Millisecond
	// probeEvery is how many requests pass an outlier by before one tries it
	// again: a share too small to be seen at the 99th percentile.
	probeEvery = 400
)

// medianLatency returns the median latency of the candidates that have
// answered, or zero.
func medianLatency(candidates []blassign.Entry, healths Healths) time.Duration {
	latencies := make([]time.Duration, 0, len(candidates))
	for _, entry := range candidates {
		if health, ok := healths.Get(entry.Upstream.Name); ok && health.Latency > 0 {
			latencies = append(latencies, health.Latency)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}

func (h Health) outlier(median time.Duration) bool {
	return median > 0 && h.Latency > outlierFactor*median+outlierFloor
}

// selection is the candidates for one request.
type selection struct {
	usable []blassign.Entry
	// probe is an outlier that is due to be tried again.
	probe *blassign.Entry
	// passed are the outliers that the request passes by.
	passed []blvalue.UpstreamName
}

// selectUsable leaves out upstreams that are set aside, are outliers or are to
// be avoided. When none is left, all are usable.
func selectUsable(
	candidates []blassign.Entry, healths Healths, avoid blvalue.UpstreamName, now bltimer.Instant,
) selection {
	var s selection
	median := medianLatency(candidates, healths)
	for i, entry := range candidates {
		health, _ := healths.Get(entry.Upstream.Name)
		switch {
		case entry.Upstream.Name == avoid || now.Before(health.AsideUntil):
		case !health.outlier(median):
			s.usable = append(s.usable, entry)
		case health.Skipped >= probeEvery:
			s.probe = &candidates[i]
		default:
			s.passed = append(s.passed, entry.Upstream.Name)
		}
	}
	if len(s.usable) == 0 {
		s.usable = candidates
	}
	return s
}
