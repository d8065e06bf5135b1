// Package blgrant holds the fenced grants of a node: which partitions its
// upstreams may serve, until when, and which requests run under them.
package blgrant

import (
	"slices"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Offer is a grant as the lead issues it in a heartbeat reply.
type Offer struct {
	Upstream    blvalue.UpstreamName
	Incarnation blvalue.Incarnation
	Service     blvalue.ServiceName
	Fence       blvalue.Fence
	// TTL counts from the moment at which the holder sent its heartbeat.
	TTL time.Duration
	// HasSet reports whether Set is given; otherwise the holder keeps the set
	// that it holds under the same fence.
	HasSet bool
	Set    blvalue.PartitionSet
	// Withheld is set while the lead withholds partitions that another upstream may hold.
	// Those that have left the set are to be taken back as soon as possible.
	Withheld bool
	// Handovers holds the tokens that earlier owners returned with partitions.
	Handovers []Handover
}

// Handover is the token that an upstream returned with a partition. The
// partition's next owner starts faster with it.
type Handover struct {
	Partition blvalue.Partition
	Token     string
}

// Held is what a holder reports about one upstream in its heartbeat.
type Held struct {
	Upstream    blvalue.UpstreamName
	Incarnation blvalue.Incarnation
	Service     blvalue.ServiceName
	// Fence is the fence of the oldest set under which requests may still run.
	Fence blvalue.Fence
	// HasSet reports whether Set is given. A lead that issued the grant knows
	// the set without it.
	HasSet bool
	// Set is the set that the holder held and was still permitted to use when it
	// sent the report.
	Set blvalue.PartitionSet
	// Handovers holds the tokens that the upstream returned with partitions.
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
	// setAt is when Set last changed.
	setAt bltimer.Instant
	// revoked holds the partitions that are no longer granted but may still be in
	// use.
	revoked blvalue.PartitionSet
	// unreleasedFence is the fence to report until revoked is empty.
	unreleasedFence blvalue.Fence
	// keptByUpstream is set when the upstream keeps the grant itself. The grant
	// then covers only partitions that the upstream has confirmed, and revoked
	// partitions stay in use until the upstream has returned them.
	keptByUpstream bool
	// firstSeenAt is when this node first saw the upstream, and maxTTL the
	// longest time for which an earlier incarnation of the node can have
	// granted it anything.
	firstSeenAt bltimer.Instant
	maxTTL      time.Duration
	// confirmed is the part of Set that the upstream has confirmed.
	confirmed blvalue.PartitionSet
	// withheld is set while the lead withholds partitions that another upstream may hold.
	withheld bool
	// receivedHandovers holds the tokens that earlier owners returned, to be
	// passed to the upstream.
	receivedHandovers []Handover
	// returnedHandovers holds the tokens that the upstream returned, to be
	// reported to the lead.
	returnedHandovers []Handover
	// returnedAt is when the latest of returnedHandovers arrived.
	returnedAt bltimer.Instant
}

// KeptByUpstream reports whether the upstream keeps the grant itself.
func (g Grant) KeptByUpstream() bool { return g.keptByUpstream }

// Handovers returns the tokens that earlier owners returned with partitions of
// the set.
func (g Grant) Handovers() []Handover { return g.receivedHandovers }

// Withheld reports whether revoked partitions may be held by another upstream as well.
func (g Grant) Withheld() bool { return g.withheld }

// Revoked returns the revoked partitions that may still be in use.
func (g Grant) Revoked() blvalue.PartitionSet { return g.revoked }

// Covers reports whether the grant permits requests on p at now.
func (g Grant) Covers(p blvalue.Partition, now bltimer.Instant) bool {
	return now.Before(g.Until) && g.Set.Has(p) && (!g.keptByUpstream || g.confirmed.Has(p))
}

// WithOffer returns the grant after an offer that answers a heartbeat sent at
// sentAt. An offer with an older fence changes nothing, nor does an offer without
// a set under another fence than the grant's.
func (g Grant) WithOffer(offer Offer, sentAt bltimer.Instant) Grant {
	if offer.Fence.Less(g.Fence) {
		return g
	}
	if !offer.HasSet && offer.Fence != g.Fence {
		return g
	}
	if offer.HasSet && offer.Fence != g.Fence {
		if g.revoked.Len() == 0 {
			g.unreleasedFence = g.Fence
		}
		g.revoked = g.revoked.Union(g.Set.Without(offer.Set)).Without(offer.Set)
		g.Set = offer.Set
		g.Fence = offer.Fence
		g.confirmed = g.confirmed.Intersect(offer.Set)
		g.receivedHandovers = offer.Handovers
		g.withheld = offer.Withheld
	}
	g.Until = max(g.Until, sentAt.Add(offer.TTL))
	g.maxTTL = max(g.maxTTL, offer.TTL)
	return g
}

// isStaleOffer reports whether an offer of another term answers a report that
// no longer holds: the grant has expired or changed since the report was sent, and
// another holder may have the partitions that it listed.
func (g Grant) isStaleOffer(offer Offer, sentAt, now bltimer.Instant) bool {
	expired := g.Until != 0 && !now.Before(g.Until) && sentAt.Before(g.Until)
	changed := g.setAt != 0 && sentAt.Before(g.setAt)
	return (expired || changed) && g.Fence.Term < offer.Fence.Term
}

func (g Grant) withoutRevoked() Grant {
	g.revoked = blvalue.PartitionSet{}
	return g
}

// withHoldings returns the grant after the upstream reported the partitions that
// it holds and those that it has returned.
func (g Grant) withHoldings(m UpstreamHoldings, now bltimer.Instant) Grant {
	g.confirmed = m.Confirmed.Intersect(g.Set)
	g.revoked = g.revoked.Without(m.Released)
	if len(m.Handovers) > 0 {
		g.returnedHandovers = slices.Concat(g.returnedHandovers, m.Handovers)
		g.returnedAt = now
	}
	return g
}

// withHandoversReported returns the grant after the lead answered a report that
// was sent at sentAt: the lead has the handovers that were returned before
// then.
func (g Grant) withHandoversReported(sentAt bltimer.Instant) Grant {
	if g.returnedAt < sentAt {
		g.returnedHandovers = nil
	}
	return g
}

// driftDivisor sets the margin for clock drift over the lifetime of a grant: one
// eighth of that lifetime.
const driftDivisor = 8

// reportedFence returns the fence to report to the lead: everything older than
// it is released. An upstream that keeps its grants may still use what an
// earlier incarnation of this node granted it, until that has expired; until
// then the zero fence is reported, which releases nothing.
func (g Grant) reportedFence(now bltimer.Instant) blvalue.Fence {
	if g.keptByUpstream && now.Before(g.firstSeenAt.Add(g.maxTTL+g.maxTTL/driftDivisor)) {
		return blvalue.Fence{}
	}
	if g.revoked.Len() > 0 {
		return g.unreleasedFence
	}
	return g.Fence
}
