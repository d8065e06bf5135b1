package blassign

import (
	"slices"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// placementInterval is how often the lead checks for partitions to move.
const placementInterval = 50 * time.Millisecond

// loadRetryInterval is how often a new lead repeats requests for state that has
// not been loaded.
const loadRetryInterval = 200 * time.Millisecond

// tick removes expired nodes and moves partitions.
func (s State[P]) tick(now bltimer.Instant) (State[P], []Effect) {
	if !s.authority.Holds(now) {
		return s, nil
	}
	if !s.ready() {
		return s.loadMissing(now)
	}
	// An absence records grants that the next step forgets.
	s = s.withAbsentMembers(now).withoutExpiredMembers(now).withoutUnlistedUpstreams(now)
	s, effects := s.reportPeers(now)
	s, absent := s.trackAbsences(now)
	effects = append(effects, absent...)
	s, view := s.viewRollouts(now)
	effects = append(effects, view...)
	if !s.authority.MayChange || !s.priorGrantsExpired(now) || now.Sub(s.lastAttemptAt) < placementInterval {
		return s, effects
	}
	s.lastAttemptAt = now
	s.lastPlacementAt = now
	s, retries := s.retryUnresolved()
	s, rewrites := s.rewriteRestored(now)
	retries = append(retries, rewrites...)
	s, moves := s.withWeights(now).place()
	s, cleared := s.clearPrevious(now)
	moves = append(moves, cleared...)
	return s, append(append(effects, retries...), moves...)
}

// loadMissing requests again whatever has not been loaded.
func (s State[P]) loadMissing(now bltimer.Instant) (State[P], []Effect) {
	if now.Sub(s.lastAttemptAt) < loadRetryInterval {
		return s, nil
	}
	s.lastAttemptAt = now
	if s.config.Revision == 0 {
		return s, []Effect{LoadConfig{}}
	}
	var effects []Effect
	for name, ownership := range s.services.All() {
		for index := range ownership.chunkCount() {
			if _, ok := ownership.chunks.Get(index); !ok {
				effects = append(effects, LoadChunk{Term: s.authority.Term, ID: ChunkID{Service: name, Index: index}})
			}
		}
	}
	return s, effects
}

// withoutExpiredMembers frees the partitions of nodes whose grants have
// expired. A node stays a member for as long as it may go on admitting
// requests. Grants of earlier incarnations of a node are dropped once they have
// expired.
func (s State[P]) withoutExpiredMembers(now bltimer.Instant) State[P] {
	timing := s.config.Plan.Timing
	for _, member := range s.members.All() {
		if now.Sub(member.LastHeartbeatAt) <= timing.GrantTTL+timing.ClockMargin {
			continue
		}
		if !s.grantsExpired(member, now) {
			continue
		}
		s = s.withoutUpstreams(member)
		if now.Sub(member.LastHeartbeatAt) > timing.Freshness+timing.ClockMargin {
			s.members = s.members.Without(member.Host.Name)
		}
	}
	for holder, outstanding := range s.grants.All() {
		if outstanding.expired(now) {
			s.grants = s.grants.Without(holder)
		}
	}
	return s
}

func (s State[P]) grantsExpired(member Member, now bltimer.Instant) bool {
	for _, upstream := range member.Upstreams {
		holder := NewHolder(member.Host.Incarnation, upstream)
		if outstanding, ok := s.grants.Get(holder); ok && !outstanding.expired(now) {
			return false
		}
	}
	return true
}

func (s State[P]) withoutUpstreams(member Member) State[P] {
	for _, upstream := range member.Upstreams {
		s.grants = s.grants.Without(NewHolder(member.Host.Incarnation, upstream))
		entry, ok := s.entries.Get(upstream.Name)
		if ok && entry.Node.Incarnation == member.Host.Incarnation {
			s = s.withEntry(entry.gone())
		}
	}
	return s
}

// withoutUnlistedUpstreams frees the partitions of upstreams that their nodes list no
// more, once their grants have expired.
func (s State[P]) withoutUnlistedUpstreams(now bltimer.Instant) State[P] {
	for _, entry := range s.entries.All() {
		member, ok := s.members.Get(entry.Node.Name)
		if entry.Gone || !ok || member.Host.Incarnation != entry.Node.Incarnation {
			continue
		}
		if blvalue.HasIncarnation(member.Upstreams, entry.Upstream.Incarnation) {
			continue
		}
		outstanding, granted := s.grants.Get(NewHolder(entry.Node.Incarnation, entry.Upstream))
		if granted && !outstanding.expired(now) {
			continue
		}
		s = s.withEntry(entry.gone())
	}
	return s
}

// retryUnresolved repeats writes whose outcome is unresolved. The same write
// can't take effect twice, since the first changes the revision that it is
// based on.
func (s State[P]) retryUnresolved() (State[P], []Effect) {
	var effects []Effect
	for name, ownership := range s.services.All() {
		for index, chunk := range ownership.chunks.All() {
			if chunk.pending != nil && chunk.unresolved {
				effects = append(effects, WriteChunk{
					ID: ChunkID{Service: name, Index: index}, Base: chunk.Revision, Chunk: *chunk.pending,
				})
			}
		}
	}
	return s, effects
}

// place moves partitions of every exclusive service that has no write pending.
// Placement depends on the directory alone: each upstream that joins,
// disappears or starts leaving, and each change of owner, gives the directory a
// new version.
func (s State[P]) place() (State[P], []Effect) {
	if s.placedVersion == s.version {
		return s, nil
	}
	var effects []Effect
	noPending := true
	for name, service := range s.config.Plan.Services {
		ownership, ok := s.services.Get(name)
		if !ok || service.Kind != blconfig.ServiceExclusive {
			continue
		}
		if ownership.hasPending() || s.hasRestored(ownership) {
			noPending = false
			continue
		}
		candidates := s.candidates(name)
		if len(candidates) == 0 {
			continue
		}
		var writes []Effect
		s, writes = s.placeService(name, ownership, candidates)
		effects = append(effects, writes...)
	}
	if noPending && len(effects) == 0 {
		s.placedVersion = s.version
	}
	return s, effects
}

func (s State[P]) placeService(
	name blvalue.ServiceName, ownership Ownership, candidates []Candidate,
) (State[P], []Effect) {
	var effects []Effect
	current := ownership.Owners()
	wanted := s.policy.Place(current, candidates)
	for index := range ownership.chunkCount() {
		first := index * ChunkSize
		last := min(first+ChunkSize, len(current))
		if slices.Equal(current[first:last], wanted[first:last]) {
			continue
		}
		var write Effect
		s, write = s.withPending(ChunkID{Service: name, Index: index}, wanted[first:last])
		effects = append(effects, write)
	}
	return s, effects
}

// candidates returns the upstreams of a service that are eligible to own
// partitions, sorted by name. Those that a roll-out holds back are eligible only if
// there are no others, so that no key loses its owner.
func (s State[P]) candidates(service blvalue.ServiceName) []Candidate {
	var candidates, held []Candidate
	for name, entry := range s.entries.All() {
		if entry.Gone || entry.Upstream.Leaving || entry.Upstream.Service != service {
			continue
		}
		candidate := Candidate{Name: name, Weight: s.weight(entry.Entry)}
		if entry.Held {
			held = append(held, candidate)
			continue
		}
		candidates = append(candidates, candidate)
	}
	if len(candidates) == 0 {
		return held
	}
	return candidates
}
