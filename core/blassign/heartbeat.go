package blassign

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// pendingMoveReportDelay is how long a node waits before its next heartbeat
// while partitions assigned to it are withheld.
const pendingMoveReportDelay = 40 * time.Millisecond

// heartbeat records a node's report and replies with its grants.
func (s State[P]) heartbeat(m Heartbeat, now bltimer.Instant) (State[P], []Effect) {
	if !s.authority.Holds(now) || !s.ready() || s.isStale(m) {
		return s, []Effect{AnswerHeartbeat{Reply: m.Reply}}
	}
	s, effects := s.hostReported(m, now)
	s = s.withReleases(m, now)
	s = s.withHandovers(m)
	s = s.withMember(m, now).withLoads(m)
	reply := HeartbeatReply{Term: s.authority.Term, Standby: s.authority.Standby, StoreLost: !s.authority.MayChange}
	s, reply, more := s.compareConfig(reply, m, now)
	effects = append(effects, more...)
	for _, upstream := range m.Upstreams {
		if s.needsHeld(m, upstream, now) {
			reply.NeedHeld = true
			continue
		}
		var offer blgrant.Offer
		var withheld bool
		s, offer, withheld = s.offer(m, upstream, now)
		if offer.Service != "" {
			reply.Offers = append(reply.Offers, offer)
		}
		if withheld {
			reply.ReportAfter = pendingMoveReportDelay
		}
	}
	reply.Directory = s.directorySince(m.Directory)
	reply.Allowances = s.allowancesFor(m)
	if len(m.Results) > 0 {
		effects = append(effects, ResultsReported{Term: s.authority.Term, Node: m.Node, Results: m.Results})
	}
	return s, append([]Effect{AnswerHeartbeat{Reply: m.Reply, HeartbeatReply: reply}}, effects...)
}

const (
	// ownReadDelay is how long a node that reads the configuration itself may lag
	// behind before the lead asks it to fetch the lead's.
	ownReadDelay = 1200 * time.Millisecond
	// laterConfigDelay is how long the lead tries to read a later configuration
	// itself before it fetches the one of a node.
	laterConfigDelay = 600 * time.Millisecond
)

// compareConfig handles a configuration of the node that differs from the lead's:
// the side with the earlier one is to read or fetch the later one. If it has read the
// store at as late a revision as the other side, the store doesn't hold the later one,
// since it was restored from an older copy.
func (s State[P]) compareConfig(reply HeartbeatReply, m Heartbeat, now bltimer.Instant) (State[P], HeartbeatReply, []Effect) {
	known, own := blconfig.Position{Version: m.ConfigVersion, Revision: m.ConfigRevision}, s.config.Position()
	if known == own || m.ConfigDigest == s.config.Digest && s.config.Digest != 0 {
		return s, reply, nil
	}
	if known.LaterThan(own) {
		s, effects := s.laterConfigReported(m, now)
		return s, reply, effects
	}
	reply.ConfigRevision, reply.ConfigVersion = own.Revision, own.Version
	reply.FetchConfig = m.WantsConfig || now.Sub(s.configAt) > ownReadDelay || known.Revision >= own.Revision
	return s, reply, nil
}

// laterConfigReported handles a node's report of a later configuration.
func (s State[P]) laterConfigReported(m Heartbeat, now bltimer.Instant) (State[P], []Effect) {
	if m.ConfigRevision <= s.config.Revision {
		return s, []Effect{FetchConfig{From: m.Node}}
	}
	if s.laterConfigAt == 0 {
		s.laterConfigAt = now
	}
	effects := []Effect{ReloadConfig{}}
	if now.Sub(s.laterConfigAt) >= laterConfigDelay || !s.authority.MayChange {
		effects = append(effects, FetchConfig{From: m.Node})
	}
	return s, effects
}

// isStale reports whether a later heartbeat has been processed: one of the same
// incarnation with the same or a higher sequence number, or one of another
// incarnation that lists an upstream started later.
func (s State[P]) isStale(m Heartbeat) bool {
	member, ok := s.members.Get(m.Node.Name)
	if !ok {
		return false
	}
	if member.Host.Incarnation == m.Node.Incarnation {
		return m.Sequence <= member.Sequence
	}
	return latestStart(m.Upstreams) < latestStart(member.Upstreams)
}

