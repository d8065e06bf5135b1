package blassign

import "bergamotlead/core/blvalue"

// DirectoryVersion orders directories. Versions of different terms can't be
// compared.
type DirectoryVersion struct {
	Term    uint64
	Version uint64
}

// Entry is an upstream and the node through which it is reached.
type Entry struct {
	Upstream blvalue.Upstream
	Node     blvalue.Host
	// Gone is set when the upstream no longer exists.
	Gone bool
	// Held is set while a roll-out keeps the upstream without new requests and without
	// partitions.
	Held bool
}

// gone returns the entry of an upstream that no longer exists.
func (e Entry) gone() Entry {
	e.Gone = true
	return e
}

// Owners lists the owners of a contiguous range of partitions, or of the
// partitions in Positions.
type Owners struct {
	Service blvalue.ServiceName
	// First is the first partition of the range.
	First  int
	Owners []blvalue.UpstreamName
	// Positions lists the partitions of Owners where these are not contiguous.
	Positions []int
}

// Directory is the list of changes that brings a node from one version to
// another. A full directory replaces what the node has.
type Directory struct {
	Version DirectoryVersion
	Full    bool
	Entries []Entry
	Owners  []Owners
}

// ownersSince returns the owners that changed after a version, or all of them
// when full is set or more than half have changed.
func (c ownedChunk) ownersSince(service blvalue.ServiceName, index int, since uint64, full bool) Owners {
	owners := Owners{Service: service, First: index * ChunkSize, Owners: c.Owners}
	if full || len(c.changes) != len(c.Owners) {
		return owners
	}
	changed := Owners{Service: service, First: owners.First}
	for i, owner := range c.Owners {
		if c.changes[i] > since {
			changed.Owners = append(changed.Owners, owner)
			changed.Positions = append(changed.Positions, owners.First+i)
		}
	}
	if len(changed.Owners) > len(c.Owners)/2 {
		return owners
	}
	return changed
}

// directorySince returns the changes since the version that a node has, or nil
// when there are none.
func (s State[P]) directorySince(have DirectoryVersion) *Directory {
	version := DirectoryVersion{Term: s.authority.Term, Version: s.version}
	if have == version {
		return nil
	}
	since := have.Version
	full := have.Term != version.Term || have.Version > version.Version
	if full {
		since = 0
	}
	directory := &Directory{Version: version, Full: full}
	for _, entry := range s.entries.All() {
		if entry.changed > since && (!full || !entry.Gone) {
			directory.Entries = append(directory.Entries, entry.Entry)
		}
	}
	for service, ownership := range s.services.All() {
		for index, chunk := range ownership.chunks.All() {
			if chunk.changed <= since {
				continue
			}
			if owners := chunk.ownersSince(service, index, since, full); len(owners.Owners) > 0 {
				directory.Owners = append(directory.Owners, owners)
			}
		}
	}
	return directory
}
