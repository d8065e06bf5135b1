// Package blroute is a node's duty of routing: it finds the upstream that a
// request goes to, and bounds retries and hedges.
package blroute

import (
	"slices"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltable"
	"bergamotlead/core/blvalue"
)

// Directory is an immutable list of upstreams and of the owners of partitions.
type Directory struct {
	entries bltable.Table[blvalue.UpstreamName, blassign.Entry]
	owners  bltable.Table[blvalue.ServiceName, bltable.Table[int, []blvalue.UpstreamName]]
}

// WithChanges returns the directory after the lead's changes.
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
	for _, run := range changes.Owners {
		chunks, _ := d.owners.Get(run.Service)
		index := run.First / blassign.ChunkSize
		owners, _ := chunks.Get(index)
		d.owners = d.owners.With(run.Service, chunks.With(index, withRun(owners, run)))
	}
	return d
}

// withRun returns the owners of a chunk after a change.
func withRun(owners []blvalue.UpstreamName, run blassign.Owners) []blvalue.UpstreamName {
	if run.Positions == nil {
		return run.Owners
	}
	owners = slices.Clone(owners)
	for i, position := range run.Positions {
		if at := position - run.First; at >= 0 && at < len(owners) {
			owners[at] = run.Owners[i]
		}
	}
	return owners
}

// Owner returns the entry of the owner of p and whether it is known.
func (d Directory) Owner(service blvalue.ServiceName, p blvalue.Partition) (blassign.Entry, bool) {
	chunks, _ := d.owners.Get(service)
	owners, _ := chunks.Get(int(p) / blassign.ChunkSize)
	index := int(p) % blassign.ChunkSize
	if index >= len(owners) || owners[index] == "" {
		return blassign.Entry{}, false
	}
	return d.entries.Get(owners[index])
}

// Upstreams returns the upstreams of a service that take new work.
func (d Directory) Upstreams(service blvalue.ServiceName) []blassign.Entry {
	var entries []blassign.Entry
	for _, entry := range d.entries.All() {
		if entry.Upstream.Service == service && !entry.Upstream.Leaving {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Entries returns every upstream.
func (d Directory) Entries() []blassign.Entry {
	entries := make([]blassign.Entry, 0, d.entries.Len())
	for _, entry := range d.entries.All() {
		entries = append(entries, entry)
	}
	return entries
}
