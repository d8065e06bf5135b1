// Package blassign is the lead's duty of ownership: it keeps the assignment of
// partitions to upstreams in the store, hands out fenced grants in answer to
// heartbeats, and moves partitions when upstreams come and go.
package blassign

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Member is a node as the lead knows it.
type Member struct {
	Host           blvalue.Host
	HeardAt        bltimer.Instant
	Sequence       uint64
	ConfigRevision uint64
	Leaving        bool
	// Fresh tells that the node reads the configuration itself.
	Fresh     bool
	Upstreams []blvalue.Upstream
}

// directoryEntry is an entry and the directory version at which it changed.
type directoryEntry struct {
	Entry

	changed uint64
}

// State is the ownership duty's immutable state under a placement policy.
type State[P Policy] struct {
	policy    P
	authority bllead.Authority
	config    blconfig.Accepted

	members     bltable.Table[blvalue.HostName, Member]
	entries     bltable.Table[blvalue.UpstreamName, directoryEntry]
	services    bltable.Table[blvalue.ServiceName, Ownership]
	outstanding bltable.Table[Holder, Outstanding]
	// handovers holds what upstreams gave back with partitions.
	handovers bltable.Table[string, string]
	// paces holds how long requests take at upstreams, as a moving average, and
	// weights what follows from that, in percent.
	paces     bltable.Table[blvalue.Incarnation, time.Duration]
	weights   bltable.Table[blvalue.UpstreamName, int]
	weighedAt bltimer.Instant
	// seenAt is the time of the last tick, and clearedAt when the lead last
	// looked for earlier owners to forget.
	seenAt    bltimer.Instant
	clearedAt bltimer.Instant
	// configAt is when the configuration was taken.
	configAt bltimer.Instant

	// sequence numbers grants, version numbers directories, and writes
	// numbers writes, each within a term.
	sequence uint64
	version  uint64
	writes   uint64
	placedAt bltimer.Instant
	moves    uint64
	// placedFor is the directory version for which nothing was left to move.
	placedFor uint64
	// peerCount is what was last told to the lead duty of other nodes.
	peerCount peerCount
	// self is this process, or empty where it doesn't matter.
	self blvalue.Incarnation
}

// New returns the state of a process that isn't lead.
func New[P Policy](policy P) State[P] {
	return State[P]{policy: policy}
}

// WithSelf returns the state of the given process, which is no peer of itself.
func (s State[P]) WithSelf(self blvalue.Incarnation) State[P] {
	s.self = self
	return s
}

// Authority returns what the process may do as lead.
func (s State[P]) Authority() bllead.Authority {
	return s.authority
}

// Config returns the configuration that this lead hands out.
func (s State[P]) Config() blconfig.Accepted {
	return s.config
}

// Moves returns the number of partitions that were moved in this term.
func (s State[P]) Moves() uint64 {
	return s.moves
}

// Ownership returns the assignment of a service.
func (s State[P]) Ownership(service blvalue.ServiceName) (Ownership, bool) {
	return s.services.Get(service)
}

// Members returns the nodes in the order of their names.
func (s State[P]) Members() []Member {
	members := make([]Member, 0, s.members.Len())
	for _, member := range s.members.All() {
		members = append(members, member)
	}
	return members
}

// InForce reports whether the revision is in force on every node that may
// still admit requests.
func (s State[P]) InForce(revision uint64, now bltimer.Instant) bool {
	timing := s.config.Plan.Timing
	freshness := timing.Freshness + timing.Margin
	// A node that only the earlier lead knows may admit requests for as long as
	// it takes itself for fresh.
	knowsAll := s.authority.SettledAt(max(s.config.Settle(), freshness))
	if now.Before(knowsAll) || s.members.Len() == 0 {
		return false
	}
	for _, member := range s.members.All() {
		if now.Sub(member.HeardAt) <= freshness && member.ConfigRevision < revision {
			return false
		}
	}
	return true
}

// settled reports whether every grant of an older term has lapsed.
func (s State[P]) settled(now bltimer.Instant) bool {
	return !now.Before(s.authority.SettledAt(s.config.Settle()))
}

// ready reports whether everything that a lead must know has been loaded.
func (s State[P]) ready() bool {
	if s.config.Revision == 0 {
		return false
	}
	for name, service := range s.config.Plan.Services {
		if service.Kind != blconfig.ServiceExclusive {
			continue
		}
		ownership, ok := s.services.Get(name)
		if !ok || !ownership.isLoaded() {
			return false
		}
	}
	return true
}

// withoutMemory returns the state of a lead whose term has just begun: it
// knows nothing but what it reads from the store.
func (s State[P]) withoutMemory() State[P] {
	return State[P]{policy: s.policy, authority: s.authority, self: s.self}
}

func (s State[P]) withService(name blvalue.ServiceName, ownership Ownership) State[P] {
	s.services = s.services.With(name, ownership)
	return s
}

func (s State[P]) withEntry(entry Entry) State[P] {
	current, ok := s.entries.Get(entry.Upstream.Name)
	if ok && current.Entry == entry {
		return s
	}
	s.version++
	s.entries = s.entries.With(entry.Upstream.Name, directoryEntry{Entry: entry, changed: s.version})
	return s
}
