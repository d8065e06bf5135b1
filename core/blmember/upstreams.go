package blmember

import (
	"slices"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// outdated reports whether an announcement is a late one: of a run that has
// been replaced, or overtaken by a later one of its own run.
func (s State) outdated(a Announcement) bool {
	if a.Upstream.Born == 0 {
		return false
	}
	for _, known := range s.upstreams.All() {
		if known.Upstream.Born > a.Upstream.Born {
			return true
		}
		if known.Upstream.Incarnation == a.Upstream.Incarnation && known.Sequence >= a.Sequence {
			return true
		}
	}
	return a.Upstream.Born < s.newestBorn
}

// withoutReplaced returns the state without the runs that the announced one
// has replaced.
func (s State) withoutReplaced(a Announcement) State {
	if a.Upstream.Born == 0 {
		return s
	}
	s.newestBorn = max(s.newestBorn, a.Upstream.Born)
	for name, known := range s.upstreams.All() {
		if known.Upstream.Born < a.Upstream.Born {
			s.upstreams = s.upstreams.Without(name)
		}
	}
	return s
}

// upstreamHeard takes any answer of an upstream for a sign of life.
func (s State) upstreamHeard(m UpstreamHeard, now bltimer.Instant) State {
	for name, known := range s.upstreams.All() {
		if known.Upstream.Incarnation == m.Incarnation {
			known.heardAt = now
			s.upstreams = s.upstreams.With(name, known)
		}
	}
	return s
}

// upstreamEnded forgets an upstream whose process is gone.
func (s State) upstreamEnded(m UpstreamEnded, now bltimer.Instant) (State, []Effect) {
	for name, known := range s.upstreams.All() {
		if known.Upstream.Incarnation != m.Incarnation {
			continue
		}
		s.upstreams = s.upstreams.Without(name)
		s.nextAt = min(s.nextAt, now)
		s.again = s.inFlight
		next, sent := s.report(now)
		return next, append([]Effect{UpstreamsSeen{Announcements: next.Announcements(now)}}, sent...)
	}
	return s, nil
}

// configSeen takes a later configuration, from the store or from the lead.
func (s State) configSeen(accepted blconfig.Accepted) (State, []Effect) {
	if accepted.Revision <= s.config.Revision {
		return s, nil
	}
	if accepted.SameAs(s.config) {
		s.config = s.config.WithRevision(accepted.Revision)
		return s, nil
	}
	s.config = accepted
	s.heartbeat = accepted.Plan.Timing.Heartbeat
	return s, []Effect{ConfigChanged{Accepted: accepted}}
}

// withNodes remembers the nodes of a directory, of whom any may know the lead.
func (s State) withNodes(directory blassign.Directory) State {
	if directory.Full {
		s.nodes = nil
	}
	for _, entry := range directory.Entries {
		if entry.Node.Name == s.self.Name || len(s.nodes) >= knownNodes {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(s.nodes), func(h blvalue.Host) bool { return h.Name == entry.Node.Name })
		if !entry.Gone {
			kept = append(kept, entry.Node)
		}
		s.nodes = kept
	}
	return s
}
