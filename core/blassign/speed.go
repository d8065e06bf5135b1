package blassign

import (
	"slices"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// speedEvery is how often the lead compares how fast upstreams are.
	speedEvery = 2 * time.Second
	// speedChange is the change of a weight, in percent, that is worth moving
	// partitions for.
	speedChange = 20
	// paceWeight is the share of a report in the moving average: one in eight.
	paceWeight = 8
	// slowest and fastest bound what the usual time to answer says of an
	// upstream, in percent of the median.
	slowest = 50
	fastest = 160
	percent = 100
)

// withLoads keeps a moving average of how long requests take at upstreams.
func (s State[P]) withLoads(m Heartbeat) State[P] {
	for _, reported := range m.Loads {
		if reported.Load.Service <= 0 {
			continue
		}
		pace, ok := s.paces.Get(reported.Incarnation)
		if !ok {
			pace = reported.Load.Service
		}
		s.paces = s.paces.With(reported.Incarnation, pace+(reported.Load.Service-pace)/paceWeight)
	}
	return s
}

// withWeights gives upstreams that answer faster a larger share, once that
// makes enough of a difference.
func (s State[P]) withWeights(now bltimer.Instant) State[P] {
	if now.Sub(s.weighedAt) < speedEvery {
		return s
	}
	s.weighedAt = now
	medians := s.medianPaces()
	weights := s.weights
	changed := false
	for name, entry := range s.entries.All() {
		wanted := s.speed(entry.Upstream, medians[entry.Upstream.Service])
		current, ok := s.weights.Get(name)
		if !ok {
			current = percent
		}
		weights = weights.With(name, wanted)
		changed = changed || percent*max(wanted-current, current-wanted) > speedChange*current
	}
	if !changed {
		return s
	}
	s.weights = weights
	s.placedFor = 0
	return s
}

// medianPaces returns the median time to answer of the upstreams of each service
// that are up.
func (s State[P]) medianPaces() map[blvalue.ServiceName]time.Duration {
	paces := map[blvalue.ServiceName][]time.Duration{}
	for _, entry := range s.entries.All() {
		if pace, ok := s.paces.Get(entry.Upstream.Incarnation); ok && !entry.Gone {
			paces[entry.Upstream.Service] = append(paces[entry.Upstream.Service], pace)
		}
	}
	medians := make(map[blvalue.ServiceName]time.Duration, len(paces))
	for service, list := range paces {
		slices.Sort(list)
		medians[service] = list[len(list)/2]
	}
	return medians
}

// speed returns how fast an upstream answers, in percent of the median of its
// service. One of which nothing is known, or whose service has no other that is
// up, counts as average.
func (s State[P]) speed(upstream blvalue.Upstream, median time.Duration) int {
	pace, ok := s.paces.Get(upstream.Incarnation)
	if !ok || pace <= 0 || median == 0 {
		return percent
	}
	return min(max(int(percent*median/pace), slowest), fastest)
}

// weight returns the share of an upstream relative to others.
func (s State[P]) weight(entry Entry) int {
	speed, ok := s.weights.Get(entry.Upstream.Name)
	if !ok {
		speed = percent
	}
	return max(entry.Upstream.Slots, 1) * speed
}
