package blassign

import (
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// soon is how long a node waits that has partitions coming to it.
const soon = 40 * time.Millisecond

// heartbeat takes a node's report and answers with its grants.
func (s State[P]) heartbeat(m Heartbeat, now bltimer.Instant) (State[P], []Effect) {
	if !s.authority.Holds(now) || !s.ready() || s.overtaken(m) {
		return s, []Effect{Answer{Reply: m.Reply}}
	}
	s = s.withReleases(m, now)
	s = s.withHandovers(m)
	s = s.withMember(m, now).withLoads(m)
	reply := HeartbeatReply{Term: s.authority.Term, Standby: s.authority.Standby, StoreLost: !s.authority.MayChange}
	reply = s.withConfig(reply, m, now)
	for _, upstream := range m.Upstreams {
		if s.needsHeld(m, upstream, now) {
			reply.NeedHeld = true
			continue
		}
		var offer blgrant.Offer
		var waits bool
		s, offer, waits = s.offer(m, upstream, now)
		if offer.Service != "" {
			reply.Offers = append(reply.Offers, offer)
		}
		if waits {
			reply.Soon = soon
		}
	}
	reply.Directory = s.directorySince(m.Directory)
	effects := []Effect{Answer{Reply: m.Reply, HeartbeatReply: reply}}
	if reply.NeedConfig {
		effects = append(effects, ReloadConfig{})
	}
	if m.Config != nil && m.Config.Revision > s.config.Revision {
		effects = append(effects, ConfigOffered{Accepted: *m.Config})
	}
	return s, effects
}

// configPatience is how long a node that reads the configuration itself may be
// behind before the lead hands it over.
const configPatience = 1200 * time.Millisecond

// withConfig completes the answer to a node that has another configuration:
// the later one goes to the side that lacks it.
func (s State[P]) withConfig(reply HeartbeatReply, m Heartbeat, now bltimer.Instant) HeartbeatReply {
	if m.ConfigRevision == s.config.Revision || m.ConfigDigest == s.config.Digest && s.config.Digest != 0 {
		return reply
	}
	if m.ConfigRevision > s.config.Revision {
		reply.NeedConfig = true
		return reply
	}
	reply.ConfigRevision = s.config.Revision
	if m.WantsConfig || now.Sub(s.configAt) > configPatience {
		config := s.config
		reply.Config = &config
	}
	return reply
}

// overtaken reports whether a later heartbeat of the same run has been seen.
func (s State[P]) overtaken(m Heartbeat) bool {
	member, ok := s.members.Get(m.Node.Name)
	if ok && youngest(m.Upstreams) < youngest(member.Upstreams) {
		return true
	}
	return ok && member.Host.Incarnation == m.Node.Incarnation && m.Sequence <= member.Sequence
}

// withReleases takes what the node no longer uses: sets older than the fence
// that it reports, and everything of upstreams that it no longer lists.
func (s State[P]) withReleases(m Heartbeat, now bltimer.Instant) State[P] {
	old, known := s.members.Get(m.Node.Name)
	if known {
		s = s.withoutEnded(old, m)
	}
	for _, held := range m.Held {
		upstream, listed := m.upstream(held.Incarnation)
		if !listed {
			continue
		}
		holder := NewHolder(m.Node.Incarnation, upstream)
		outstanding, ok := s.outstanding.Get(holder)
		if !ok || held.Fence.Term != s.authority.Term {
			continue
		}
		s.outstanding = s.outstanding.With(holder, outstanding.withoutReleased(held.Fence, now))
	}
	return s
}

// withoutEnded drops the holders behind a node that its new report no longer
// lists. A node stops listing an upstream only when nothing runs there. What
// another run of the node held is left to lapse: the report may be a late one
// of the earlier run.
func (s State[P]) withoutEnded(old Member, m Heartbeat) State[P] {
	s = s.withoutReplaced(old, m)
	if old.Host.Incarnation != m.Node.Incarnation {
		return s
	}
	for _, upstream := range old.Upstreams {
		if blvalue.HasIncarnation(m.Upstreams, upstream.Incarnation) {
			continue
		}
		holder := NewHolder(old.Host.Incarnation, upstream)
		if outstanding, ok := s.outstanding.Get(holder); ok && outstanding.heartbeat < m.Sequence {
			s.outstanding = s.outstanding.Without(holder)
		}
	}
	return s
}

// withoutReplaced drops the holders of runs that a later one on the same host
// has replaced.
func (s State[P]) withoutReplaced(old Member, m Heartbeat) State[P] {
	for _, upstream := range old.Upstreams {
		if upstream.KeepsGrants && upstream.Born < youngest(m.Upstreams) {
			s.outstanding = s.outstanding.Without(NewHolder(old.Host.Incarnation, upstream))
		}
	}
	return s
}

// youngest returns when the youngest of the upstreams started.
func youngest(upstreams []blvalue.Upstream) int64 {
	born := int64(0)
	for _, upstream := range upstreams {
		born = max(born, upstream.Born)
	}
	return born
}

func (s State[P]) withMember(m Heartbeat, now bltimer.Instant) State[P] {
	s.members = s.members.With(m.Node.Name, Member{
		Host: m.Node, HeardAt: now, Sequence: m.Sequence, ConfigRevision: m.ConfigRevision, Leaving: m.Leaving, Upstreams: m.Upstreams,
		Fresh: !m.WantsConfig,
	})
	for _, upstream := range m.Upstreams {
		if s.mayAnswerTo(m.Node, upstream) {
			s = s.withEntry(Entry{Upstream: upstream.WithLeaving(s.leaves(m, upstream)), Node: m.Node})
		}
	}
	return s
}

func (s State[P]) leaves(m Heartbeat, upstream blvalue.Upstream) bool {
	plan := s.config.Plan
	return m.Leaving || upstream.Leaving || plan.Drained[upstream.Name] || !plan.DomainTakesWork(m.Node.Domain)
}

// mayAnswerTo reports whether the upstream is the one that its name stands for.
// A second one of the same name has to wait until the first is gone.
func (s State[P]) mayAnswerTo(node blvalue.Host, upstream blvalue.Upstream) bool {
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
		if !member.Leaving && now.Sub(member.HeardAt) < s.config.Plan.Timing.GrantTTL {
			peers = append(peers, member.Host)
		}
	}
	return peers
}
