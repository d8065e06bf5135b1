package blrollout

import (
	"slices"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// slotDuration is the length of the periods by which results are kept, so that a
	// version that turns bad late is compared over the time since.
	slotDuration = time.Second
	// maxSlots bounds the periods. Later results count towards the last one.
	maxSlots = 40
)

// reported is the latest report of a node about an upstream.
type reported struct {
	results blvalue.UpstreamResults
	at      bltimer.Instant
}

// sample is the counts of a class by period: of one upstream of the version, or of all
// others together if upstream is empty.
type sample struct {
	class    string
	upstream blvalue.Incarnation
	domain   blvalue.DomainName
	slots    []Counts
}

func pairKey(node, upstream blvalue.Incarnation) string {
	return string(node) + "/" + string(upstream)
}

func (s Rollouts[J]) resultsSeen(m ResultsSeen, now bltimer.Instant) Rollouts[J] {
	if m.Reported.Term != s.authority.Term {
		return s
	}
	for _, results := range m.Reported.Results {
		r, ok := s.services.Get(results.Service)
		if !ok || !r.counts(results) {
			continue
		}
		s = s.withRollout(s.withResults(r, m.Reported.Node, results, now))
	}
	return s
}

// counts reports whether results are of the order, under its present revision or one
// that it had before it was written again.
func (r rollout) counts(results blvalue.UpstreamResults) bool {
	first := r.order.Revision
	if r.recorded() {
		first = min(first, r.stored.record.Order.Revision)
	}
	return r.order.Target != "" && results.Order >= first && results.Order <= r.order.Revision
}

func (s Rollouts[J]) withResults(r rollout, node blvalue.Host, results blvalue.UpstreamResults, now bltimer.Instant) rollout {
	key := pairKey(node.Incarnation, results.Incarnation)
	before, _ := r.results.Get(key)
	if results.Order < before.results.Order || results.Order == before.results.Order && results.Sent < before.results.Sent {
		return r
	}
	if results.Sent < before.results.Sent {
		// The node counts from zero since the order was written again.
		before = reported{}
		r.budget.grants = r.budget.grants.Without(key)
	}
	r.orderedAt = min(r.orderedAt, now.Add(-results.OrderAge))
	r.results = r.results.With(key, reported{results: results, at: now})
	if _, superseded := r.superseded.Get(results.Version); superseded || !s.config.Plan.DomainTakesWork(node.Domain) {
		return r
	}
	for _, class := range results.Classes {
		r = r.withSample(node.Domain, results, class, countsSince(class, before.results), now)
	}
	return r
}

func (r rollout) withSample(
	domain blvalue.DomainName, results blvalue.UpstreamResults, class blvalue.ClassResults, added Counts, now bltimer.Instant,
) rollout {
	if added.isZero() {
		return r
	}
	upstream := blvalue.Incarnation("")
	if results.Version == r.order.Target {
		upstream = results.Incarnation
		if r.answeredAt == 0 {
			r.answeredAt = now
		}
	}
	key := class.Class + "/" + string(upstream)
	current, ok := r.samples.Get(key)
	if !ok {
		current = sample{class: class.Class, upstream: upstream}
	}
	current.domain = domain
	slot := min(int(now.Sub(r.knownAt)/slotDuration), maxSlots-1)
	current.slots = slices.Clone(current.slots)
	for len(current.slots) <= slot {
		current.slots = append(current.slots, Counts{})
	}
	current.slots[slot] = current.slots[slot].Plus(added)
	r.samples = r.samples.With(key, current)
	return r
}

// sent returns how many requests the nodes report to have sent to all upstreams of the
// service and to those of the version.
func (r rollout) sent() (all, version uint64) {
	for _, report := range r.results.All() {
		all += report.results.Sent
		if report.results.Version == r.order.Target {
			version += report.results.Sent
		}
	}
	return all, version
}
