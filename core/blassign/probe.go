package blassign

import (
	"cmp"
	"slices"
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// probeInterval is the time between probes of one absent node, and maxProbes the
	// number of nodes probed at a time.
	probeInterval = 40 * time.Millisecond
	maxProbes     = 16
	// minRefusals is the number of refusals in a row after which a host counts as up
	// without its node. One that has just booted refuses connections for a moment.
	minRefusals = 2
)

// probeAbsent probes the absent nodes: those first that may be back, then those that were
// probed longest ago.
func (s State[P]) probeAbsent(now bltimer.Instant) (State[P], []Effect) {
	var due []absence
	for _, a := range s.absences.All() {
		if now.Sub(a.probedAt) >= probeInterval {
			due = append(due, a)
		}
	}
	if len(due) == 0 || now.Sub(s.probedAt) < probeInterval {
		return s, nil
	}
	slices.SortStableFunc(due, absence.compareDue)
	var probe ProbeHosts
	for _, a := range due[:min(len(due), maxProbes)] {
		a.probedAt = now
		s.absences = s.absences.With(a.host.Name, a)
		probe.Hosts = append(probe.Hosts, a.host)
	}
	s.probedAt = now
	return s, []Effect{probe}
}

// compareDue orders absences by the urgency of their next probe.
func (a absence) compareDue(b absence) int {
	if a.mayBeBack() != b.mayBeBack() {
		if a.mayBeBack() {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.probedAt, b.probedAt)
}

// mayBeBack reports whether the host was silent, and the next probe may show that it is back.
func (a absence) mayBeBack() bool { return a.silent && a.refusals == minRefusals-1 }

// hostProbed handles the result of a probe. A host that refuses connections is up, or has
// power again, and its node doesn't run.
func (s State[P]) hostProbed(m HostProbed, now bltimer.Instant) (State[P], []Effect) {
	a, ok := s.absences.Get(m.Host.Name)
	if !ok || a.host.Incarnation != m.Host.Incarnation {
		return s, nil
	}
	a = a.withProbe(m.Refused, now)
	s.absences = s.absences.With(a.host.Name, a)
	if a.refusals < minRefusals {
		return s, nil
	}
	return s.withhold(a, now)
}

// withProbe returns the absence after a probe. A host that was up at two probes in a row
// was up in between, for a probe's interval at least.
func (a absence) withProbe(refused bool, now bltimer.Instant) absence {
	if !refused {
		a.silent, a.refusals, a.refusedAt = true, 0, 0
		return a
	}
	if a.refusedAt != 0 {
		a.up += min(now.Sub(a.refusedAt), probeInterval)
	}
	a.refusals++
	a.refusedAt = now
	return a
}
