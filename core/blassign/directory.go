package blassign

import "bergamotlead/core/blvalue"

// DirectoryVersion orders directories. A version of another term says nothing.
type DirectoryVersion struct {
	Term    uint64
	Version uint64
}

// Entry tells where an upstream is reached.
type Entry struct {
	Upstream blvalue.Upstream
	Node     blvalue.Host
	// Gone tells that the upstream is no longer there.
	Gone bool
}

// Owners lists the owners of a run of partitions.
type Owners struct {
	Service blvalue.ServiceName
	// First is the first partition of the run.
	First  int
	Owners []blvalue.UpstreamName
}

// Directory is the list of changes that leads a node from one version to
// another. A full directory replaces what the node has.
type Directory struct {
	Version DirectoryVersion
	Full    bool
	Entries []Entry
	Owners  []Owners
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
			if chunk.changed > since {
				directory.Owners = append(directory.Owners, Owners{
					Service: service, First: index * ChunkSize, Owners: chunk.Owners,
				})
			}
		}
	}
	return directory
}
