package blgrpc

import (
	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
)

func directoryToProto(d blassign.Directory) *blproto.Directory {
	directory := &blproto.Directory{
		Version: &blproto.DirectoryVersion{Term: d.Version.Term, Version: d.Version.Version}, Full: d.Full,
	}
	for _, entry := range d.Entries {
		directory.Entries = append(directory.Entries, &blproto.Entry{
			Upstream: upstreamToProto(entry.Upstream), Node: hostToProto(entry.Node), Gone: entry.Gone, Held: entry.Held,
		})
	}
	for _, run := range d.Owners {
		directory.Owners = append(directory.Owners, ownersToProto(run))
	}
	return directory
}

// ownersToProto encodes the owner of each partition as the index of its name
// plus one, or as zero if the partition has no owner.
func ownersToProto(run blassign.Owners) *blproto.Owners {
	owners := &blproto.Owners{Service: string(run.Service), First: uint32(run.First)}
	positions := map[blvalue.UpstreamName]uint32{"": 0}
	for _, name := range run.Owners {
		if _, ok := positions[name]; !ok {
			owners.Names = append(owners.Names, string(name))
			positions[name] = uint32(len(owners.GetNames()))
		}
		owners.Owners = append(owners.Owners, positions[name])
	}
	for _, position := range run.Positions {
		owners.Positions = append(owners.Positions, uint32(position))
	}
	return owners
}

func directoryFromProto(d *blproto.Directory) blassign.Directory {
	directory := blassign.Directory{
		Version: blassign.DirectoryVersion{Term: d.GetVersion().GetTerm(), Version: d.GetVersion().GetVersion()},
		Full:    d.GetFull(),
	}
	for _, entry := range d.GetEntries() {
		directory.Entries = append(directory.Entries, blassign.Entry{
			Upstream: upstreamFromProto(entry.GetUpstream()), Node: hostFromProto(entry.GetNode()), Gone: entry.GetGone(), Held: entry.GetHeld(),
		})
	}
	for _, run := range d.GetOwners() {
		owners := blassign.Owners{Service: blvalue.ServiceName(run.GetService()), First: int(run.GetFirst())}
		for _, position := range run.GetOwners() {
			name := blvalue.UpstreamName("")
			if position > 0 && int(position) <= len(run.GetNames()) {
				name = blvalue.UpstreamName(run.GetNames()[position-1])
			}
			owners.Owners = append(owners.Owners, name)
		}
		for _, position := range run.GetPositions() {
			owners.Positions = append(owners.Positions, int(position))
		}
		directory.Owners = append(directory.Owners, owners)
	}
	return directory
}
