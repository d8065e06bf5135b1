// Package blgrant holds the fenced grants of a node: which partitions its
// upstreams may serve, until when, and which requests run under them.
package blgrant

import (
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
}

// Covers reports whether the grant allows work on p at now.
func (g Grant) Covers(p blvalue.Partition, now bltimer.Instant) bool {
	return now.Before(g.Until) && g.Set.Has(p)
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
	}
	g.Until = max(g.Until, sentAt.Add(offer.TTL))
	return g
}

func (g Grant) withoutDropping() Grant {
	g.dropping = blvalue.PartitionSet{}
	return g
}

// reportedFence returns the fence up to which everything older is released.
func (g Grant) reportedFence() blvalue.Fence {
	if g.dropping.Len() > 0 {
		return g.oldFence
	}
	return g.Fence
}
