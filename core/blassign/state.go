// Package blassign implements partition ownership on the lead: it keeps the
// assignment of partitions to upstreams in the store, issues fenced grants in
// heartbeat replies, and moves partitions when upstreams join or leave.
package blassign

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Member is the lead's record of a node, taken from its latest heartbeat.
type Member struct {
	Host            blvalue.Host
	LastHeartbeatAt bltimer.Instant
	Sequence        uint64
	ConfigRevision  uint64
	Leaving         bool
	// ReadsConfig is set when the node reads the configuration itself instead of
	// depending on the lead for it.
	ReadsConfig bool
	Upstreams   []blvalue.Upstream
	// Directory is the directory version that the node reported.
	Directory DirectoryVersion
}

// directoryEntry is an entry with the directory version of its last change.
type directoryEntry struct {
	Entry

	changed uint64
}

// State is the immutable state of the ownership duty, with placement policy P.
type State[P Policy] struct {
	policy    P
	authority bllead.Authority
	config    blconfig.Accepted

	members  bltable.Table[blvalue.HostName, Member]
	entries  bltable.Table[blvalue.UpstreamName, directoryEntry]
	services bltable.Table[blvalue.ServiceName, Ownership]
	grants   bltable.Table[Holder, Outstanding]
	// handovers holds the tokens that upstreams returned with partitions, by
	// handoverKey.
	handovers bltable.Table[string, string]
	// serviceTimes holds a moving average of the request service time of each
	// upstream incarnation, and weights the relative speed derived from it, in
	// percent.
	serviceTimes     bltable.Table[blvalue.Incarnation, time.Duration]
	weights          bltable.Table[blvalue.UpstreamName, int]
	weightsUpdatedAt bltimer.Instant
	// lastPlacementAt is the time of the last tick that ran placement, and
	// previousCheckedAt when the lead last checked for previous owners to
	// clear.
	lastPlacementAt   bltimer.Instant
	previousCheckedAt bltimer.Instant
	// configAt is when the current configuration was adopted, and laterConfigAt when
	// a node first reported a later one, or zero.
	configAt      bltimer.Instant
	laterConfigAt bltimer.Instant

	// sequence numbers grants, version numbers directories, and writes numbers
	// writes, each within a term.
	sequence uint64
	version  uint64
	writes   uint64
	// lastAttemptAt is when the lead last ran placement or requested state that
	// had not been loaded.
	lastAttemptAt bltimer.Instant
	// reloadedAt is when the lead last read chunks again after the store was restored.
	reloadedAt bltimer.Instant
	moves      uint64
	// placedVersion is the directory version at which placement had nothing
	// left to move.
	placedVersion uint64
	// reportedPeers is the summary of the other nodes that was last sent to the
	// lead duty.
	reportedPeers peerSummary
	// absences holds the nodes that have stopped reporting, and probedAt when some were
	// last probed.
	absences bltable.Table[blvalue.HostName, absence]
	probedAt bltimer.Instant
	// earlierEntries is the directory that this process had as a node when its term
	// began, until its nodes have had time to report.
	earlierEntries []Entry
	admission      admission
	// self is the incarnation of this process, or empty where it doesn't
	// matter.
	self blvalue.Incarnation
}

// New returns the state of a process that is not the lead.
func New[P Policy](policy P) State[P] {
	return State[P]{policy: policy}
}

// WithSelf sets the incarnation of this process, which is not counted among the
// other nodes.
func (s State[P]) WithSelf(self blvalue.Incarnation) State[P] {
	s.self = self
	return s
}

// Authority returns what the process may do as lead.
func (s State[P]) Authority() bllead.Authority {
	return s.authority
}

// Config returns the configuration that this lead distributes.
func (s State[P]) Config() blconfig.Accepted {
	return s.config
}

// Moves returns the number of partitions moved in this term.
func (s State[P]) Moves() uint64 {
	return s.moves
}

// Ownership returns the assignment of a service.
func (s State[P]) Ownership(service blvalue.ServiceName) (Ownership, bool) {
	return s.services.Get(service)
}

// Members returns the nodes sorted by name.
func (s State[P]) Members() []Member {
	members := make([]Member, 0, s.members.Len())
	for _, member := range s.members.All() {
		members = append(members, member)
	}
	return members
}

// InForce reports whether the revision is in force on every node that may still
// admit requests.
func (s State[P]) InForce(revision uint64, now bltimer.Instant) bool {
	if !s.knowsAllNodes(now) {
		return false
	}
	for _, member := range s.members.All() {
		if s.mayAdmit(member, now) && member.ConfigRevision < revision {
			return false
		}
	}
	return true
}

// freshness returns how long after its last heartbeat a node may admit requests.
func (s State[P]) freshness() time.Duration {
	return s.config.Plan.Timing.Freshness + s.config.Plan.Timing.ClockMargin
}

// knowsAllNodes reports whether every node that may admit requests has reported to this
// lead. A node known only to the previous lead may until its freshness limit has passed.
func (s State[P]) knowsAllNodes(now bltimer.Instant) bool {
	return s.members.Len() > 0 && !now.Before(s.authority.SettledAt(max(s.config.MaxGrantLifetime(), s.freshness())))
}

func (s State[P]) mayAdmit(member Member, now bltimer.Instant) bool {
	return now.Sub(member.LastHeartbeatAt) <= s.freshness()
}

// priorGrantsExpired reports whether every grant of an older term has expired.
func (s State[P]) priorGrantsExpired(now bltimer.Instant) bool {
	return !now.Before(s.authority.SettledAt(s.config.MaxGrantLifetime()))
}

// ready reports whether the configuration and all chunks have been loaded.
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

// withoutTermState returns the state at the start of a term. It keeps the policy,
// the authority and the incarnation of this process; everything else is read from
// the store or reported by nodes.
func (s State[P]) withoutTermState() State[P] {
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
