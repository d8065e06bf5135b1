package blassign

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// clearEvery is how often the lead looks for earlier owners to forget.
const clearEvery = time.Second

// forgetPrevious writes chunks again whose earlier owners have all stopped
// using their partitions, so that the next lead need not wait for them.
func (s State[P]) forgetPrevious(now bltimer.Instant) (State[P], []Effect) {
	if now.Sub(s.clearedAt) < clearEvery {
		return s, nil
	}
	s.clearedAt = now
	var effects []Effect
	for name, ownership := range s.services.All() {
		for index, chunk := range ownership.chunks.All() {
			if chunk.pending != nil || !s.mayForget(ownership, index, chunk, now) {
				continue
			}
			var write Effect
			s, write = s.withPending(ChunkID{Service: name, Index: index}, chunk.Owners)
			effects = append(effects, write)
		}
	}
	return s, effects
}

// mayForget reports whether a chunk names earlier owners, and all of them have
// stopped.
func (s State[P]) mayForget(ownership Ownership, index int, chunk ownedChunk, now bltimer.Instant) bool {
	named := false
	for i, previous := range chunk.Previous {
		if previous == "" {
			continue
		}
		named = true
		if !s.unused(ownership, blvalue.Partition(index*ChunkSize+i), now) {
			return false
		}
	}
	return named
}

// unused reports whether nobody but the present owner may use p: it has been
// granted p, which happens only once everybody else has stopped.
func (s State[P]) unused(ownership Ownership, p blvalue.Partition, now bltimer.Instant) bool {
	claimant, ok := ownership.claims.Get(p)
	if !ok {
		return false
	}
	entry, ok := s.entries.Get(ownership.Owner(p))
	if !ok || entry.Gone || NewHolder(entry.Node.Incarnation, entry.Upstream) != claimant {
		return false
	}
	outstanding, ok := s.outstanding.Get(claimant)
	return ok && outstanding.mayUse(p, now)
}
