package blassign

import (
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// withhold takes the partitions that an upstream of the host may hold from all others, for
// as long as it may hold them: less the time for which its clock is known to have run since
// its node was lost.
func (s State[P]) withhold(a absence, now bltimer.Instant) (State[P], []Effect) {
	left := s.config.MaxGrantLifetime() - a.up
	if !a.silent || left <= 0 {
		return s, nil
	}
	a.silent, a.refusals = false, 0
	a.withheldUntil = now.Add(left)
	s.absences = s.absences.With(a.host.Name, a)
	return s, []Effect{
		WithholdingChanged{Host: a.host.Name, Partitions: a.partitions(), Withheld: true}, Nudge{Nodes: s.peers(now)},
	}
}

// withholdOnce does the same unless the partitions are withheld already.
func (s State[P]) withholdOnce(a absence, now bltimer.Instant) (State[P], []Effect) {
	if now.Before(a.withheldUntil) {
		return s, nil
	}
	return s.withhold(a, now)
}

// freed returns the effects of the end of a withholding.
func (s State[P]) freed(a absence, now bltimer.Instant) []Effect {
	if a.withheldUntil == 0 {
		return nil
	}
	return []Effect{
		WithholdingChanged{Host: a.host.Name, Partitions: a.partitions()}, Nudge{Nodes: s.peers(now)},
	}
}

// withheldFrom returns the partitions of the service that upstreams with other names may
// hold at hosts that are back without their node.
func (s State[P]) withheldFrom(upstream blvalue.Upstream, now bltimer.Instant) blvalue.PartitionSet {
	var withheld blvalue.PartitionSet
	for _, a := range s.absences.All() {
		if !now.Before(a.withheldUntil) {
			continue
		}
		for name, held := range a.holdings.All() {
			if name != upstream.Name && held.service == upstream.Service {
				withheld = withheld.Union(held.set)
			}
		}
	}
	return withheld
}
