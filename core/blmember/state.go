package blmember

import (
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
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
	// knownNodes bounds the nodes that are remembered. Any of them is asked for
	// the lead when neither it nor its standby answers.
	knownNodes = 1024
)

// Patience is how long an upstream may be silent.
type Patience struct {
	// Silent is when it gets no new work.
	Silent time.Duration
	// Gone is when it is no longer reported. That outlasts a grant, so that work
	// it may still do has lapsed.
	Gone time.Duration
}

const (
	defaultSilent = 600 * time.Millisecond
	defaultGone   = 2500 * time.Millisecond
)

// DefaultPatience is for upstreams that announce themselves a few times a
// second.
func DefaultPatience() Patience {
	return Patience{Silent: defaultSilent, Gone: defaultGone}
}

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
	patience  Patience
	// newestBorn is when the youngest upstream started that was heard here.
	newestBorn int64
	upstreams  bltable.Table[blvalue.UpstreamName, announced]

	record  bllead.Record
	term    uint64
	lead    blvalue.Host
	heardAt bltimer.Instant
	// tries counts the reports in a row that no lead answered.
	tries int
	// leadBlind tells that the lead doesn't reach the store.
	leadBlind bool
	// hint is the lead that another node named.
	hint blvalue.Host
	// nodes are the other nodes of the directory.
	nodes []blvalue.Host

	config blconfig.Accepted
	// fresh tells that this node reads configurations itself.
	fresh bool
	// sendConfig asks for the configuration in the next heartbeat.
	sendConfig bool
	directory  blassign.DirectoryVersion

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
	return State{self: self, heartbeat: DefaultHeartbeat, patience: DefaultPatience(), listHeld: true}
}

// WithPatience returns the state of a node that waits otherwise for silent
// upstreams.
func (s State) WithPatience(patience Patience) State {
	s.patience = patience
	return s
}

// Term returns the latest term that this node has heard of.
func (s State) Term() uint64 { return s.term }

// Lead returns the lead that answered last.
func (s State) Lead() blvalue.Host { return s.lead }

// HeardAt returns when the latest heartbeat was sent that a lead answered.
func (s State) HeardAt() bltimer.Instant { return s.heardAt }

// LeadBlind reports whether the lead said last that it doesn't reach the store.
func (s State) LeadBlind() bool { return s.leadBlind }

// Revision returns the revision of the configuration in force here.
func (s State) Revision() uint64 { return s.config.Revision }

// Announcements returns the upstreams beside this node by name, silent ones as
// leaving.
func (s State) Announcements(now bltimer.Instant) []Announcement {
	list := make([]Announcement, 0, s.upstreams.Len())
	for _, a := range s.upstreams.All() {
		entry := a.Announcement
		if now.Sub(a.heardAt) > s.patience.Silent {
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
	case SourceChanged:
		s.fresh = m.Fresh
		return s, nil
	case ConfigSeen:
		return s.configSeen(m.Accepted)
	case UpstreamHeard:
		return s.upstreamHeard(m, now), nil
	case UpstreamEnded:
		return s.upstreamEnded(m, now)
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
		if now.Sub(a.heardAt) > s.patience.Gone {
			s.upstreams = s.upstreams.Without(name)
			effects = append(effects, UpstreamsSeen{Announcements: s.Announcements(now)})
		}
	}
	s, sent := s.report(now)
	return s, append(effects, sent...)
}

func (s State) announced(m Announced, now bltimer.Instant) (State, []Effect) {
	if s.outdated(m.Announcement) {
		return s, nil
	}
	s = s.withoutReplaced(m.Announcement)
	name := m.Announcement.Upstream.Name
	before, known := s.upstreams.Get(name)
	if m.Announcement.ColdFor > 0 {
		m.Announcement.ColdUntil = now.Add(m.Announcement.ColdFor)
	}
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

// nodeShare is the part of the period between heartbeats for each node of the
// directory, so that the lead's work stays bounded in a large fleet.
const nodeShare = 12 * time.Millisecond

// period returns the time between heartbeats: longer in a large fleet, as far as
// a grant allows.
func (s State) period() time.Duration {
	longest := max(s.config.Plan.Timing.GrantTTL/blconfig.HeartbeatsPerGrant, s.heartbeat)
	return min(max(s.heartbeat, time.Duration(len(s.nodes))*nodeShare), longest)
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
	s.nextAt = now.Add(s.period())
	heartbeat := blassign.Heartbeat{
		Node: s.self, Sequence: s.sequence, ConfigRevision: s.config.Revision, ConfigDigest: s.config.Digest, Directory: s.directory, Leaving: s.leaving,
		WantsConfig: !s.fresh,
	}
	if s.sendConfig {
		config := s.config
		heartbeat.Config = &config
	}
	for _, a := range s.Announcements(now) {
		heartbeat.Upstreams = append(heartbeat.Upstreams, a.Upstream)
	}
	return s, []Effect{SendHeartbeat{SentAt: now, To: to, Heartbeat: heartbeat, ListHeld: s.listHeld}}
}

// target returns whom to report to: the lead of the record, and by turns the
// standby, the lead that another node named, and any other node while none of
// them answers.
func (s State) target() blvalue.Host {
	known := make([]blvalue.Host, 0, 3+1)
	for _, host := range []blvalue.Host{s.record.Lead, s.record.Standby, s.hint} {
		if !host.IsZero() && !slices.Contains(known, host) {
			known = append(known, host)
		}
	}
	if len(s.nodes) > 0 && s.tries >= len(known) {
		known = append(known, s.nodes[s.tries%len(s.nodes)])
	}
	if len(known) == 0 {
		return blvalue.Host{}
	}
	return known[s.tries%len(known)]
}

func (s State) answered(m Answered, now bltimer.Instant) (State, []Effect) {
	if m.SentAt != s.sentAt {
		return s, nil
	}
	s.inFlight = false
	if m.Failed || m.Reply.Term == 0 || m.Reply.Term < s.term {
		s.tries++
		if !m.Failed {
			s.hint = m.Reply.Lead
		}
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
	s.tries = 0
	s.hint = blvalue.Host{}
	s.leadBlind = m.Reply.StoreLost
	s.sendConfig = m.Reply.NeedConfig
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
	if config := m.Reply.Config; config != nil {
		var changed []Effect
		s, changed = s.configSeen(*config)
		effects = append(effects, changed...)
	}
	if s.fresh && m.Reply.ConfigRevision > s.config.Revision {
		effects = append(effects, ReloadConfig{})
	}
	if directory := m.Reply.Directory; directory != nil {
		s.directory = directory.Version
		s = s.withNodes(*directory)
		effects = append(effects, NodesSeen{Count: len(s.nodes) + 1})
		effects = append(effects, DirectoryChanged{Directory: *directory})
	}
	return s, effects
}
