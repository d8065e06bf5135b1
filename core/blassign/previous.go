package blassign

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// previousCheckInterval is how often the lead checks for previous owners to
// clear.
const previousCheckInterval = time.Second

// clearPrevious rewrites chunks whose previous owners have all stopped using
// their partitions, so that the next lead need not wait for them, and chunks that list
// absent hosts which are no longer watched.
func (s State[P]) clearPrevious(now bltimer.Instant) (State[P], []Effect) {
	if now.Sub(s.previousCheckedAt) < previousCheckInterval {
		return s, nil
	}
	s.previousCheckedAt = now
	var effects []Effect
	for name, ownership := range s.services.All() {
		for index, chunk := range ownership.chunks.All() {
			if chunk.pending != nil || s.isRestored(chunk) {
				continue
			}
			if !s.canClearPrevious(ownership, index, chunk, now) && !s.canClearAbsent(chunk) {
				continue
			}
			var write Effect
			s, write = s.withPending(ChunkID{Service: name, Index: index}, chunk.Owners)
			effects = append(effects, write)
		}
	}
	return s, effects
}

// canClearPrevious reports whether a chunk lists previous owners and all of
// them have stopped.
func (s State[P]) canClearPrevious(ownership Ownership, index int, chunk ownedChunk, now bltimer.Instant) bool {
	hasPrevious := false
	for i, previous := range chunk.Previous {
		if previous == "" {
			continue
		}
		hasPrevious = true
		if !s.grantedToOwner(ownership, blvalue.Partition(index*ChunkSize+i), now) {
			return false
		}
	}
	return hasPrevious
}

// grantedToOwner reports whether only the current owner may use p: it holds a
// grant of p, which is issued only once all other holders have stopped.
func (s State[P]) grantedToOwner(ownership Ownership, p blvalue.Partition, now bltimer.Instant) bool {
	claimant, ok := ownership.claims.Get(p)
	if !ok {
		return false
	}
	entry, ok := s.entries.Get(ownership.Owner(p))
	if !ok || entry.Gone || NewHolder(entry.Node.Incarnation, entry.Upstream) != claimant {
		return false
	}
	outstanding, ok := s.grants.Get(claimant)
	return ok && outstanding.mayUse(p, now)
}
