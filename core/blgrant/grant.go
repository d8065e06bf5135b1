// Package blgrant holds the fenced grants of a node: which partitions its
// upstreams may serve, until when, and which requests run under them.
package blgrant

import (
	"slices"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Offer is a grant as the lead hands it out in answer to a heartbeat.
type Offer struct {
	Upstream    blvalue.UpstreamName
	Incarnation blvalue.Incarnation
	Service     blvalue.ServiceName
	Fence       blvalue.Fence
	// TTL counts from the moment at which the holder sent its heartbeat.
	TTL time.Duration
	// HasSet tells whether Set is given; otherwise the holder keeps the set
	// that it holds under the same fence.
	HasSet bool
	Set    blvalue.PartitionSet
	// Handovers holds what the earlier owners of partitions gave back.
	Handovers []Handover
}

// Handover is what an upstream gave back with a partition. Its next owner
// starts faster with it.
type Handover struct {
	Partition blvalue.Partition
	Token     string
}

// Held is what a holder reports of one upstream in its heartbeat.
type Held struct {
	Upstream    blvalue.UpstreamName
	Incarnation blvalue.Incarnation
	Service     blvalue.ServiceName
	// Fence is the fence of the oldest set under which requests may still run.
	Fence blvalue.Fence
	// HasSet tells whether Set is given. A lead that gave the grant knows it.
	HasSet bool
	// Set is what the holder holds and still may use when it sent the report.
	Set blvalue.PartitionSet
	// Handovers holds what the upstream gave back with partitions.
	Handovers []Handover
}

// Grant is one upstream's grant at its holder.
type Grant struct {
	Upstream    blvalue.UpstreamName
	Incarnation blvalue.Incarnation
	Service     blvalue.ServiceName
	Fence       blvalue.Fence
	Set         blvalue.PartitionSet
	Until       bltimer.Instant
	// dropping holds partitions taken away whose requests still run.
	dropping blvalue.PartitionSet
	// oldFence is the fence to report until dropping is empty.
	oldFence blvalue.Fence
	// keeps tells that the upstream keeps the grant itself. It then covers only
	// what the upstream has confirmed, and what is taken away is in use until
	// the upstream has given it back.
	keeps bool
	// since is when this node first saw the upstream, and ttl the longest time
	// for which an earlier run of the node can have granted it anything.
	since     bltimer.Instant
	ttl       time.Duration
	confirmed blvalue.PartitionSet
	// taken holds what earlier owners gave back, for the upstream.
	taken []Handover
	// given holds what the upstream gave back, for the lead.
	given []Handover
	// givenAt is when the latest of them came.
	givenAt bltimer.Instant
}

// Keeps reports whether the upstream keeps the grant itself.
func (g Grant) Keeps() bool { return g.keeps }

// Handovers returns what earlier owners gave back with partitions of the set.
func (g Grant) Handovers() []Handover { return g.taken }

// Dropping returns the partitions taken away that may still be in use.
func (g Grant) Dropping() blvalue.PartitionSet { return g.dropping }

// Covers reports whether the grant allows work on p at now.
func (g Grant) Covers(p blvalue.Partition, now bltimer.Instant) bool {
	return now.Before(g.Until) && g.Set.Has(p) && (!g.keeps || g.confirmed.Has(p))
}

// WithOffer returns the grant after an offer, in answer to a heartbeat that
// was sent at sentAt. An offer with an older fence changes nothing.
func (g Grant) WithOffer(offer Offer, sentAt bltimer.Instant) Grant {
	if offer.Fence.Less(g.Fence) {
		return g
	}
	if !offer.HasSet && offer.Fence != g.Fence {
		return g
	}
	if offer.HasSet && offer.Fence != g.Fence {
		if g.dropping.Len() == 0 {
			g.oldFence = g.Fence
		}
		g.dropping = g.dropping.Union(g.Set.Without(offer.Set)).Without(offer.Set)
		g.Set = offer.Set
		g.Fence = offer.Fence
		g.confirmed = g.confirmed.Intersect(offer.Set)
		g.taken = offer.Handovers
	}
	g.Until = max(g.Until, sentAt.Add(offer.TTL))
	g.ttl = max(g.ttl, offer.TTL)
	return g
}

// outdates reports whether an offer of another term rests on a report that no
// longer holds: the grant has lapsed since the report was sent, and another
// holder may have what it named.
func (g Grant) outdates(offer Offer, sentAt, now bltimer.Instant) bool {
	lapsed := g.Until != 0 && !now.Before(g.Until) && sentAt.Before(g.Until)
	return lapsed && g.Fence.Term < offer.Fence.Term
}

func (g Grant) withoutDropping() Grant {
	g.dropping = blvalue.PartitionSet{}
	return g
}

// withKept returns the grant after the upstream told what it holds and what it
// gave back.
func (g Grant) withKept(m Kept, now bltimer.Instant) Grant {
	g.confirmed = m.Confirmed.Intersect(g.Set)
	g.dropping = g.dropping.Without(m.Released)
	if len(m.Handovers) > 0 {
		g.given = slices.Concat(g.given, m.Handovers)
		g.givenAt = now
	}
	return g
}

// withReported returns the grant after the lead answered a report that was sent
// at sentAt: what was given back before then is known to it.
func (g Grant) withReported(sentAt bltimer.Instant) Grant {
	if g.givenAt < sentAt {
		g.given = nil
	}
	return g
}

// driftPart is the part of a grant that covers the drift of clocks over it.
const driftPart = 8

// reportedFence returns the fence up to which everything older is released. An
// upstream that keeps its grants may still use what an earlier run of this node
// granted it, until that has lapsed; no fence says so until then.
func (g Grant) reportedFence(now bltimer.Instant) blvalue.Fence {
	if g.keeps && now.Before(g.since.Add(g.ttl+g.ttl/driftPart)) {
		return blvalue.Fence{}
	}
	if g.dropping.Len() > 0 {
		return g.oldFence
	}
	return g.Fence
}
