package blassign

import (
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Holder identifies one incarnation of an upstream, and the incarnation of its
// node where the node keeps the upstream's grants.
type Holder string

// NewHolder returns the holder of an upstream behind an incarnation of a node.
// An upstream that keeps its grants itself is the same holder behind every
// incarnation of its node.
func NewHolder(node blvalue.Incarnation, upstream blvalue.Upstream) Holder {
	if upstream.KeepsGrants {
		return Holder("/" + upstream.Incarnation)
	}
	return Holder(node + "/" + upstream.Incarnation)
}

// sentGrant is a set of partitions that was granted and may still be in use.
type sentGrant struct {
	fence   blvalue.Fence
	set     blvalue.PartitionSet
	expires bltimer.Instant
}

// Outstanding is the immutable list of grants that a holder may still be using.
// The last element is the current grant.
type Outstanding struct {
	// upstream is the upstream that holds them.
	upstream blvalue.Upstream
	// heartbeat is the sequence number of the last heartbeat that was answered.
	heartbeat uint64
	sent      []sentGrant
}

// current returns the grant that was sent last.
func (o Outstanding) current() sentGrant {
	if len(o.sent) == 0 {
		return sentGrant{}
	}
	return o.sent[len(o.sent)-1]
}

// withSent returns the list after a grant of set under fence.
func (o Outstanding) withSent(fence blvalue.Fence, set blvalue.PartitionSet, expires bltimer.Instant) Outstanding {
	sent := make([]sentGrant, 0, len(o.sent)+1)
	for _, s := range o.sent {
		if s.fence != fence {
			sent = append(sent, s)
			continue
		}
		expires = max(expires, s.expires)
	}
	sent = append(sent, sentGrant{fence: fence, set: set, expires: expires})
	o.sent = sent
	return o
}

// withoutReleased returns the list without the earlier grants that have expired
// or are older than fence, which the holder reports it has stopped using.
func (o Outstanding) withoutReleased(fence blvalue.Fence, now bltimer.Instant) Outstanding {
	sent := make([]sentGrant, 0, len(o.sent))
	for i, s := range o.sent {
		last := i == len(o.sent)-1
		if last || !s.fence.Less(fence) && now.Before(s.expires) {
			sent = append(sent, s)
		}
	}
	o.sent = sent
	return o
}

// sets returns the partitions of all grants, expired ones included.
func (o Outstanding) sets() blvalue.PartitionSet {
	var all blvalue.PartitionSet
	for _, s := range o.sent {
		all = all.Union(s.set)
	}
	return all
}

// mayUse reports whether the holder may still be using p at now.
func (o Outstanding) mayUse(p blvalue.Partition, now bltimer.Instant) bool {
	for _, s := range o.sent {
		if now.Before(s.expires) && s.set.Has(p) {
			return true
		}
	}
	return false
}

// isSucceededBy reports whether a later incarnation of the same upstream asks for what
// the holder was granted. It runs in the holder's place, so it need not wait until
// that has expired.
func (o Outstanding) isSucceededBy(upstream blvalue.Upstream) bool {
	return upstream.KeepsGrants && upstream.Name == o.upstream.Name && o.upstream.StartedAt < upstream.StartedAt
}

// expired reports whether all grants of the holder have expired at now.
func (o Outstanding) expired(now bltimer.Instant) bool {
	for _, s := range o.sent {
		if now.Before(s.expires) {
			return false
		}
	}
	return true
}
