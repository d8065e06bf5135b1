package blroute

import (
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Health is the state of an upstream as observed by this node.
type Health struct {
	// Outstanding is the number of this node's requests in flight there.
	Outstanding int
	// Latency is the moving average of the response time.
	Latency time.Duration
	// ConsecutiveFailures is reset by a successful answer.
	ConsecutiveFailures int
	// EjectedUntil is when an ejected upstream becomes eligible again.
	EjectedUntil bltimer.Instant
	// Skipped counts the requests since the last probe for which the upstream
	// was skipped as an outlier.
	Skipped int
	// Load is the last load reported by the upstream's node, received at LoadAt.
	Load   blvalue.Load
	LoadAt bltimer.Instant
}

// Healths maps upstreams to their health.
type Healths = bltable.Table[blvalue.UpstreamName, Health]

// Chooser picks one upstream of a shared service. Draw is a counter that rises
// by one with each choice; implementations hash it where they need randomness.
type Chooser interface {
	Choose(candidates []blassign.Entry, healths Healths, draw uint64, now bltimer.Instant) blassign.Entry
}

// TwoChoices implements the power of two choices: it picks two candidates at
// random and takes the one expected to finish its active requests first. The
// latency is measured by this node, not reported by the upstream, and a load
// report can raise the number of active requests but not lower it.
type TwoChoices struct{}

// Choose implements Chooser.
func (TwoChoices) Choose(
	candidates []blassign.Entry, healths Healths, draw uint64, now bltimer.Instant,
) blassign.Entry {
	count := uint64(len(candidates))
	position := blvalue.Mix(draw) % count
	first := candidates[position]
	if count == 1 {
		return first
	}
	second := candidates[(position+1+blvalue.Mix(^draw)%(count-1))%count]
	if cost(healths, second, now) < cost(healths, first, now) {
		return second
	}
	return first
}

// LocalityFirst prefers warm upstreams with a free slot in this node's failure
// domain, then warm upstreams with a free slot in other domains. Free slots are
// known from the latest load reports and this node's own requests. When none is
// free, it considers all candidates. Within each group it picks by TwoChoices.
type LocalityFirst struct {
	// Domain is the failure domain of this node.
	Domain blvalue.DomainName
}

// Choose implements Chooser.
func (l LocalityFirst) Choose(
	candidates []blassign.Entry, healths Healths, draw uint64, now bltimer.Instant,
) blassign.Entry {
	var local, remote []blassign.Entry
	for _, entry := range candidates {
		switch {
		case entry.Upstream.Cold || !hasFreeSlot(healths, entry, now):
		case entry.Node.Domain == l.Domain:
			local = append(local, entry)
		default:
			remote = append(remote, entry)
		}
	}
	switch {
	case len(local) > 0:
		return TwoChoices{}.Choose(local, healths, draw, now)
	case len(remote) > 0:
		return TwoChoices{}.Choose(remote, healths, draw, now)
	}
	return TwoChoices{}.Choose(candidates, healths, draw, now)
}

// hasFreeSlot compares the upstream's active requests with the concurrency
// limit that its node reported, or with its configured slots when no limit is
// known.
func hasFreeSlot(healths Healths, entry blassign.Entry, now bltimer.Instant) bool {
	health, _ := healths.Get(entry.Upstream.Name)
	limit := health.Load.Limit
	if limit == 0 {
		limit = entry.Upstream.Slots
	}
	return health.activeRequests(now) < limit
}

// activeRequests returns the number of requests known to run or wait at the
// upstream. A load report counts only until it expires.
func (h Health) activeRequests(now bltimer.Instant) int {
	if now.Sub(h.LoadAt) > loadReportTTL {
		return h.Outstanding
	}
	return max(h.Outstanding, h.Load.Running+h.Load.Waiting)
}

// minLatency is the lowest latency used in costs, and the one assumed of an
// upstream that has not answered yet.
const minLatency = time.Millisecond

// cost estimates how long the upstream takes to finish its active requests and
// one more.
func cost(healths Healths, entry blassign.Entry, now bltimer.Instant) time.Duration {
	health, _ := healths.Get(entry.Upstream.Name)
	latency := max(health.Latency, minLatency)
	return latency * time.Duration(health.activeRequests(now)+1)
}

const (
	// latencySmoothing is the divisor of the moving average: a new sample has
	// the weight of one in eight.
	latencySmoothing = 8
	// failuresToEject is the number of consecutive failures after which an
	// upstream is ejected.
	failuresToEject = 5
	// ejectionTime is how long an upstream stays ejected before it is tried
	// again.
	ejectionTime = 2 * time.Second
)

// loadReportTTL is how long a load report is used. Most of the requests that it
// counted have been answered after that.
const loadReportTTL = 400 * time.Millisecond

// WithLoad returns the health after the upstream's node reported its load.
func (h Health) WithLoad(load blvalue.Load, now bltimer.Instant) Health {
	if load.Known() {
		h.Load, h.LoadAt = load, now
	}
	return h
}

// WithAnswer returns the health after one attempt ended. Only successful
// answers count towards the latency.
func (h Health) WithAnswer(latency time.Duration, failed bool, now bltimer.Instant) Health {
	h.Outstanding = max(h.Outstanding-1, 0)
	if !failed {
		h.ConsecutiveFailures = 0
		h.EjectedUntil = 0
		if h.Latency == 0 {
			h.Latency = latency
		}
		h.Latency += (latency - h.Latency) / latencySmoothing
		return h
	}
	h.ConsecutiveFailures++
	if h.ConsecutiveFailures >= failuresToEject {
		h.EjectedUntil = now.Add(ejectionTime)
	}
	return h
}

const (
	// outlierFactor is the multiple of the median latency above which an
	// upstream is an outlier.
	outlierFactor = 3
	// outlierMargin is added to that multiple, so that random variation does
	// not make outliers of fast upstreams.
	outlierMargin = 2 * time.Millisecond
	// requestsPerProbe is the number of requests that skip an outlier before
	// one probes it: a share too small to show at the 99th percentile.
	requestsPerProbe = 400
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

func (h Health) isOutlier(median time.Duration) bool {
	return median > 0 && h.Latency > outlierFactor*median+outlierMargin
}

// selection is the result of filtering the candidates for one request.
type selection struct {
	eligible []blassign.Entry
	// probe is an outlier that is due for a probe, or nil.
	probe *blassign.Entry
	// skipped are the outliers that are not due for a probe.
	skipped []blvalue.UpstreamName
}

// selectEligible filters out ejected upstreams, outliers and the upstream to
// avoid. When none remains, all candidates are eligible.
func selectEligible(
	candidates []blassign.Entry, healths Healths, avoid blvalue.UpstreamName, now bltimer.Instant,
) selection {
	var s selection
	median := medianLatency(candidates, healths)
	for i, entry := range candidates {
		health, _ := healths.Get(entry.Upstream.Name)
		switch {
		case entry.Upstream.Name == avoid || now.Before(health.EjectedUntil):
		case !health.isOutlier(median):
			s.eligible = append(s.eligible, entry)
		case health.Skipped >= requestsPerProbe:
			s.probe = &candidates[i]
		default:
			s.skipped = append(s.skipped, entry.Upstream.Name)
		}
	}
	if len(s.eligible) == 0 {
		s.eligible = candidates
	}
	return s
}
