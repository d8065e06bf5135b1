package blmember

import (
	"slices"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// stale reports whether an announcement arrived out of order: its incarnation has
// been replaced, or a later announcement of the same incarnation has been handled. An
// incarnation may start by an earlier time of day than the one before, whose clock was
// set back since; it is recognised once the other has been silent for RemoveAfter.
func (s State) stale(a Announcement, now bltimer.Instant) bool {
	if a.Upstream.StartedAt == 0 {
		return false
	}
	for _, known := range s.upstreams.All() {
		if known.Upstream.StartedAt > a.Upstream.StartedAt {
			return true
		}
		if known.Upstream.Incarnation == a.Upstream.Incarnation && known.Sequence >= a.Sequence {
			return true
		}
	}
	return a.Upstream.StartedAt < s.latestStart && now.Sub(s.latestHeardAt) <= s.timeouts.RemoveAfter
}

// withoutReplaced returns the state without the incarnations that the announced
// one replaces.
func (s State) withoutReplaced(a Announcement, now bltimer.Instant) State {
	if a.Upstream.StartedAt == 0 {
		return s
	}
	s.latestStart, s.latestHeardAt = a.Upstream.StartedAt, now
	for name, known := range s.upstreams.All() {
		if known.Upstream.StartedAt < a.Upstream.StartedAt {
			s.upstreams = s.upstreams.Without(name)
		}
	}
	return s
}

// upstreamResponded treats any answer of an upstream as evidence that it is alive.
func (s State) upstreamResponded(m UpstreamResponded, now bltimer.Instant) State {
	for name, known := range s.upstreams.All() {
		if known.Upstream.Incarnation == m.Incarnation {
			known.seenAt = now
			s.upstreams = s.upstreams.With(name, known)
		}
	}
	return s
}

// upstreamStopped removes an upstream whose process has terminated.
func (s State) upstreamStopped(m UpstreamStopped, now bltimer.Instant) (State, []Effect) {
	for name, known := range s.upstreams.All() {
		if known.Upstream.Incarnation != m.Incarnation {
			continue
		}
		s.upstreams = s.upstreams.Without(name)
		s.heartbeatQueued = s.inFlight
		return s.upstreamsChanged(now)
	}
	return s, nil
}

// configSeen adopts a configuration that is later than the current one.
func (s State) configSeen(m ConfigSeen) (State, []Effect) {
	accepted := m.Accepted
	if !accepted.LaterThan(s.config) {
		return s, nil
	}
	if accepted.SameAs(s.config) {
		s.config = s.config.WithRevision(accepted.Revision)
		return s, nil
	}
	s.config = accepted
	s.interval = accepted.Plan.Timing.Heartbeat
	return s, []Effect{ConfigChanged{Accepted: accepted, Origin: m.Origin}}
}

// withNodes keeps the nodes of a directory, any of which may know the lead.
func (s State) withNodes(directory blassign.Directory) State {
	nodes := slices.Clone(s.nodes)
	if directory.Full {
		nodes = nil
	}
	for _, entry := range directory.Entries {
		if entry.Node.Name == s.self.Name {
			continue
		}
		nodes = slices.DeleteFunc(nodes, func(h blvalue.Host) bool { return h.Name == entry.Node.Name })
		if !entry.Gone && len(nodes) < maxKnownNodes {
			nodes = append(nodes, entry.Node)
		}
	}
	s.nodes = nodes
	return s
}
