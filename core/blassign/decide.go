package blassign

import (
	"fmt"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Decide returns the next state and the effects of one message.
func (s State[P]) Decide(message Message, now bltimer.Instant) (State[P], []Effect) {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case AuthorityChanged:
		return s.authorityChanged(m)
	case ConfigSeen:
		return s.configSeen(m, now)
	case ChunkLoaded:
		return s.chunkLoaded(m), nil
	case ChunkWritten:
		return s.chunkWritten(m, now)
	case Heartbeat:
		return s.heartbeat(m, now)
	case AdmissionChanged:
		return s.admissionChanged(m, now)
	case HostProbed:
		return s.hostProbed(m, now)
	}
	return s, nil
}

// Decide is the decision function of a duty whose state is State[P].
func Decide[P Policy](s State[P], message Message, now bltimer.Instant) (State[P], []Effect) {
	return s.Decide(message, now)
}

// authorityChanged discards all state when a new term begins: a lead starts
// from the store, never from its memory.
func (s State[P]) authorityChanged(m AuthorityChanged) (State[P], []Effect) {
	began := m.Authority.Term != 0 && m.Authority.Term != s.authority.Term
	restored := m.Authority.Era > s.authority.Era
	s.authority = m.Authority
	if !began && restored {
		return s.withoutEarlierWrites(), nil
	}
	if !began {
		return s, nil
	}
	s = s.withoutTermState()
	s.earlierEntries, s.admission.inherited = m.Entries, m.Entries
	return s, []Effect{LoadConfig{}}
}

// configSeen adopts a later configuration; an earlier one is a late answer, or that
// of a store restored from an older copy.
func (s State[P]) configSeen(m ConfigSeen, now bltimer.Instant) (State[P], []Effect) {
	if s.authority.Term == 0 || !m.Accepted.LaterThan(s.config) {
		return s, nil
	}
	s.laterConfigAt = 0
	if m.Accepted.SameAs(s.config) {
		s.config = s.config.WithRevision(m.Accepted.Revision)
		return s, nil
	}
	s.config = m.Accepted
	s.configAt = now
	var effects []Effect
	for name, service := range s.config.Plan.Services {
		if _, ok := s.services.Get(name); ok || service.Kind != blconfig.ServiceExclusive {
			continue
		}
		ownership := NewOwnership(service.Partitions)
		s = s.withService(name, ownership)
		for index := range ownership.chunkCount() {
			effects = append(effects, LoadChunk{Term: s.authority.Term, ID: ChunkID{Service: name, Index: index}})
		}
	}
	return s, effects
}

func (s State[P]) chunkLoaded(m ChunkLoaded) State[P] {
	ownership, ok := s.services.Get(m.ID.Service)
	if m.Term != s.authority.Term || !ok || m.Failed {
		return s
	}
	current, had := ownership.chunks.Get(m.ID.Index)
	if had && s.awaitsBase(current) {
		return s.withBase(m.ID, ownership, current, m.Chunk)
	}
	if had && m.Chunk.Revision <= current.Revision {
		return s
	}
	return s.withStoredChunk(m.ID, ownership, m.Chunk)
}

// withStoredChunk replaces a chunk by the value in the store and records the
// partitions whose owner changed.
func (s State[P]) withStoredChunk(id ChunkID, ownership Ownership, chunk Chunk) State[P] {
	owners := make([]blvalue.UpstreamName, min(ChunkSize, ownership.partitions-id.Index*ChunkSize))
	copy(owners, chunk.Owners)
	chunk.Owners = owners
	current, _ := ownership.chunks.Get(id.Index)
	s.version++
	next := ownedChunk{Chunk: chunk, baseEra: blplatform.RevisionEra(chunk.Revision), changed: s.version, changes: make([]uint64, len(owners))}
	for i, owner := range owners {
		next.changes[i] = s.version
		if i < len(current.changes) && current.Owners[i] == owner {
			next.changes[i] = current.changes[i]
		}
	}
	return s.withService(id.Service, ownership.withChunk(id.Index, next))
}

// chunkWritten handles the outcome of a write. While the outcome is unresolved,
// the partitions that the write moves are renewed for no holder.
func (s State[P]) chunkWritten(m ChunkWritten, now bltimer.Instant) (State[P], []Effect) {
	ownership, ok := s.services.Get(m.ID.Service)
	if m.Term != s.authority.Term || !ok {
		return s, nil
	}
	chunk, ok := ownership.chunks.Get(m.ID.Index)
	if !ok || chunk.pending == nil || chunk.pending.WriteID != m.WriteID {
		return s, nil
	}
	if m.Outcome == blplatform.Conflicted && s.isOlderCopy(chunk, m.Current) {
		return s.withBase(m.ID, ownership, chunk, m.Current), nil
	}
	switch m.Outcome {
	case blplatform.Written, blplatform.Conflicted:
		return s.withStoredChunk(m.ID, ownership, m.Current), []Effect{Nudge{Nodes: s.peers(now)}}
	case blplatform.NotSent:
		if chunk.unresolved {
			return s, nil
		}
		chunk.pending = nil
	case blplatform.Unresolved:
		chunk.unresolved = true
	}
	return s.withService(m.ID.Service, ownership.withChunk(m.ID.Index, chunk)), nil
}

func (s State[P]) withPending(id ChunkID, owners []blvalue.UpstreamName) (State[P], Effect) {
	ownership, _ := s.services.Get(id.Service)
	chunk, _ := ownership.chunks.Get(id.Index)
	s.writes++
	pending := Chunk{
		Term:    s.authority.Term,
		Era:     s.authority.Era,
		WriteID: fmt.Sprintf("%d.%d", s.authority.Term, s.writes),
		Owners:  owners, Previous: make([]blvalue.UpstreamName, len(owners)),
	}
	for i, owner := range owners {
		p := blvalue.Partition(id.Index*ChunkSize + i)
		inUse := i < len(chunk.Previous) && chunk.Previous[i] != "" && !s.grantedToOwner(ownership, p, s.lastPlacementAt)
		if owner != chunk.Owners[i] {
			s.moves++
			pending.Previous[i] = chunk.Owners[i]
		}
		// Until the current owner is granted p, an earlier owner may still be
		// using it and stays on record.
		if inUse {
			pending.Previous[i] = chunk.Previous[i]
		}
	}
	again := s.isRestored(chunk)
	chunk.pending = &pending
	s = s.withService(id.Service, ownership.withChunk(id.Index, chunk))
	return s, WriteChunk{ID: id, Base: chunk.Revision, Chunk: pending, Again: again}
}
