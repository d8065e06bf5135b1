package blassign

import (
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// viewRollouts tells the roll-out duty what the fleet looks like, while there are orders.
func (s State[P]) viewRollouts(now bltimer.Instant) (State[P], []Effect) {
	view := RolloutView{Term: s.authority.Term}
	ordered := false
	for service := range s.config.Plan.Rollouts {
		if _, ok := s.config.Plan.RolloutOf(service); ok {
			ordered = true
			view.Upstreams = append(view.Upstreams, s.rolloutUpstreams(service, now)...)
		}
	}
	if !ordered {
		return s, nil
	}
	view.ConfirmedStep = s.confirmedStep(now)
	s.admission = s.admission.withoutStepsBefore(view.ConfirmedStep)
	return s, []Effect{view}
}

// rolloutUpstreams returns the upstreams of a service, by name. One that is gone is listed
// as leaving for as long as it may use partitions.
func (s State[P]) rolloutUpstreams(service blvalue.ServiceName, now bltimer.Instant) []RolloutUpstream {
	inUse := s.partitionsInUse(service, now)
	list := make([]RolloutUpstream, 0, s.entries.Len())
	for name, entry := range s.entries.All() {
		partitions := inUse[name].Len()
		if entry.Upstream.Service != service || entry.Gone && partitions == 0 {
			continue
		}
		upstream := entry.Upstream.WithLeaving(entry.Upstream.Leaving || entry.Gone)
		list = append(list, RolloutUpstream{Upstream: upstream, Node: entry.Node, Partitions: partitions})
	}
	for name, set := range inUse {
		if entry, ok := s.entries.Get(name); set.Len() > 0 && (!ok || entry.Upstream.Service != service) {
			upstream := blvalue.Upstream{Name: name, Service: service, Leaving: true}
			list = append(list, RolloutUpstream{Upstream: upstream, Partitions: set.Len()})
		}
	}
	return list
}

// partitionsInUse returns the partitions of a service that each upstream owns, is about to
// own or, as an earlier owner, may still be using.
func (s State[P]) partitionsInUse(service blvalue.ServiceName, now bltimer.Instant) map[blvalue.UpstreamName]blvalue.PartitionSet {
	inUse := map[blvalue.UpstreamName]blvalue.PartitionSet{}
	ownership, _ := s.services.Get(service)
	for name, set := range ownership.byOwner.All() {
		inUse[name] = set
	}
	for name, list := range ownership.changing() {
		inUse[name] = inUse[name].Union(blvalue.NewPartitionSet(list...))
	}
	for _, outstanding := range s.grants.All() {
		if outstanding.upstream.Service != service || outstanding.expired(now) {
			continue
		}
		name := outstanding.upstream.Name
		for _, sent := range outstanding.sent {
			if !inUse[name].Includes(sent.set) {
				inUse[name] = inUse[name].Union(sent.set)
			}
		}
	}
	for _, a := range s.absences.All() {
		if !a.silent && !now.Before(a.withheldUntil) {
			continue
		}
		for name, held := range a.holdings.All() {
			if held.service == service {
				inUse[name] = inUse[name].Union(held.set)
			}
		}
	}
	return inUse
}

// changing returns, by upstream, the partitions of which it is an earlier owner that may
// still be using them, or the owner before or after a pending write.
func (o Ownership) changing() map[blvalue.UpstreamName][]blvalue.Partition {
	lists := map[blvalue.UpstreamName][]blvalue.Partition{}
	for index, chunk := range o.chunks.All() {
		add := func(i int, name blvalue.UpstreamName) {
			if name != "" {
				lists[name] = append(lists[name], blvalue.Partition(index*ChunkSize+i))
			}
		}
		for i, previous := range chunk.Previous {
			add(i, previous)
		}
		if chunk.pending == nil {
			continue
		}
		for i, owner := range chunk.pending.Owners {
			if owner != chunk.Owners[i] {
				add(i, owner)
				add(i, chunk.Owners[i])
			}
		}
	}
	return lists
}