// withReleases drops the grants that the node no longer uses: sets older than
// the fence that it reports, and all grants of upstreams that it no longer
// lists.
func (s State[P]) withReleases(m Heartbeat, now bltimer.Instant) State[P] {
	old, known := s.members.Get(m.Node.Name)
	if known {
		s = s.withoutStoppedUpstreams(old, m)
	}
	for _, held := range m.Held {
		upstream, listed := m.upstream(held.Incarnation)
		if !listed {
			continue
		}
		holder := NewHolder(m.Node.Incarnation, upstream)
		outstanding, ok := s.grants.Get(holder)
		if !ok || held.Fence.Term != s.authority.Term {
			continue
		}
		s.grants = s.grants.With(holder, outstanding.withoutReleased(held.Fence, now))
	}
	return s
}

// withoutStoppedUpstreams drops the grants of upstreams behind a node that its
// new report no longer lists. A node stops listing an upstream only when
// nothing runs there. Grants of another incarnation of the node are left to
// expire: the report may be a late one of the earlier incarnation. So are those that
// the upstream keeps itself: the node can't take them back by not listing it, and a
// later incarnation may have taken them.
func (s State[P]) withoutStoppedUpstreams(old Member, m Heartbeat) State[P] {
	if old.Host.Incarnation != m.Node.Incarnation {
		return s
	}
	for _, upstream := range old.Upstreams {
		if upstream.KeepsGrants || blvalue.HasIncarnation(m.Upstreams, upstream.Incarnation) {
			continue
		}
		holder := NewHolder(old.Host.Incarnation, upstream)
		if outstanding, ok := s.grants.Get(holder); ok && outstanding.heartbeat < m.Sequence {
			s.grants = s.grants.Without(holder)
		}
	}
	return s
}

// latestStart returns when the most recently started of the upstreams started,
// in Unix milliseconds, or zero if that is unknown.
func latestStart(upstreams []blvalue.Upstream) int64 {
	latest := int64(0)
	for _, upstream := range upstreams {
		latest = max(latest, upstream.StartedAt)
	}
	return latest
}

func (s State[P]) withMember(m Heartbeat, now bltimer.Instant) State[P] {
	s.members = s.members.With(m.Node.Name, Member{
		Host: m.Node, LastHeartbeatAt: now, Sequence: m.Sequence, ConfigRevision: m.ConfigRevision, Leaving: m.Leaving, Upstreams: m.Upstreams,
		ReadsConfig: !m.WantsConfig, Directory: m.Directory,
	})
	for _, upstream := range m.Upstreams {
		if s.ownsName(m.Node, upstream) {
			s = s.withEntry(Entry{Upstream: upstream.WithLeaving(s.isLeaving(m, upstream)), Node: m.Node, Held: s.isHeld(upstream)})
		}
	}
	return s
}

func (s State[P]) isLeaving(m Heartbeat, upstream blvalue.Upstream) bool {
	plan := s.config.Plan
	return m.Leaving || upstream.Leaving || plan.Drained[upstream.Name] || !plan.DomainTakesWork(m.Node.Domain)
}

// ownsName reports whether the upstream is the one registered under its name. A
// second upstream of the same name has to wait until the first is gone.
func (s State[P]) ownsName(node blvalue.Host, upstream blvalue.Upstream) bool {
	entry, ok := s.entries.Get(upstream.Name)
	if !ok || entry.Gone {
		return true
	}
	sameNode := entry.Node.Name == node.Name && entry.Node.Address == node.Address
	if upstream.KeepsGrants {
		sameNode = entry.Node.Name == node.Name
	}
	return sameNode || entry.Upstream.Incarnation == upstream.Incarnation && entry.Node.Incarnation == node.Incarnation
}

func (s State[P]) peers(now bltimer.Instant) []blvalue.Host {
	var peers []blvalue.Host
	for _, member := range s.Members() {
		if !member.Leaving && now.Sub(member.LastHeartbeatAt) < s.config.Plan.Timing.GrantTTL {
			peers = append(peers, member.Host)
		}
	}
	return peers
}
