package blassign

import (
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Holder names one run of an upstream, behind one run of a node where that
// keeps its grants.
type Holder string

// NewHolder returns the holder of an upstream behind a run of a node. One that
// keeps its grants itself is the same holder behind every run of its node.
func NewHolder(node blvalue.Incarnation, upstream blvalue.Upstream) Holder {
	if upstream.KeepsGrants {
		return Holder("/" + upstream.Incarnation)
	}
	return Holder(node + "/" + upstream.Incarnation)
}

// sentSet is a set of partitions that was granted and may still be in use.
type sentSet struct {
	fence   blvalue.Fence
	set     blvalue.PartitionSet
	expires bltimer.Instant
}

// Outstanding is the immutable list of what a holder may still be using. The
// last element is the current grant.
type Outstanding struct {
	// heartbeat is the sequence of the heartbeat that was last answered.
	heartbeat uint64
	sent      []sentSet
}

// current returns the latest set that was sent.
func (o Outstanding) current() sentSet {
	if len(o.sent) == 0 {
		return sentSet{}
	}
	return o.sent[len(o.sent)-1]
}

// withSent returns the list after a grant of set under fence.
func (o Outstanding) withSent(fence blvalue.Fence, set blvalue.PartitionSet, expires bltimer.Instant) Outstanding {
	sent := make([]sentSet, 0, len(o.sent)+1)
	for _, s := range o.sent {
		if s.fence != fence {
			sent = append(sent, s)
			continue
		}
		expires = max(expires, s.expires)
	}
	sent = append(sent, sentSet{fence: fence, set: set, expires: expires})
	o.sent = sent
	return o
}

// withoutReleased returns the list without sets older than fence, which the
// holder says it has stopped using, and without those that have lapsed.
func (o Outstanding) withoutReleased(fence blvalue.Fence, now bltimer.Instant) Outstanding {
	sent := make([]sentSet, 0, len(o.sent))
	for i, s := range o.sent {
		last := i == len(o.sent)-1
		if last || !s.fence.Less(fence) && now.Before(s.expires) {
			sent = append(sent, s)
		}
	}
	o.sent = sent
	return o
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

// lapsed reports whether the holder uses nothing any more at now.
func (o Outstanding) lapsed(now bltimer.Instant) bool {
	for _, s := range o.sent {
		if now.Before(s.expires) {
			return false
		}
	}
	return true
}
