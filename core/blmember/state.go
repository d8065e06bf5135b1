package blmember

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// DefaultHeartbeat is the interval between heartbeats until a configuration is
	// known.
	DefaultHeartbeat = 300 * time.Millisecond
	// retryDelay is the delay before the next heartbeat after a failed one.
	retryDelay = 80 * time.Millisecond
	// answerTimeout is the time allowed for the answer to a heartbeat. After twice
	// that time the heartbeat no longer counts as in flight.
	answerTimeout = 250 * time.Millisecond
	// maxKnownNodes bounds the number of nodes kept from the directory. They are
	// asked for the current lead when neither lead nor standby answers.
	maxKnownNodes = 1024
)

// UpstreamTimeouts holds the time-outs for upstreams that have stopped announcing
// themselves.
type UpstreamTimeouts struct {
	// DrainAfter is the time after which an upstream receives no new work.
	DrainAfter time.Duration
	// RemoveAfter is the time after which an upstream is no longer reported. It is
	// longer than a grant lasts, so that the grant for any work still running there
	// has expired.
	RemoveAfter time.Duration
}

const (
	defaultDrainAfter  = 600 * time.Millisecond
	defaultRemoveAfter = 2500 * time.Millisecond
)

// DefaultUpstreamTimeouts returns the time-outs for upstreams that announce
// themselves a few times per second.
func DefaultUpstreamTimeouts() UpstreamTimeouts {
	return UpstreamTimeouts{DrainAfter: defaultDrainAfter, RemoveAfter: defaultRemoveAfter}
}

// upstreamEntry is the latest announcement of an upstream and the time at which it
// last announced itself or answered a call.
type upstreamEntry struct {
	Announcement

	seenAt bltimer.Instant
}

// State is the immutable state of the membership duty.
type State struct {
	self     blvalue.Host
	interval time.Duration
	leaving  bool
	timeouts UpstreamTimeouts
	// latestStart is the latest start time announced by any upstream, in
	// milliseconds since the Unix epoch. That upstream was last heard at latestHeardAt.
	latestStart   int64
	latestHeardAt bltimer.Instant
	upstreams     bltable.Table[blvalue.UpstreamName, upstreamEntry]
	// left holds the runs that have left, by their IDs.
	left bltable.Table[blvalue.UpstreamID, leftRuns]

	record      bllead.Record
	term        uint64
	lead        blvalue.Host
	lastContact bltimer.Instant
	// failedHeartbeats counts the consecutive heartbeats that no lead answered.
	failedHeartbeats int
	// leadStoreLost is set when the lead reports that it can't reach the store.
	leadStoreLost bool
	// leadHint is the lead according to a node that isn't lead itself.
	leadHint blvalue.Host
	// nodes are the other nodes in the directory.
	nodes []blvalue.Host

	config blconfig.Accepted
	// readsStore is set while this node reads configurations itself.
	readsStore bool
	directory  blassign.DirectoryVersion

	// listHeld is set when the next heartbeat has to list the partitions held,
	// because the lead may be a new one.
	listHeld bool
	// reported holds the results that the lead has acknowledged.
	reported ReportedResults
	// reportsAll is set if the latest heartbeat carries all results.
	reportsAll bool
	sequence   uint64
	inFlight   bool
	// heartbeatQueued is set when another heartbeat is due as soon as the one in
	// flight is answered.
	heartbeatQueued bool
	sentAt          bltimer.Instant
	nextAt          bltimer.Instant
}

// New returns the state of a newly started node.
func New(self blvalue.Host) State {
	return State{self: self, interval: DefaultHeartbeat, timeouts: DefaultUpstreamTimeouts(), listHeld: true}
}

// WithUpstreamTimeouts returns the state with the given time-outs for upstreams.
func (s State) WithUpstreamTimeouts(timeouts UpstreamTimeouts) State {
	s.timeouts = timeouts
	return s
}

