package blassign

import (
	"slices"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// weightUpdateInterval is how often upstream weights are recomputed.
	weightUpdateInterval = 2 * time.Second
	// minWeightChangePercent is the change of a weight that has to be exceeded
	// before partitions are moved.
	minWeightChangePercent = 20
	// smoothingDivisor sets the share of a new sample in the moving average:
	// one in eight.
	smoothingDivisor = 8
	// minSpeedPercent and maxSpeedPercent bound the speed that is derived from
	// an upstream's service time, relative to the median.
	minSpeedPercent = 50
	maxSpeedPercent = 160
	percent         = 100
)

// withLoads updates the moving average of the service times of upstreams.
func (s State[P]) withLoads(m Heartbeat) State[P] {
	for _, reported := range m.Loads {
		if reported.Load.ServiceTime <= 0 {
			continue
		}
		average, ok := s.serviceTimes.Get(reported.Incarnation)
		if !ok {
			average = reported.Load.ServiceTime
		}
		s.serviceTimes = s.serviceTimes.With(reported.Incarnation, average+(reported.Load.ServiceTime-average)/smoothingDivisor)
	}
	return s
}

// withWeights gives faster upstreams a larger share, once the difference is
// large enough.
func (s State[P]) withWeights(now bltimer.Instant) State[P] {
	if now.Sub(s.weightsUpdatedAt) < weightUpdateInterval {
		return s
	}
	s.weightsUpdatedAt = now
	medians := s.medianServiceTimes()
	weights := s.weights
	changed := false
	for name, entry := range s.entries.All() {
		wanted := s.speed(entry.Upstream, medians[entry.Upstream.Service])
		current, ok := s.weights.Get(name)
		if !ok {
			current = percent
		}
		weights = weights.With(name, wanted)
		changed = changed || percent*max(wanted-current, current-wanted) > minWeightChangePercent*current
	}
	if !changed {
		return s
	}
	s.weights = weights
	s.placedVersion = 0
	return s
}

// medianServiceTimes returns the median service time of the upstreams of each
// service that are up.
func (s State[P]) medianServiceTimes() map[blvalue.ServiceName]time.Duration {
	averages := map[blvalue.ServiceName][]time.Duration{}
	for _, entry := range s.entries.All() {
		if average, ok := s.serviceTimes.Get(entry.Upstream.Incarnation); ok && !entry.Gone {
			averages[entry.Upstream.Service] = append(averages[entry.Upstream.Service], average)
		}
	}
	medians := make(map[blvalue.ServiceName]time.Duration, len(averages))
	for service, list := range averages {
		slices.Sort(list)
		medians[service] = list[len(list)/2]
	}
	return medians
}

// speed returns how fast an upstream answers, in percent of the median of its
// service. An upstream without samples, or whose service has no other that is
// up, counts as average.
func (s State[P]) speed(upstream blvalue.Upstream, median time.Duration) int {
	average, ok := s.serviceTimes.Get(upstream.Incarnation)
	if !ok || average <= 0 || median == 0 {
		return percent
	}
	return min(max(int(percent*median/average), minSpeedPercent), maxSpeedPercent)
}

// weight returns the share of an upstream relative to others: its slots times
// its speed.
func (s State[P]) weight(entry Entry) int {
	speed, ok := s.weights.Get(entry.Upstream.Name)
	if !ok {
		speed = percent
	}
	return max(entry.Upstream.Slots, 1) * speed
}
