package blgrpc

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blgrant"
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
		Version: u.Version,
	}
}

func upstreamFromProto(u *blproto.Upstream) blvalue.Upstream {
	return blvalue.Upstream{
		Name: blvalue.UpstreamName(u.GetName()), Incarnation: blvalue.Incarnation(u.GetIncarnation()),
		Service: blvalue.ServiceName(u.GetService()), Slots: int(u.GetSlots()),
		ChecksFence: u.GetChecksFence(), Leaving: u.GetLeaving(), KeepsGrants: u.GetKeepsGrants(), Cold: u.GetCold(), StartedAt: u.GetBorn(),
		Version: u.GetVersion(),
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
		ConfigDigest: h.ConfigDigest, ConfigVersion: h.ConfigVersion, Reclaiming: h.Reclaiming,
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
	for _, results := range h.Results {
		request.Results = append(request.Results, resultsToProto(results))
	}
	return request
}

func heartbeatFromProto(r *blproto.HeartbeatRequest) blassign.Heartbeat {
	heartbeat := blassign.Heartbeat{
		Node: hostFromProto(r.GetNode()), Sequence: r.GetSequence(), ConfigRevision: r.GetConfigRevision(), Leaving: r.GetLeaving(),
		Directory:   blassign.DirectoryVersion{Term: r.GetDirectory().GetTerm(), Version: r.GetDirectory().GetVersion()},
		WantsConfig: r.GetWantsConfig(), ConfigDigest: r.GetConfigDigest(), ConfigVersion: r.GetConfigVersion(),
		Reclaiming: r.GetReclaiming(),
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
	for _, results := range r.GetResults() {
		heartbeat.Results = append(heartbeat.Results, resultsFromProto(results))
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
			HasSet: offer.HasSet, Partitions: offer.Set.Words(), Handovers: handoversToProto(offer.Handovers), Withheld: offer.Withheld,
		})
	}
	for _, allowance := range r.Allowances {
		reply.Allowances = append(reply.Allowances, allowanceToProto(allowance))
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
			Withheld: offer.GetWithheld(),
		})
	}
	for _, allowance := range r.GetAllowances() {
		reply.Allowances = append(reply.Allowances, allowanceFromProto(allowance))
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

func milliseconds(d time.Duration) uint32 {
	return uint32(max(d.Milliseconds(), 0))
}

func duration(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
