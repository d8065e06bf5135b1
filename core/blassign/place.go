package blassign

import (
	"slices"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// placeEvery is how often the lead looks for partitions to move.
const placeEvery = 50 * time.Millisecond

// loadEvery is how often a new lead asks again for what it has not read.
const loadEvery = 200 * time.Millisecond

// tick removes nodes that are gone, and moves partitions.
func (s State[P]) tick(now bltimer.Instant) (State[P], []Effect) {
	if !s.authority.Holds(now) {
		return s, nil
	}
	if !s.ready() {
		return s.loadMissing(now)
	}
	s = s.withoutGone(now)
	s, effects := s.tellPeers(now)
	if !s.authority.MayChange || !s.settled(now) || now.Sub(s.placedAt) < placeEvery {
		return s, effects
	}
	s.placedAt = now
	s.seenAt = now
	s, resolving := s.resolve()
	s, moves := s.withWeights(now).place()
	s, cleared := s.forgetPrevious(now)
	moves = append(moves, cleared...)
	return s, append(append(effects, resolving...), moves...)
}

// loadMissing asks again for what has not been loaded.
func (s State[P]) loadMissing(now bltimer.Instant) (State[P], []Effect) {
	if now.Sub(s.placedAt) < loadEvery {
		return s, nil
	}
	s.placedAt = now
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

// tellPeers tells the lead duty which nodes are up when their number changed.
func (s State[P]) tellPeers(now bltimer.Instant) (State[P], []Effect) {
	seen := PeersSeen{Peers: s.peers(now)}
	for _, member := range s.members.All() {
		silence := now.Sub(member.HeardAt)
		if member.Leaving || silence > rememberPeers || member.Host.Incarnation == s.self {
			continue
		}
		seen.Known++
		if silence > hearPeers {
			continue
		}
		seen.Heard++
		if member.Fresh && member.Host.Capacity >= seen.Fresh.Capacity {
			seen.Fresh = member.Host
		}
	}
	count := peerCount{peers: len(seen.Peers), known: seen.Known, heard: seen.Heard, fresh: seen.Fresh.Incarnation}
	if count == s.peerCount {
		return s, nil
	}
	s.peerCount = count
	return s, []Effect{seen}
}

const (
	// rememberPeers is how long a node counts as known that has fallen silent.
	rememberPeers = 20 * time.Second
	// hearPeers is how long a node counts as heard after its last report.
	hearPeers = 1500 * time.Millisecond
)

// peerCount is what was last told to the lead duty.
type peerCount struct {
	peers, known, heard int
	fresh               blvalue.Incarnation
}

// withoutGone takes the partitions of nodes whose grants have lapsed for free.
// A node is remembered for as long as it may go on admitting requests. What
// earlier runs of a node held is forgotten once it has lapsed.
func (s State[P]) withoutGone(now bltimer.Instant) State[P] {
	timing := s.config.Plan.Timing
	for _, member := range s.members.All() {
		if now.Sub(member.HeardAt) <= timing.GrantTTL+timing.Margin {
			continue
		}
		if !s.holdersLapsed(member, now) {
			continue
		}
		s = s.withoutHolders(member)
		if now.Sub(member.HeardAt) > timing.Freshness+timing.Margin {
			s.members = s.members.Without(member.Host.Name)
		}
	}
	for holder, outstanding := range s.outstanding.All() {
		if outstanding.lapsed(now) {
			s.outstanding = s.outstanding.Without(holder)
		}
	}
	return s
}

func (s State[P]) holdersLapsed(member Member, now bltimer.Instant) bool {
	for _, upstream := range member.Upstreams {
		holder := NewHolder(member.Host.Incarnation, upstream)
		if outstanding, ok := s.outstanding.Get(holder); ok && !outstanding.lapsed(now) {
			return false
		}
	}
	return true
}

func (s State[P]) withoutHolders(member Member) State[P] {
	for _, upstream := range member.Upstreams {
		s.outstanding = s.outstanding.Without(NewHolder(member.Host.Incarnation, upstream))
		entry, ok := s.entries.Get(upstream.Name)
		if ok && entry.Node.Incarnation == member.Host.Incarnation {
			gone := entry.Entry
			gone.Gone = true
			s = s.withEntry(gone)
		}
	}
	return s
}

// resolve sends writes again whose outcome is in doubt. The same write can't
// take effect twice, since its base moves with the first.
func (s State[P]) resolve() (State[P], []Effect) {
	var effects []Effect
	for name, ownership := range s.services.All() {
		for index, chunk := range ownership.chunks.All() {
			if chunk.pending != nil && chunk.doubtful {
				effects = append(effects, WriteChunk{
					ID: ChunkID{Service: name, Index: index}, Base: chunk.Revision, Chunk: *chunk.pending,
				})
			}
		}
	}
	return s, effects
}

// place moves partitions of every exclusive service that has no move pending.
// What is placed depends on the directory alone: each upstream that comes,
// goes or leaves, and each owner that changes, gives it a new version.
func (s State[P]) place() (State[P], []Effect) {
	if s.placedFor == s.version {
		return s, nil
	}
	var effects []Effect
	resting := true
	for name, service := range s.config.Plan.Services {
		ownership, ok := s.services.Get(name)
		if !ok || service.Kind != blconfig.ServiceExclusive {
			continue
		}
		if ownership.hasPending() {
			resting = false
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
	if resting && len(effects) == 0 {
		s.placedFor = s.version
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

// candidates returns the upstreams of a service that may own partitions,
// sorted by name.
func (s State[P]) candidates(service blvalue.ServiceName) []Candidate {
	var candidates []Candidate
	for name, entry := range s.entries.All() {
		if entry.Gone || entry.Upstream.Leaving || entry.Upstream.Service != service {
			continue
		}
		candidates = append(candidates, Candidate{Name: name, Weight: s.weight(entry.Entry)})
	}
	return candidates
}
