package blroute

import (
	"encoding/binary"
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
}

// Healths maps upstreams to their health.
type Healths = bltable.Table[blvalue.UpstreamName, Health]

// Chooser picks one upstream of a shared service. Draw is a random number.
type Chooser interface {
	Choose(candidates []blassign.Entry, healths Healths, draw uint64) blassign.Entry
}

// RoundRobin takes the candidates in turn, by a draw that rises by one.
type RoundRobin struct{}

// Choose implements Chooser.
func (RoundRobin) Choose(candidates []blassign.Entry, _ Healths, draw uint64) blassign.Entry {
	return candidates[draw%uint64(len(candidates))]
}

// TwoChoices draws two candidates and takes the one whose outstanding work
// would be done first by its measured latency. It trusts no report.
type TwoChoices struct{}

// Choose implements Chooser.
func (TwoChoices) Choose(candidates []blassign.Entry, healths Healths, draw uint64) blassign.Entry {
	count := uint64(len(candidates))
	first := candidates[mix(draw)%count]
	second := candidates[mix(^draw)%count]
	if cost(healths, second) < cost(healths, first) {
		return second
	}
	return first
}

// mix spreads consecutive draws over all bits.
func mix(draw uint64) uint64 {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], draw)
	return xxhash.Sum64(bytes[:])
}

// unknownLatency is assumed of an upstream that has not answered yet.
const unknownLatency = time.Millisecond

func cost(healths Healths, entry blassign.Entry) time.Duration {
	health, _ := healths.Get(entry.Upstream.Name)
	latency := max(health.Latency, unknownLatency)
	return latency * time.Duration(health.Outstanding+1)
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

// usable returns the candidates that are not set aside and not to be avoided,
// or all of them when none is left.
func usable(
	candidates []blassign.Entry, healths Healths, avoid blvalue.UpstreamName, now bltimer.Instant,
) []blassign.Entry {
	var list []blassign.Entry
	for _, entry := range candidates {
		health, _ := healths.Get(entry.Upstream.Name)
		if entry.Upstream.Name != avoid && !now.Before(health.AsideUntil) {
			list = append(list, entry)
		}
	}
	if len(list) == 0 {
		return candidates
	}
	return list
}
