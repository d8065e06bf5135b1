package blgrpc

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
)

func hostToProto(h blvalue.Host) *blproto.Host {
	if h.IsZero() {
		return nil
	}
	return &blproto.Host{
		Name: string(h.Name), Incarnation: string(h.Incarnation), Domain: string(h.Domain), Address: h.Address,
		Capacity: uint32(h.Capacity),
	}
}

func hostFromProto(h *blproto.Host) blvalue.Host {
	return blvalue.Host{
		Name: blvalue.HostName(h.GetName()), Incarnation: blvalue.Incarnation(h.GetIncarnation()),
		Domain: blvalue.DomainName(h.GetDomain()), Address: h.GetAddress(), Capacity: int(h.GetCapacity()),
	}
}

func upstreamToProto(u blvalue.Upstream) *blproto.Upstream {
	return &blproto.Upstream{
		Name: string(u.Name), Incarnation: string(u.Incarnation), Service: string(u.Service),
		Slots: uint32(u.Slots), ChecksFence: u.ChecksFence, Leaving: u.Leaving, KeepsGrants: u.KeepsGrants, Cold: u.Cold, Born: u.StartedAt,
	}
}

func upstreamFromProto(u *blproto.Upstream) blvalue.Upstream {
	return blvalue.Upstream{
		Name: blvalue.UpstreamName(u.GetName()), Incarnation: blvalue.Incarnation(u.GetIncarnation()),
		Service: blvalue.ServiceName(u.GetService()), Slots: int(u.GetSlots()),
		ChecksFence: u.GetChecksFence(), Leaving: u.GetLeaving(), KeepsGrants: u.GetKeepsGrants(), Cold: u.GetCold(), StartedAt: u.GetBorn(),
	}
}

func fenceToProto(f blvalue.Fence) *blproto.Fence {
	return &blproto.Fence{Term: f.Term, Sequence: f.Sequence}
}

func fenceFromProto(f *blproto.Fence) blvalue.Fence {
	return blvalue.Fence{Term: f.GetTerm(), Sequence: f.GetSequence()}
}

func heartbeatToProto(h blassign.Heartbeat) *blproto.HeartbeatRequest {
	request := &blproto.HeartbeatRequest{
		Node: hostToProto(h.Node), Sequence: h.Sequence, ConfigRevision: h.ConfigRevision, Leaving: h.Leaving,
		Directory: &blproto.DirectoryVersion{Term: h.Directory.Term, Version: h.Directory.Version}, WantsConfig: h.WantsConfig,
		ConfigDigest: h.ConfigDigest, ConfigVersion: h.ConfigVersion,
	}
	for _, reported := range h.Loads {
		request.Loads = append(request.Loads, &blproto.UpstreamLoad{
			Incarnation: string(reported.Incarnation), Load: loadToProto(reported.Load),
		})
	}
	for _, upstream := range h.Upstreams {
		request.Upstreams = append(request.Upstreams, upstreamToProto(upstream))
	}
	for _, held := range h.Held {
		request.Held = append(request.Held, &blproto.Held{
			Upstream: string(held.Upstream), Incarnation: string(held.Incarnation), Service: string(held.Service),
			Fence: fenceToProto(held.Fence), HasSet: held.HasSet, Partitions: held.Set.Words(),
			Handovers: handoversToProto(held.Handovers),
		})
	}
	return request
}

func heartbeatFromProto(r *blproto.HeartbeatRequest) blassign.Heartbeat {
	heartbeat := blassign.Heartbeat{
		Node: hostFromProto(r.GetNode()), Sequence: r.GetSequence(), ConfigRevision: r.GetConfigRevision(), Leaving: r.GetLeaving(),
		Directory:   blassign.DirectoryVersion{Term: r.GetDirectory().GetTerm(), Version: r.GetDirectory().GetVersion()},
		WantsConfig: r.GetWantsConfig(), ConfigDigest: r.GetConfigDigest(), ConfigVersion: r.GetConfigVersion(),
	}
	for _, reported := range r.GetLoads() {
		heartbeat.Loads = append(heartbeat.Loads, blassign.UpstreamLoad{
			Incarnation: blvalue.Incarnation(reported.GetIncarnation()), Load: loadFromProto(reported.GetLoad()),
		})
	}
	for _, upstream := range r.GetUpstreams() {
		heartbeat.Upstreams = append(heartbeat.Upstreams, upstreamFromProto(upstream))
	}
	for _, held := range r.GetHeld() {
		heartbeat.Held = append(heartbeat.Held, blgrant.Held{
			Upstream: blvalue.UpstreamName(held.GetUpstream()), Incarnation: blvalue.Incarnation(held.GetIncarnation()),
			Service: blvalue.ServiceName(held.GetService()), Fence: fenceFromProto(held.GetFence()),
			HasSet: held.GetHasSet(), Set: blvalue.PartitionSetOfWords(held.GetPartitions()),
			Handovers: handoversFromProto(held.GetHandovers()),
		})
	}
	return heartbeat
}