// Term returns the latest term that this node knows.
func (s State) Term() uint64 { return s.term }

// Lead returns the lead that last answered a heartbeat.
func (s State) Lead() blvalue.Host { return s.lead }

// LastContact returns the time at which the latest heartbeat answered by a lead was
// sent.
func (s State) LastContact() bltimer.Instant { return s.lastContact }

// NodeCount returns the number of known nodes in the directory, including this one.
func (s State) NodeCount() int { return len(s.nodes) + 1 }

// LeadStoreLost reports whether the lead's latest answer says that it can't reach
// the store.
func (s State) LeadStoreLost() bool { return s.leadStoreLost }

// Revision returns the revision of the configuration in force on this node.
func (s State) Revision() uint64 { return s.config.Revision }

// Announcements returns the local upstreams of this node, ordered by name. Those
// that have stopped announcing themselves are marked as leaving.
func (s State) Announcements(now bltimer.Instant) []Announcement {
	list := make([]Announcement, 0, s.upstreams.Len())
	for _, a := range s.upstreams.All() {
		entry := a.Announcement
		if now.Sub(a.seenAt) > s.timeouts.DrainAfter {
			entry.Upstream = entry.Upstream.WithLeaving(true)
		}
		list = append(list, entry)
	}
	return list
}

// Decide computes the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case Announced:
		return s.announced(m, now)
	case Left:
		return s.upstreamLeft(m, now)
	case RecordSeen:
		s.record = m.Record
		return s, nil
	case HeartbeatAnswered:
		return s.heartbeatAnswered(m, now)
	case ConfigSourceChanged:
		s.readsStore = m.ReadsStore
		return s, nil
	case ConfigSeen:
		return s.configSeen(m)
	case UpstreamResponded:
		return s.upstreamResponded(m, now), nil
	case UpstreamStopped:
		return s.upstreamStopped(m, now)
	case HeartbeatRequested:
		s.nextAt = min(s.nextAt, now)
		s.heartbeatQueued = s.inFlight
		return s.sendHeartbeat(now)
	case Leave:
		s.leaving = true
		s.nextAt = now
		return s.sendHeartbeat(now)
	}
	return s, nil
}

func (s State) tick(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, a := range s.upstreams.All() {
		if now.Sub(a.seenAt) > s.timeouts.RemoveAfter {
			s.upstreams = s.upstreams.Without(name)
			effects = append(effects, UpstreamsSeen{Announcements: s.Announcements(now)})
		}
	}
	s, sent := s.sendHeartbeat(now)
	return s, append(effects, sent...)
}

func (s State) announced(m Announced, now bltimer.Instant) (State, []Effect) {
	if s.stale(m.Announcement, now) {
		return s, nil
	}
	if s.hasLeft(m.Announcement.Upstream, now) {
		if !s.lists(m.Announcement.Upstream) {
			return s, nil
		}
		m.Announcement.Upstream = m.Announcement.Upstream.WithLeaving(true)
	}
	s = s.withoutReplaced(m.Announcement, now)
	name := m.Announcement.Upstream.Name
	before, known := s.upstreams.Get(name)
	if m.Announcement.ColdFor > 0 {
		m.Announcement.ColdUntil = now.Add(m.Announcement.ColdFor)
	}
	s.upstreams = s.upstreams.With(name, upstreamEntry{Announcement: m.Announcement, seenAt: now})
	if known && before.Upstream == m.Announcement.Upstream {
		return s, []Effect{UpstreamsSeen{Announcements: s.Announcements(now)}}
	}
	return s.upstreamsChanged(now)
}

// upstreamsChanged passes the local upstreams on, and reports them to the lead without
// waiting for the interval.
func (s State) upstreamsChanged(now bltimer.Instant) (State, []Effect) {
	s.nextAt = min(s.nextAt, now)
	s, sent := s.sendHeartbeat(now)
	return s, append([]Effect{UpstreamsSeen{Announcements: s.Announcements(now)}}, sent...)
}
