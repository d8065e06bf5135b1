// Package blroute implements the routing duty of a node: it selects the upstream
// for each request and limits retries and hedges.
package blroute

import (
	"slices"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltable"
	"bergamotlead/core/blvalue"
)

// Directory is an immutable table of the upstreams and of the partition owners.
type Directory struct {
	entries bltable.Table[blvalue.UpstreamName, blassign.Entry]
	owners  bltable.Table[blvalue.ServiceName, bltable.Table[int, []blvalue.UpstreamName]]
}

// WithChanges returns the directory after the lead's changes were applied.
func (d Directory) WithChanges(changes blassign.Directory) Directory {
	if changes.Full {
		d = Directory{}
	}
	for _, entry := range changes.Entries {
		if entry.Gone {
			d.entries = d.entries.Without(entry.Upstream.Name)
			continue
		}
		d.entries = d.entries.With(entry.Upstream.Name, entry)
	}
	for _, change := range changes.Owners {
		chunks, _ := d.owners.Get(change.Service)
		index := change.First / blassign.ChunkSize
		owners, _ := chunks.Get(index)
		d.owners = d.owners.With(change.Service, chunks.With(index, withOwners(owners, change)))
	}
	return d
}

// withOwners returns the owners of a chunk after a change. A change without
// positions replaces the whole chunk.
func withOwners(owners []blvalue.UpstreamName, change blassign.Owners) []blvalue.UpstreamName {
	if change.Positions == nil {
		return change.Owners
	}
	owners = slices.Clone(owners)
	for i, position := range change.Positions {
		if offset := position - change.First; offset >= 0 && offset < len(owners) {
			owners[offset] = change.Owners[i]
		}
	}
	return owners
}

// Owner returns the upstream that owns partition p and whether it is known.
func (d Directory) Owner(service blvalue.ServiceName, p blvalue.Partition) (blassign.Entry, bool) {
	chunks, _ := d.owners.Get(service)
	owners, _ := chunks.Get(int(p) / blassign.ChunkSize)
	index := int(p) % blassign.ChunkSize
	if index >= len(owners) || owners[index] == "" {
		return blassign.Entry{}, false
	}
	return d.entries.Get(owners[index])
}

// Upstreams returns the upstreams of a service that accept new requests: those that
// aren't leaving and that no roll-out holds back.
func (d Directory) Upstreams(service blvalue.ServiceName) []blassign.Entry {
	var entries []blassign.Entry
	for _, entry := range d.entries.All() {
		if entry.Upstream.Service == service && !entry.Upstream.Leaving && !entry.Held {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Entries returns all upstreams.
func (d Directory) Entries() []blassign.Entry {
	entries := make([]blassign.Entry, 0, d.entries.Len())
	for _, entry := range d.entries.All() {
		entries = append(entries, entry)
	}
	return entries
}