func replyToProto(r blassign.HeartbeatReply) *blproto.HeartbeatReply {
	reply := &blproto.HeartbeatReply{
		Term: r.Term, Standby: hostToProto(r.Standby), SoonMs: milliseconds(r.ReportAfter), NeedHeld: r.NeedHeld,
		FetchConfig: r.FetchConfig, Lead: hostToProto(r.Lead), ConfigRevision: r.ConfigRevision, StoreLost: r.StoreLost,
		ConfigVersion: r.ConfigVersion,
	}
	for _, offer := range r.Offers {
		reply.Offers = append(reply.Offers, &blproto.Offer{
			Upstream: string(offer.Upstream), Incarnation: string(offer.Incarnation), Service: string(offer.Service),
			Fence: fenceToProto(offer.Fence), TtlMs: milliseconds(offer.TTL),
			HasSet: offer.HasSet, Partitions: offer.Set.Words(), Handovers: handoversToProto(offer.Handovers),
		})
	}
	if r.Directory != nil {
		reply.Directory = directoryToProto(*r.Directory)
	}
	return reply
}

func replyFromProto(r *blproto.HeartbeatReply) blassign.HeartbeatReply {
	reply := blassign.HeartbeatReply{
		Term: r.GetTerm(), Standby: hostFromProto(r.GetStandby()), ReportAfter: duration(r.GetSoonMs()), NeedHeld: r.GetNeedHeld(),
		FetchConfig: r.GetFetchConfig(), Lead: hostFromProto(r.GetLead()), ConfigRevision: r.GetConfigRevision(),
		StoreLost: r.GetStoreLost(), ConfigVersion: r.GetConfigVersion(),
	}
	for _, offer := range r.GetOffers() {
		reply.Offers = append(reply.Offers, blgrant.Offer{
			Upstream: blvalue.UpstreamName(offer.GetUpstream()), Incarnation: blvalue.Incarnation(offer.GetIncarnation()),
			Service: blvalue.ServiceName(offer.GetService()), Fence: fenceFromProto(offer.GetFence()),
			TTL: duration(offer.GetTtlMs()), HasSet: offer.GetHasSet(),
			Set: blvalue.PartitionSetOfWords(offer.GetPartitions()), Handovers: handoversFromProto(offer.GetHandovers()),
		})
	}
	if r.GetDirectory() != nil {
		directory := directoryFromProto(r.GetDirectory())
		reply.Directory = &directory
	}
	return reply
}

func handoversToProto(handovers []blgrant.Handover) []*blproto.Handover {
	list := make([]*blproto.Handover, 0, len(handovers))
	for _, handover := range handovers {
		list = append(list, &blproto.Handover{Partition: uint32(handover.Partition), Token: handover.Token})
	}
	return list
}

func handoversFromProto(handovers []*blproto.Handover) []blgrant.Handover {
	list := make([]blgrant.Handover, 0, len(handovers))
	for _, handover := range handovers {
		list = append(list, blgrant.Handover{
			Partition: blvalue.Partition(handover.GetPartition()), Token: handover.GetToken(),
		})
	}
	return list
}

func loadToProto(load blvalue.Load) *blproto.Load {
	if !load.Known() {
		return nil
	}
	return &blproto.Load{
		Running: uint32(load.Running), Waiting: uint32(load.Waiting), Limit: uint32(load.Limit),
		ServiceMs: milliseconds(load.ServiceTime),
	}
}

func loadFromProto(load *blproto.Load) blvalue.Load {
	return blvalue.Load{
		Running: int(load.GetRunning()), Waiting: int(load.GetWaiting()), Limit: int(load.GetLimit()),
		ServiceTime: duration(load.GetServiceMs()),
	}
}

func directoryToProto(d blassign.Directory) *blproto.Directory {
	directory := &blproto.Directory{
		Version: &blproto.DirectoryVersion{Term: d.Version.Term, Version: d.Version.Version}, Full: d.Full,
	}
	for _, entry := range d.Entries {
		directory.Entries = append(directory.Entries, &blproto.Entry{
			Upstream: upstreamToProto(entry.Upstream), Node: hostToProto(entry.Node), Gone: entry.Gone,
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
			Upstream: upstreamFromProto(entry.GetUpstream()), Node: hostFromProto(entry.GetNode()), Gone: entry.GetGone(),
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

func needsToProto(needs []blquota.Need) []*blproto.Need {
	list := make([]*blproto.Need, 0, len(needs))
	for _, need := range needs {
		list = append(list, &blproto.Need{
			Account: string(need.Account), Spent: need.Spent, Returned: need.Returned, Wanted: need.Wanted,
		})
	}
	return list
}

func needsFromProto(needs []*blproto.Need) []blquota.Need {
	list := make([]blquota.Need, 0, len(needs))
	for _, need := range needs {
		list = append(list, blquota.Need{
			Account: blvalue.AccountName(need.GetAccount()), Spent: need.GetSpent(),
			Returned: need.GetReturned(), Wanted: need.GetWanted(),
		})
	}
	return list
}

func loansToProto(loans []blquota.Loan) []*blproto.Loan {
	list := make([]*blproto.Loan, 0, len(loans))
	for _, loan := range loans {
		list = append(list, &blproto.Loan{
			Account: string(loan.Account), Tokens: loan.Tokens, RetryAfterMs: milliseconds(loan.RetryAfter),
		})
	}
	return list
}

func loansFromProto(loans []*blproto.Loan) []blquota.Loan {
	list := make([]blquota.Loan, 0, len(loans))
	for _, loan := range loans {
		list = append(list, blquota.Loan{
			Account: blvalue.AccountName(loan.GetAccount()), Tokens: loan.GetTokens(),
			RetryAfter: duration(loan.GetRetryAfterMs()),
		})
	}
	return list
}

func milliseconds(d time.Duration) uint32 {
	return uint32(max(d.Milliseconds(), 0))
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
