package blassign

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// offer computes the grant of one upstream. It reports whether partitions are
// on their way to it that another holder may still use.
func (s State[P]) offer(m Heartbeat, upstream blvalue.Upstream, now bltimer.Instant) (State[P], blgrant.Offer, bool) {
	ownership, ok := s.services.Get(upstream.Service)
	if !ok || !s.mayAnswerTo(m.Node, upstream) {
		return s, blgrant.Offer{}, false
	}
	holder := NewHolder(m.Node.Incarnation, upstream)
	held := heldBy(m, upstream)
	owned := ownership.OwnedBy(upstream.Name)
	outstanding, _ := s.outstanding.Get(holder)
	current := outstanding.current()
	allowed := owned
	taken := s.settled(now) || held.Fence.Term == s.authority.Term
	unchanged := taken && now.Before(current.expires) && current.set.Equal(owned)
	if !unchanged {
		allowed = s.allowed(ownership, holder, upstream, owned, held, now)
		s = s.withService(upstream.Service, ownership.withClaims(allowed, holder))
	}
	fence := current.fence
	if fence.Term != s.authority.Term || !current.set.Equal(allowed) {
		s.sequence++
		fence = blvalue.Fence{Term: s.authority.Term, Sequence: s.sequence}
	}
	timing := s.config.Plan.Timing
	outstanding.heartbeat = max(outstanding.heartbeat, m.Sequence)
	outstanding = outstanding.withSent(fence, allowed, now.Add(s.lapseAfter(timing, upstream)))
	s.outstanding = s.outstanding.With(holder, outstanding)
	offer := blgrant.Offer{
		Upstream: upstream.Name, Incarnation: upstream.Incarnation, Service: upstream.Service,
		Fence: fence, TTL: timing.GrantTTL,
	}
	if held.Fence != fence {
		offer.HasSet = true
		offer.Set = allowed
		offer.Handovers = s.takeHandovers(upstream.Service, allowed.Without(held.Set))
	}
	return s, offer, allowed.Len() < owned.Len()
}

// lapseAfter returns how long a grant may be in use, counted from the reply.
func (s State[P]) lapseAfter(timing blconfig.Timing, upstream blvalue.Upstream) time.Duration {
	if upstream.ChecksFence {
		return timing.GrantTTL + timing.Margin
	}
	return timing.GrantTTL + timing.Margin + timing.Settle
}

// allowed returns the partitions that the holder may use: those it owns that
// no other holder may still be using. Until the grants of older terms have
// lapsed, these are only what it holds already.
func (s State[P]) allowed(
	ownership Ownership, holder Holder, upstream blvalue.Upstream, owned blvalue.PartitionSet, held blgrant.Held,
	now bltimer.Instant,
) blvalue.PartitionSet {
	if !s.settled(now) {
		owned = owned.Intersect(s.heldUnder(holder, held, now).Union(s.undisputed(ownership, upstream, owned)))
	}
	for p := range owned.All() {
		claimant, ok := ownership.claims.Get(p)
		if !ok || claimant == holder {
			continue
		}
		outstanding, ok := s.outstanding.Get(claimant)
		if ok && outstanding.mayUse(p, now) {
			owned = owned.Without(blvalue.NewPartitionSet(p))
		}
	}
	return owned
}

// undisputed returns the partitions that nobody but the stored owner can be
// using. An upstream that keeps its grants is one holder whichever node renews
// them, and its host has only one run at a time.
func (s State[P]) undisputed(
	ownership Ownership, upstream blvalue.Upstream, owned blvalue.PartitionSet,
) blvalue.PartitionSet {
	if !upstream.KeepsGrants {
		return blvalue.PartitionSet{}
	}
	var list []blvalue.Partition
	for p := range owned.All() {
		if ownership.previous(p) == "" {
			list = append(list, p)
		}
	}
	return blvalue.NewPartitionSet(list...)
}

// heldUnder returns what the holder still uses: by its own report, or by a grant
// of this term where the report leaves it out. A grant that the report doesn't
// show was never taken, and may rest on an older report that came late.
func (s State[P]) heldUnder(holder Holder, held blgrant.Held, now bltimer.Instant) blvalue.PartitionSet {
	outstanding, _ := s.outstanding.Get(holder)
	current := outstanding.current()
	if !held.HasSet && now.Before(current.expires) {
		return current.set
	}
	return held.Set
}

// needsHeld reports whether this lead has to know what the upstream holds from
// an older term, and the report leaves it out. That this lead has granted
// something says nothing while the report shows an older term: the grant may
// have answered a report that came late, and never have been taken.
func (s State[P]) needsHeld(m Heartbeat, upstream blvalue.Upstream, now bltimer.Instant) bool {
	held := heldBy(m, upstream)
	if s.settled(now) || held.HasSet || held.Fence.Term == 0 {
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
