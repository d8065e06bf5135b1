package blmember

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// DefaultHeartbeat is the period until a configuration is known.
	DefaultHeartbeat = 300 * time.Millisecond
	// retryAfter is how soon a heartbeat that failed is sent again.
	retryAfter = 80 * time.Millisecond
	// answerTimeout is how long a heartbeat waits for its answer.
	answerTimeout = 250 * time.Millisecond
	// silentAfter is how long an upstream may be silent before it gets no new
	// work.
	silentAfter = 600 * time.Millisecond
	// goneAfter is how long an upstream may be silent before it is no longer
	// reported. It outlasts a grant, so that work it may still do has lapsed.
	goneAfter = 2500 * time.Millisecond
)

// announced is an announcement and when it came.
type announced struct {
	Announcement

	heardAt bltimer.Instant
}

// State is the membership duty's immutable state.
type State struct {
	self      blvalue.Host
	heartbeat time.Duration
	leaving   bool
	upstreams bltable.Table[blvalue.UpstreamName, announced]

	record     bllead.Record
	term       uint64
	lead       blvalue.Host
	heardAt    bltimer.Instant
	askStandby bool

	revision  uint64
	directory blassign.DirectoryVersion

	// listHeld asks for the partitions held in the next heartbeat, since the
	// lead may be a new one.
	listHeld bool
	sequence uint64
	inFlight bool
	// again asks for another heartbeat once the one under way is answered.
	again  bool
	sentAt bltimer.Instant
	nextAt bltimer.Instant
}

// New returns the state of a node that has just started.
func New(self blvalue.Host) State {
	return State{self: self, heartbeat: DefaultHeartbeat, listHeld: true}
}

// Term returns the latest term that this node has heard of.
func (s State) Term() uint64 { return s.term }

// Lead returns the lead that answered last.
func (s State) Lead() blvalue.Host { return s.lead }

// HeardAt returns when the latest heartbeat was sent that a lead answered.
func (s State) HeardAt() bltimer.Instant { return s.heardAt }

// Revision returns the revision of the configuration in force here.
func (s State) Revision() uint64 { return s.revision }

// Announcements returns the upstreams beside this node by name, silent ones as
// leaving.
func (s State) Announcements(now bltimer.Instant) []Announcement {
	list := make([]Announcement, 0, s.upstreams.Len())
	for _, a := range s.upstreams.All() {
		entry := a.Announcement
		if now.Sub(a.heardAt) > silentAfter {
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
	case RecordSeen:
		s.record = m.Record
		return s, nil
	case Answered:
		return s.answered(m, now)
	case ReportSoon:
		s.nextAt = min(s.nextAt, now)
		s.again = s.inFlight
		return s.report(now)
	case Leave:
		s.leaving = true
		s.nextAt = now
		return s.report(now)
	}
	return s, nil
}

func (s State) tick(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, a := range s.upstreams.All() {
		if now.Sub(a.heardAt) > goneAfter {
			s.upstreams = s.upstreams.Without(name)
			effects = append(effects, UpstreamsSeen{Announcements: s.Announcements(now)})
		}
	}
	s, sent := s.report(now)
	return s, append(effects, sent...)
}

func (s State) announced(m Announced, now bltimer.Instant) (State, []Effect) {
	name := m.Announcement.Upstream.Name
	before, known := s.upstreams.Get(name)
	s.upstreams = s.upstreams.With(name, announced{Announcement: m.Announcement, heardAt: now})
	seen := UpstreamsSeen{Announcements: s.Announcements(now)}
	changed := !known || before.Upstream != m.Announcement.Upstream
	if !changed {
		return s, []Effect{seen}
	}
	s.nextAt = min(s.nextAt, now)
	s, sent := s.report(now)
	return s, append([]Effect{seen}, sent...)
}

// report sends a heartbeat when it is time and none is under way.
func (s State) report(now bltimer.Instant) (State, []Effect) {
	if s.inFlight && now.Sub(s.sentAt) > 2*answerTimeout {
		s.inFlight = false
	}
	to := s.target()
	if s.inFlight || now.Before(s.nextAt) || to.IsZero() {
		return s, nil
	}
	s.inFlight = true
	s.sentAt = now
	s.sequence++
	s.nextAt = now.Add(s.heartbeat)
	heartbeat := blassign.Heartbeat{
		Node: s.self, Sequence: s.sequence, ConfigRevision: s.revision, Directory: s.directory, Leaving: s.leaving,
	}
	for _, a := range s.Announcements(now) {
		heartbeat.Upstreams = append(heartbeat.Upstreams, a.Upstream)
	}
	return s, []Effect{SendHeartbeat{SentAt: now, To: to, Heartbeat: heartbeat, ListHeld: s.listHeld}}
}

// target returns whom to report to: the lead of the record, and the standby by
// turns while the lead doesn't answer.
func (s State) target() blvalue.Host {
	if s.askStandby && !s.record.Standby.IsZero() {
		return s.record.Standby
	}
	return s.record.Lead
}

func (s State) answered(m Answered, now bltimer.Instant) (State, []Effect) {
	if m.SentAt != s.sentAt {
		return s, nil
	}
	s.inFlight = false
	if m.Failed || m.Reply.Term == 0 || m.Reply.Term < s.term {
		s.askStandby = !s.askStandby
		s.listHeld = true
		s.nextAt = now.Add(retryAfter)
		return s, nil
	}
	if m.Reply.Term > s.term {
		s.directory = blassign.DirectoryVersion{}
	}
	s.term = m.Reply.Term
	s.lead = m.From
	s.heardAt = m.SentAt
	s.record.Lead = m.From
	s.record.Standby = m.Reply.Standby
	s.askStandby = false
	s.listHeld = m.Reply.NeedHeld
	if m.Reply.NeedHeld {
		s.nextAt = now
	}
	if m.Reply.Soon > 0 {
		s.nextAt = min(s.nextAt, now.Add(m.Reply.Soon))
	}
	if s.again {
		s.again = false
		s.nextAt = now
	}
	return s.handOn(m)
}

// handOn passes the parts of an answer to the duties that they concern.
func (s State) handOn(m Answered) (State, []Effect) {
	effects := []Effect{
		LeadHeard{SentAt: m.SentAt, Term: m.Reply.Term, Lead: m.From},
		GrantsOffered{Offered: blgrant.Offered{SentAt: m.SentAt, Term: m.Reply.Term, Offers: m.Reply.Offers}},
	}
	if config := m.Reply.Config; config != nil && config.Revision > s.revision {
		s.revision = config.Revision
		s.heartbeat = config.Plan.Timing.Heartbeat
		effects = append(effects, ConfigChanged{Accepted: *config})
	}
	if directory := m.Reply.Directory; directory != nil {
		s.directory = directory.Version
		effects = append(effects, DirectoryChanged{Directory: *directory})
	}
	return s, effects
}
