package blassign

import (
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// isRestored reports whether the chunk was written in an earlier era of the store than
// the present one. The store may hold an older copy of it, or none, and moves that
// followed that copy are lost there.
func (s State[P]) isRestored(chunk ownedChunk) bool {
	return chunk.WriteID != "" && chunk.Era < max(s.authority.Era, blplatform.RevisionEra(chunk.Revision))
}

// awaitsBase reports whether the revision of a restored chunk in the present era isn't
// known yet.
func (s State[P]) awaitsBase(chunk ownedChunk) bool {
	return chunk.pending == nil && s.isRestored(chunk) && chunk.baseEra < s.authority.Era
}

func (s State[P]) hasRestored(ownership Ownership) bool {
	for _, chunk := range ownership.chunks.All() {
		if s.isRestored(chunk) {
			return true
		}
	}
	return false
}

// withoutEarlierWrites drops writes of chunks that were made in an earlier era of the
// store. One of them may still take effect there, but moves nothing: the chunk then
// names the earlier era, and this lead grants by what it knows to be in use.
func (s State[P]) withoutEarlierWrites() State[P] {
	for name, ownership := range s.services.All() {
		for index, chunk := range ownership.chunks.All() {
			if chunk.pending == nil || chunk.pending.Era >= s.authority.Era {
				continue
			}
			chunk.pending, chunk.unresolved = nil, false
			ownership = ownership.withChunk(index, chunk)
		}
		s = s.withService(name, ownership)
	}
	return s
}

// withBase keeps what this lead knows of a chunk and takes only its revision from the
// restored store.
func (s State[P]) withBase(id ChunkID, ownership Ownership, current ownedChunk, found Chunk) State[P] {
	era := blplatform.RevisionEra(found.Revision)
	if found.Revision == 0 {
		era = s.authority.Era
	}
	if era < current.baseEra || found.Term > s.authority.Term {
		return s
	}
	current.pending, current.unresolved = nil, false
	current.Revision, current.baseEra = found.Revision, era
	return s.withService(id.Service, ownership.withChunk(id.Index, current))
}

// isOlderCopy reports whether a conflicting chunk is there only because the store was
// restored: it was written in an earlier era than it is read in, or is gone.
func (s State[P]) isOlderCopy(current ownedChunk, found Chunk) bool {
	if found.Revision == 0 {
		return current.Revision != 0
	}
	return found.Era < blplatform.RevisionEra(found.Revision) && found.Term <= s.authority.Term && current.WriteID != ""
}

// rewriteRestored writes the chunks of an earlier era again, with the owners that this
// lead knows, once it has read their revisions.
func (s State[P]) rewriteRestored(now bltimer.Instant) (State[P], []Effect) {
	var effects []Effect
	mayLoad := now.Sub(s.reloadedAt) >= loadRetryInterval
	for name, ownership := range s.services.All() {
		for index, chunk := range ownership.chunks.All() {
			id := ChunkID{Service: name, Index: index}
			switch {
			case chunk.pending != nil || !s.isRestored(chunk) || blplatform.RevisionEra(chunk.Revision) > s.authority.Era:
			case !s.awaitsBase(chunk):
				var write Effect
				s, write = s.withPending(id, chunk.Owners)
				effects = append(effects, write)
			case mayLoad:
				s.reloadedAt = now
				effects = append(effects, LoadChunk{Term: s.authority.Term, ID: id})
			}
		}
	}
	return s, effects
}
