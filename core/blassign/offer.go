package blassign

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// offer computes the grant of one upstream. It also reports whether some of the
// upstream's partitions are withheld because another holder may still be using
// them.
func (s State[P]) offer(m Heartbeat, upstream blvalue.Upstream, now bltimer.Instant) (State[P], blgrant.Offer, bool) {
	ownership, ok := s.services.Get(upstream.Service)
	if !ok || !s.ownsName(m.Node, upstream) {
		return s, blgrant.Offer{}, false
	}
	holder := NewHolder(m.Node.Incarnation, upstream)
	held := heldBy(m, upstream)
	assigned := ownership.OwnedBy(upstream.Name)
	owned := assigned.Without(s.withheldFrom(upstream, now))
	outstanding, _ := s.grants.Get(holder)
	current := outstanding.current()
	allowed := owned
	accepted := s.priorGrantsExpired(now) || held.Fence.Term == s.authority.Term
	unchanged := accepted && now.Before(current.expires) && current.set.Equal(owned)
	if !unchanged {
		allowed = s.grantable(ownership, holder, upstream, owned, held, now)
		s = s.withService(upstream.Service, ownership.withClaims(allowed, holder))
	}
	fence := current.fence
	if fence.Term != s.authority.Term || !current.set.Equal(allowed) {
		s.sequence++
		fence = blvalue.Fence{Term: s.authority.Term, Sequence: s.sequence}
	}
	timing := s.config.Plan.Timing
	outstanding.upstream = upstream
	outstanding.heartbeat = max(outstanding.heartbeat, m.Sequence)
	outstanding = outstanding.withSent(fence, allowed, now.Add(s.grantLifetime(timing, upstream)))
	s.grants = s.grants.With(holder, outstanding)
	offer := blgrant.Offer{
		Upstream: upstream.Name, Incarnation: upstream.Incarnation, Service: upstream.Service,
		Fence: fence, TTL: timing.GrantTTL, Withheld: owned.Len() < assigned.Len(),
	}
	if held.Fence != fence {
		offer.HasSet = true
		offer.Set = allowed
		offer.Handovers = s.handoversFor(upstream.Service, allowed.Without(held.Set))
	}
	return s, offer, allowed.Len() < owned.Len()
}

// grantLifetime returns how long a grant may be in use, counted from the reply.
// An upstream that doesn't check fences is allowed the settle time in addition.
func (s State[P]) grantLifetime(timing blconfig.Timing, upstream blvalue.Upstream) time.Duration {
	if upstream.ChecksFence {
		return timing.GrantTTL + timing.ClockMargin
	}
	return timing.GrantTTL + timing.ClockMargin + timing.Settle
}

// grantable returns the partitions that may be granted to the holder: those it
// owns that no other holder may still be using. Until the grants of older terms
// have expired, these are only what it holds already and, for an upstream that
// keeps its grants, what has no previous owner.
func (s State[P]) grantable(
	ownership Ownership, holder Holder, upstream blvalue.Upstream, owned blvalue.PartitionSet, held blgrant.Held,
	now bltimer.Instant,
) blvalue.PartitionSet {
	if !s.priorGrantsExpired(now) {
		owned = owned.Intersect(s.heldPartitions(holder, held, now).Union(s.withoutPreviousOwner(ownership, upstream, owned)))
	}
	for p := range owned.All() {
		claimant, ok := ownership.claims.Get(p)
		if !ok || claimant == holder {
			continue
		}
		outstanding, ok := s.grants.Get(claimant)
		if ok && outstanding.mayUse(p, now) && !outstanding.isSucceededBy(upstream) {
			owned = owned.Without(blvalue.NewPartitionSet(p))
		}
	}
	return owned
}

// withoutPreviousOwner returns the partitions that only the stored owner can be
// using. An upstream that keeps its grants is one holder whichever node renews
// them, and only one incarnation of it runs on its host at a time. A chunk of an earlier
// era of the store tells nothing: the owner may have changed since.
func (s State[P]) withoutPreviousOwner(
	ownership Ownership, upstream blvalue.Upstream, owned blvalue.PartitionSet,
) blvalue.PartitionSet {
	if !upstream.KeepsGrants {
		return blvalue.PartitionSet{}
	}
	var list []blvalue.Partition
	for p := range owned.All() {
		if chunk, _ := ownership.chunks.Get(int(p) / ChunkSize); ownership.previous(p) == "" && !s.isRestored(chunk) {
			list = append(list, p)
		}
	}
	return blvalue.NewPartitionSet(list...)
}

// heldPartitions returns what the holder still uses: by its own report, or by a
// grant of this term where the report omits the set. A grant that the report
// doesn't show was never accepted, and may answer an older report that arrived
// late.
func (s State[P]) heldPartitions(holder Holder, held blgrant.Held, now bltimer.Instant) blvalue.PartitionSet {
	outstanding, _ := s.grants.Get(holder)
	current := outstanding.current()
	if !held.HasSet && now.Before(current.expires) {
		return current.set
	}
	return held.Set
}

// needsHeld reports whether the lead has to know what the upstream holds from
// an older term and the report omits it. A grant by this lead proves nothing
// while the report shows an older term: it may have answered a report that
// arrived late, and never have been accepted.
func (s State[P]) needsHeld(m Heartbeat, upstream blvalue.Upstream, now bltimer.Instant) bool {
	held := heldBy(m, upstream)
	if s.priorGrantsExpired(now) || held.HasSet || held.Fence.Term == 0 {
		return false
	}
	return held.Fence.Term != s.authority.Term
}

func heldBy(m Heartbeat, upstream blvalue.Upstream) blgrant.Held {
	for _, held := range m.Held {
		if held.Incarnation == upstream.Incarnation {
			return held
		}
	}
	return blgrant.Held{}
}
