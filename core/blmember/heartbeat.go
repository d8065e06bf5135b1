package blmember

import (
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// leadOverdueAfter is how long after a heartbeat was due a node without an answer
// considers the lead unavailable.
const leadOverdueAfter = 750 * time.Millisecond

// LeadOverdue reports whether no lead has answered the heartbeat that was due.
func (s State) LeadOverdue(now bltimer.Instant) bool {
	return now.Sub(s.lastContact) > s.period()+leadOverdueAfter
}

// intervalPerNode is the minimum heartbeat interval per node in the directory. It
// bounds the rate of heartbeats that the lead has to handle in a large fleet.
const intervalPerNode = 12 * time.Millisecond

// period returns the interval between heartbeats. It grows with the size of the
// fleet, up to the limit that the duration of a grant sets.
func (s State) period() time.Duration {
	longest := max(s.config.Plan.Timing.GrantTTL/blconfig.HeartbeatsPerGrant, s.interval)
	return min(max(s.interval, time.Duration(len(s.nodes))*intervalPerNode), longest)
}

// sendHeartbeat sends a heartbeat if one is due and none is in flight.
func (s State) sendHeartbeat(now bltimer.Instant) (State, []Effect) {
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
		ConfigVersion: s.config.Version, WantsConfig: !s.readsStore,
	}
	for _, a := range s.Announcements(now) {
		heartbeat.Upstreams = append(heartbeat.Upstreams, a.Upstream)
	}
	report := s.resultsReport(to)
	s.reportsAll = report.Reported.Len() == 0
	return s, []Effect{SendHeartbeat{SentAt: now, To: to, Heartbeat: heartbeat, ListHeld: s.listHeld, Report: report}}
}

// resultsReport returns which results go to a lead. One that may be new gets all.
func (s State) resultsReport(to blvalue.Host) ResultsReport {
	report := ResultsReport{Orders: s.config.Plan.Rollouts}
	if !s.listHeld && to == s.lead {
		report.Reported = s.reported
	}
	return report
}

// target returns the recipient of the next heartbeat: the lead in the record. While
// heartbeats fail, it cycles through the lead, the standby, the lead named by
// another node, and then any other node.
func (s State) target() blvalue.Host {
	targets := make([]blvalue.Host, 0, 3+1)
	for _, host := range []blvalue.Host{s.record.Lead, s.record.Standby, s.leadHint} {
		if !host.IsZero() && !slices.Contains(targets, host) {
			targets = append(targets, host)
		}
	}
	if len(s.nodes) > 0 && s.failedHeartbeats >= len(targets) {
		targets = append(targets, s.nodes[s.failedHeartbeats%len(s.nodes)])
	}
	if len(targets) == 0 {
		return blvalue.Host{}
	}
	return targets[s.failedHeartbeats%len(targets)]
}

func (s State) heartbeatAnswered(m HeartbeatAnswered, now bltimer.Instant) (State, []Effect) {
	if m.SentAt != s.sentAt {
		return s, nil
	}
	s.inFlight = false
	if m.Failed || m.Reply.Term == 0 || m.Reply.Term < s.term {
		s.failedHeartbeats++
		if !m.Failed {
			s.leadHint = m.Reply.Lead
		}
		s.listHeld = true
		s.nextAt = now.Add(retryDelay)
		return s, nil
	}
	s.reported = m.Reported
	if m.Reply.Term > s.term {
		s.directory = blassign.DirectoryVersion{}
	}
	if m.Reply.Term > s.term && !s.reportsAll {
		s.reported = ReportedResults{}
	}
	s.term = m.Reply.Term
	s.lead = m.From
	s.lastContact = m.SentAt
	s.record.Lead = m.From
	s.record.Standby = m.Reply.Standby
	s.failedHeartbeats = 0
	s.leadHint = blvalue.Host{}
	s.leadStoreLost = m.Reply.StoreLost
	s.listHeld = m.Reply.NeedHeld
	if m.Reply.NeedHeld {
		s.nextAt = now
	}
	if m.Reply.ReportAfter > 0 {
		s.nextAt = min(s.nextAt, now.Add(m.Reply.ReportAfter))
	}
	if s.heartbeatQueued {
		s.heartbeatQueued = false
		s.nextAt = now
	}
	return s.forwardReply(m)
}

// forwardReply passes the parts of an answer on to the duties that handle them.
func (s State) forwardReply(m HeartbeatAnswered) (State, []Effect) {
	effects := []Effect{
		LeadResponded{SentAt: m.SentAt, Term: m.Reply.Term, Lead: m.From},
		GrantsOffered{Offered: blgrant.OffersReceived{SentAt: m.SentAt, Term: m.Reply.Term, Offers: m.Reply.Offers}},
	}
	if len(m.Reply.Allowances) > 0 {
		effects = append(effects, AllowancesGiven{SentAt: m.SentAt, Term: m.Reply.Term, Allowances: m.Reply.Allowances})
	}
	if m.Reply.FetchConfig {
		effects = append(effects, FetchConfig{From: m.From})
	}
	if s.readsStore && m.Reply.ConfigRevision > s.config.Revision {
		effects = append(effects, ReloadConfig{Revision: m.Reply.ConfigRevision})
	}
	if directory := m.Reply.Directory; directory != nil {
		s.directory = directory.Version
		if directory.Full || len(directory.Entries) > 0 {
			s = s.withNodes(*directory)
			effects = append(effects, NodesChanged{Nodes: append([]blvalue.Host{s.self}, s.nodes...)})
		}
		effects = append(effects, DirectoryChanged{Directory: *directory})
	}
	return s, effects
}
