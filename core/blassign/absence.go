package blassign

import (
	"time"

	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// absentDivisor sets the time without a heartbeat after which a node counts as absent:
	// half the time to live of a grant. The lead then knows that a host was silent before it
	// gives its partitions to others.
	absentDivisor = 2
	// maxAbsence is how long after its last heartbeat the lead forgets an absent node.
	maxAbsence = time.Minute
)

// holding is what an upstream that keeps its grants may hold.
type holding struct {
	service blvalue.ServiceName
	set     blvalue.PartitionSet
}

// absence is what the lead knows of a host whose node has stopped reporting. The host may
// be suspended. Its upstreams then hold their partitions for longer than the lead can know,
// since their clocks stand still, and after the resume only a node on the host can take
// them back. Until one does, the lead withholds these partitions from other upstreams.
type absence struct {
	host  blvalue.Host
	since bltimer.Instant
	// holdings are those that the upstreams of the host had, by name.
	holdings bltable.Table[blvalue.UpstreamName, holding]
	probedAt bltimer.Instant
	// silent is set while the host may have been suspended since it was last known to be up:
	// at first, and after a probe that wasn't refused.
	silent bool
	// refusals counts the probes in a row that were refused since, and refusedAt is when
	// the last one was, or zero if the last probe wasn't refused.
	refusals  int
	refusedAt bltimer.Instant
	// up is the time for which the host is known to have been up without its node.
	up time.Duration
	// reportedBy is the run of the node of which a heartbeat has arrived since. One of the
	// run that was lost may have been sent before the host was suspended; the next was not.
	reportedBy blvalue.Incarnation
	// withheldUntil is the time from which the upstreams hold none of the partitions any
	// more, or zero while these aren't withheld.
	withheldUntil bltimer.Instant
}

// partitions returns the number of partitions that the upstreams of the host may hold.
func (a absence) partitions() int {
	count := 0
	for _, held := range a.holdings.All() {
		count += held.set.Len()
	}
	return count
}

func (a absence) withHolding(name blvalue.UpstreamName, held holding) absence {
	earlier, _ := a.holdings.Get(name)
	held.set = held.set.Union(earlier.set)
	if held.set.Len() > 0 {
		a.holdings = a.holdings.With(name, held)
	}
	return a
}

// trackAbsences records the nodes that haven't reported to this lead, forgets those that
// are gone for long, and probes the others.
func (s State[P]) trackAbsences(now bltimer.Instant) (State[P], []Effect) {
	s = s.withAbsentEntries(now)
	s, effects := s.withoutPastAbsences(now)
	s, probes := s.probeAbsent(now)
	return s, append(effects, probes...)
}

func (s State[P]) absentAfter() time.Duration {
	return s.config.Plan.Timing.GrantTTL / absentDivisor
}

// withAbsentMembers records the members that have stopped reporting, with all that their
// upstreams were granted and haven't returned.
func (s State[P]) withAbsentMembers(now bltimer.Instant) State[P] {
	for name, member := range s.members.All() {
		silence := now.Sub(member.LastHeartbeatAt)
		a, known := s.absences.Get(name)
		if known && a.reportedBy == "" || silence < s.absentAfter() || silence >= maxAbsence {
			continue
		}
		if !known {
			a.host, a.silent = member.Host, true
		}
		a.since, a.reportedBy = member.LastHeartbeatAt, ""
		for _, upstream := range member.Upstreams {
			outstanding, ok := s.grants.Get(NewHolder(member.Host.Incarnation, upstream))
			if ok && upstream.KeepsGrants {
				a = a.withHolding(upstream.Name, holding{service: upstream.Service, set: outstanding.sets()})
			}
		}
		s = s.withAbsence(a)
	}
	return s
}

// withAbsentEntries records, once in a term, the nodes that the directory or the stored
// assignment of the earlier lead named and that haven't reported to this one. Those of the
// directory may hold the partitions that the store assigns to their upstreams.
func (s State[P]) withAbsentEntries(now bltimer.Instant) State[P] {
	began := s.authority.PriorExpiredAt
	if s.absencesRead || now.Before(began.Add(s.absentAfter())) {
		return s
	}
	s.absencesRead = true
	s = s.withStoredAbsences()
	for _, entry := range s.earlierEntries {
		_, reported := s.members.Get(entry.Node.Name)
		ownership, ok := s.services.Get(entry.Upstream.Service)
		if reported || !ok || !entry.Upstream.KeepsGrants {
			continue
		}
		a, known := s.absences.Get(entry.Node.Name)
		if !known {
			a = absence{host: entry.Node, since: began, silent: true}
		}
		s = s.withAbsence(a.withHolding(entry.Upstream.Name, holding{
			service: entry.Upstream.Service, set: ownership.assignedTo(entry.Upstream.Name),
		}))
	}
	s.earlierEntries = nil
	return s
}

// withAbsence records an absence, unless nothing is held at the host.
func (s State[P]) withAbsence(a absence) State[P] {
	if a.holdings.Len() > 0 {
		s.absences = s.absences.With(a.host.Name, a)
	}
	return s
}

// withoutPastAbsences ends the withholding of partitions that nobody can hold any more,
// and forgets nodes that have been absent for maxAbsence.
func (s State[P]) withoutPastAbsences(now bltimer.Instant) (State[P], []Effect) {
	var effects []Effect
	for name, a := range s.absences.All() {
		if a.withheldUntil != 0 && !now.Before(a.withheldUntil) {
			effects = append(effects, s.freed(a, now)...)
			a.withheldUntil = 0
			s.absences = s.absences.With(name, a)
		}
		if a.withheldUntil == 0 && now.Sub(a.since) >= maxAbsence {
			s.absences = s.absences.Without(name)
		}
	}
	return s, effects
}

// hostReported ends the absence of a node that reports again: one that has started since
// once it has taken back what its earlier run granted, another with its second heartbeat.
func (s State[P]) hostReported(m Heartbeat, now bltimer.Instant) (State[P], []Effect) {
	a, ok := s.absences.Get(m.Node.Name)
	if !ok {
		return s, nil
	}
	sameRun, again := m.Node.Incarnation == a.host.Incarnation, m.Node.Incarnation == a.reportedBy
	// The run may be given grants in the reply.
	a.reportedBy, a.up = m.Node.Incarnation, 0
	if m.Reclaiming && !sameRun {
		s.absences = s.absences.With(m.Node.Name, a)
		return s.withholdOnce(a, now)
	}
	if sameRun && !again {
		s.absences = s.absences.With(m.Node.Name, a)
		return s, nil
	}
	s.absences = s.absences.Without(m.Node.Name)
	return s, s.freed(a, now)
}
