package blassign

import (
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltable"
	"bergamotlead/core/blvalue"
)

// ChunkSize is the number of partitions stored under one key.
const ChunkSize = 4096

// Chunk is the stored form of one part of a service's assignment.
type Chunk struct {
	// Revision is the chunk's revision in the store, zero before its first
	// write.
	Revision uint64
	// Term is the term of the lead that wrote the chunk.
	Term uint64
	// Era is the era of the store in which the writer wrote the chunk.
	Era     blplatform.Era
	WriteID string
	Owners  []blvalue.UpstreamName
	// Previous holds, at the positions of Owners, earlier owners that may not
	// have stopped using their partitions. It is empty once all have.
	Previous []blvalue.UpstreamName
	// Absent lists what upstreams at hosts without a reporting node may hold although
	// their grants have expired. The next lead watches these hosts.
	Absent []AbsentHolder
}

// AbsentHolder is an upstream whose host may be suspended, and the partitions that it may
// hold after the host resumes.
type AbsentHolder struct {
	Host     blvalue.Host
	Upstream blvalue.UpstreamName
	Set      blvalue.PartitionSet
}

// ChunkID identifies one chunk.
type ChunkID struct {
	Service blvalue.ServiceName
	Index   int
}

// ownedChunk is a chunk with what the lead keeps about it in memory.
type ownedChunk struct {
	Chunk

	// baseEra is the era in which Revision was read.
	baseEra blplatform.Era
	// pending is the write whose outcome isn't known yet.
	pending *Chunk
	// unresolved is set when the answer to the pending write was lost.
	unresolved bool
	// changed is the directory version at which the owners last changed.
	changed uint64
	// changes holds that version for each partition.
	changes []uint64
}

// Ownership is the immutable assignment of one service.
type Ownership struct {
	partitions int
	chunks     bltable.Table[int, ownedChunk]
	byOwner    bltable.Table[blvalue.UpstreamName, blvalue.PartitionSet]
	// claims holds, for each partition, the holder to which it was last granted.
	claims bltable.Table[blvalue.Partition, Holder]
	// loaded counts the chunks that were read from the store.
	loaded int
}

// NewOwnership returns the ownership of a service before any of its chunks is
// loaded.
func NewOwnership(partitions int) Ownership {
	return Ownership{partitions: partitions}
}

func (o Ownership) chunkCount() int {
	return (o.partitions + ChunkSize - 1) / ChunkSize
}

func (o Ownership) isLoaded() bool {
	return o.loaded == o.chunkCount()
}

// Owner returns the owner of p, or empty when it has none.
func (o Ownership) Owner(p blvalue.Partition) blvalue.UpstreamName {
	chunk, ok := o.chunks.Get(int(p) / ChunkSize)
	if !ok || int(p)%ChunkSize >= len(chunk.Owners) {
		return ""
	}
	return chunk.Owners[int(p)%ChunkSize]
}

// previous returns an earlier owner of p that may still be using it, or empty.
func (o Ownership) previous(p blvalue.Partition) blvalue.UpstreamName {
	chunk, ok := o.chunks.Get(int(p) / ChunkSize)
	if !ok || int(p)%ChunkSize >= len(chunk.Previous) {
		return ""
	}
	return chunk.Previous[int(p)%ChunkSize]
}

// Owners returns the owner of every partition.
func (o Ownership) Owners() []blvalue.UpstreamName {
	owners := make([]blvalue.UpstreamName, o.partitions)
	for i := range owners {
		owners[i] = o.Owner(blvalue.Partition(i))
	}
	return owners
}

// OwnedBy returns the partitions that the store assigns to the upstream, except
// those whose move is pending.
func (o Ownership) OwnedBy(name blvalue.UpstreamName) blvalue.PartitionSet {
	set, _ := o.byOwner.Get(name)
	return set
}

// withChunk returns the ownership with one chunk replaced.
func (o Ownership) withChunk(index int, chunk ownedChunk) Ownership {
	old, had := o.chunks.Get(index)
	if !had {
		o.loaded++
	}
	o.chunks = o.chunks.With(index, chunk)
	for i := range max(len(old.Owners), len(chunk.Owners)) {
		p := blvalue.Partition(index*ChunkSize + i)
		o = o.withOwner(p, stableOwner(old, i), stableOwner(chunk, i))
	}
	return o
}

// stableOwner returns the owner at position i, or empty while a pending write
// changes it.
func stableOwner(chunk ownedChunk, i int) blvalue.UpstreamName {
	if i >= len(chunk.Owners) {
		return ""
	}
	if chunk.pending != nil && chunk.pending.Owners[i] != chunk.Owners[i] {
		return ""
	}
	return chunk.Owners[i]
}

func (o Ownership) withOwner(p blvalue.Partition, old, owner blvalue.UpstreamName) Ownership {
	if old == owner {
		return o
	}
	if old != "" {
		o.byOwner = o.byOwner.With(old, o.OwnedBy(old).Without(blvalue.NewPartitionSet(p)))
	}
	if owner != "" {
		o.byOwner = o.byOwner.With(owner, o.OwnedBy(owner).With(p))
	}
	return o
}

// assignedTo returns the partitions of which the upstream is the owner, or an earlier one
// that may still be using them.
func (o Ownership) assignedTo(name blvalue.UpstreamName) blvalue.PartitionSet {
	set := o.OwnedBy(name)
	for index, chunk := range o.chunks.All() {
		for i, previous := range chunk.Previous {
			if previous == name {
				set = set.With(blvalue.Partition(index*ChunkSize + i))
			}
		}
	}
	return set
}

func (o Ownership) hasPending() bool {
	for _, chunk := range o.chunks.All() {
		if chunk.pending != nil {
			return true
		}
	}
	return false
}

func (o Ownership) withClaims(set blvalue.PartitionSet, holder Holder) Ownership {
	for p := range set.All() {
		if current, ok := o.claims.Get(p); !ok || current != holder {
			o.claims = o.claims.With(p, holder)
		}
	}
	return o
}
