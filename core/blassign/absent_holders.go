package blassign

import "bergamotlead/core/blvalue"

// absentHolders returns what upstreams at absent hosts may hold of a chunk, to be stored
// with it.
func (s State[P]) absentHolders(id ChunkID) []AbsentHolder {
	var holders []AbsentHolder
	for _, a := range s.absences.All() {
		for name, held := range a.holdings.All() {
			if held.service != id.Service {
				continue
			}
			if set := partitionsOfChunk(held.set, id.Index); set.Len() > 0 {
				holders = append(holders, AbsentHolder{Host: a.host, Upstream: name, Set: set})
			}
		}
	}
	return holders
}

func partitionsOfChunk(set blvalue.PartitionSet, index int) blvalue.PartitionSet {
	var partitions []blvalue.Partition
	for p := range set.All() {
		if int(p)/ChunkSize == index {
			partitions = append(partitions, p)
		}
	}
	return blvalue.NewPartitionSet(partitions...)
}

// withStoredAbsences records the hosts that were absent when an earlier lead wrote the
// assignment and that haven't reported to this one.
func (s State[P]) withStoredAbsences() State[P] {
	for service, ownership := range s.services.All() {
		for _, chunk := range ownership.chunks.All() {
			for _, holder := range chunk.Absent {
				s = s.withAbsentHolder(service, holder)
			}
		}
	}
	return s
}

func (s State[P]) withAbsentHolder(service blvalue.ServiceName, holder AbsentHolder) State[P] {
	if _, reported := s.members.Get(holder.Host.Name); reported {
		return s
	}
	a, known := s.absences.Get(holder.Host.Name)
	if !known {
		a = absence{host: holder.Host, since: s.authority.PriorExpiredAt, silent: true}
	}
	return s.withAbsence(a.withHolding(holder.Upstream, holding{service: service, set: holder.Set}))
}

// canClearAbsent reports whether a chunk lists only hosts that this lead no longer watches.
func (s State[P]) canClearAbsent(chunk ownedChunk) bool {
	for _, holder := range chunk.Absent {
		if _, ok := s.absences.Get(holder.Host.Name); ok {
			return false
		}
	}
	return len(chunk.Absent) > 0 && s.absencesRead
}
