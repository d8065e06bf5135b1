package blrollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// fleet is the upstreams of a service by version, sorted by name.
type fleet struct {
	target []blassign.RolloutUpstream
	// others has all other versions, and old those of them that served before the order.
	others []blassign.RolloutUpstream
	old    []blassign.RolloutUpstream
}

func (s Rollouts[J]) fleetOf(r rollout) fleet {
	var f fleet
	for _, u := range s.view.Upstreams {
		switch {
		case u.Upstream.Service != r.order.Service:
		case u.Upstream.Version == r.order.Target:
			f.target = append(f.target, u)
		default:
			f.others = append(f.others, u)
			if _, superseded := r.superseded.Get(u.Upstream.Version); !superseded {
				f.old = append(f.old, u)
			}
		}
	}
	for _, list := range [][]blassign.RolloutUpstream{f.target, f.others, f.old} {
		slices.SortStableFunc(list, func(a, b blassign.RolloutUpstream) int {
			return cmp.Compare(a.Upstream.Name, b.Upstream.Name)
		})
	}
	return f
}

// takesWork reports whether an upstream may be chosen for requests.
func (s Rollouts[J]) takesWork(u blassign.RolloutUpstream) bool {
	return !u.Upstream.Leaving && s.config.Plan.DomainTakesWork(u.Node.Domain)
}

func (s Rollouts[J]) working(list []blassign.RolloutUpstream) int {
	count := 0
	for _, u := range list {
		if s.takesWork(u) {
			count++
		}
	}
	return count
}

// maxCanaries bounds the canaries of a large fleet: more of them make no decision
// sooner, but have to share the exposure.
const maxCanaries = 12

// canaryCount returns how many canaries have a natural share of the traffic below the
// exposure, and at least one, which its allowance limits.
func (s Rollouts[J]) canaryCount(f fleet) int {
	share := exposureFactor * s.config.Plan.Exposure.Share
	count := int(math.Floor(share * float64(s.working(f.old)) / (1 - share)))
	return min(max(count, 1), maxCanaries)
}

// withServing returns the roll-out with count upstreams of the version released, spread
// over the failure domains. Upstreams that were released before stay so while they take
// work.
func (s Rollouts[J]) withServing(r rollout, f fleet, count int, now bltimer.Instant) rollout {
	serving := bltable.Table[blvalue.Incarnation, bltimer.Instant]{}
	domains := map[blvalue.DomainName]int{}
	var free []blassign.RolloutUpstream
	for _, u := range f.target {
		since, ok := r.serving.Get(u.Upstream.Incarnation)
		switch {
		case !s.takesWork(u) || u.Upstream.Incarnation == r.aside:
		case ok && serving.Len() < count:
			serving = serving.With(u.Upstream.Incarnation, since)
			domains[u.Node.Domain]++
		default:
			free = append(free, u)
		}
	}
	for serving.Len() < count && len(free) > 0 {
		next := 0
		for i, u := range free {
			if domains[u.Node.Domain] < domains[free[next].Node.Domain] {
				next = i
			}
		}
		serving = serving.With(free[next].Upstream.Incarnation, now)
		domains[free[next].Node.Domain]++
		free = slices.Delete(free, next, next+1)
	}
	r.serving = serving
	return r
}

const (
	// defaultHeartbeat is assumed where the configuration sets no interval.
	defaultHeartbeat = time.Second
	// reportDelay is how long a heartbeat may take to reach this duty.
	reportDelay = 300 * time.Millisecond
)

func (s Rollouts[J]) heartbeat() time.Duration {
	if s.config.Plan.Timing.Heartbeat <= 0 {
		return defaultHeartbeat
	}
	return s.config.Plan.Timing.Heartbeat
}

// settled reports whether this lead knows what the nodes have counted: all of them have
// reported in its term, or had two heartbeats' time to.
func (s Rollouts[J]) settled(r rollout, f fleet, now bltimer.Instant) bool {
	since := now.Sub(s.termAt)
	if since >= 2*s.heartbeat()+reportDelay {
		return true
	}
	if since < s.heartbeat()+reportDelay || len(f.target)+len(f.others) == 0 {
		return false
	}
	for _, u := range slices.Concat(f.target, f.others) {
		if _, ok := r.results.Get(pairKey(u.Node.Incarnation, u.Upstream.Incarnation)); !ok {
			return false
		}
	}
	return true
}

func firstKey[V any](t bltable.Table[blvalue.Incarnation, V]) blvalue.Incarnation {
	for key := range t.All() {
		return key
	}
	return ""
}

// knowsFleet reports whether an upstream that is missing from the view can't be one whose
// node hasn't reported in this term: such a node no longer sends requests.
func (s Rollouts[J]) knowsFleet(now bltimer.Instant) bool {
	timing := s.config.Plan.Timing
	return now.Sub(s.termAt) >= max(2*s.heartbeat()+reportDelay, timing.Freshness+timing.ClockMargin)
}

// knowsRivals reports whether an upstream of another version would be in the view. That is
// so where the order came to a lead that all nodes had reported to, or that has since heard
// of as many as the record has: waiting for the freshness of nodes to expire would take
// longer than the order has time.
func (s Rollouts[J]) knowsRivals(r rollout, f fleet, now bltimer.Instant) bool {
	switch {
	case s.knowsFleet(now):
		return true
	case !r.stored.loaded || !s.heardNodes(now):
		return false
	case !r.recorded() || !r.inherited && s.heardNodes(r.knownAt):
		return true
	}
	return knownRuns(f.others) >= r.stored.record.Others
}

// heardNodes reports whether all nodes that reach this lead had time to report.
func (s Rollouts[J]) heardNodes(now bltimer.Instant) bool {
	return now.Sub(s.termAt) >= 2*s.heartbeat()+reportDelay
}

// knownRuns counts the upstreams of which more than the name is known.
func knownRuns(list []blassign.RolloutUpstream) int {
	known := 0
	for _, u := range list {
		if u.Upstream.Incarnation != "" {
			known++
		}
	}
	return known
}

// sameKeys reports whether both tables have the same keys.
func sameKeys[V any](a, b bltable.Table[blvalue.Incarnation, V]) bool {
	if a.Len() != b.Len() {
		return false
	}
	for key := range a.All() {
		if _, ok := b.Get(key); !ok {
			return false
		}
	}
	return true
}
