package blgrpc

import (
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
)

func resultsToProto(r blvalue.UpstreamResults) *blproto.UpstreamResults {
	results := &blproto.UpstreamResults{
		Upstream: string(r.Upstream), Incarnation: string(r.Incarnation), Service: string(r.Service), Version: r.Version,
		Order: r.Order, OrderAgeMs: uint64(max(r.OrderAge.Milliseconds(), 0)), Sent: r.Sent, Running: uint32(max(r.Running, 0)),
	}
	for _, class := range r.Classes {
		results.Classes = append(results.Classes, &blproto.ClassResults{
			Class: class.Class, Answered: class.Answered, Failed: class.Failed, Latency: withoutEmptyTail(class.Latency),
		})
	}
	return results
}

// withoutEmptyTail returns the buckets of a histogram up to the last one that counts any
// answer.
func withoutEmptyTail(latency [blvalue.LatencyBuckets]uint64) []uint64 {
	used := len(latency)
	for used > 0 && latency[used-1] == 0 {
		used--
	}
	return latency[:used]
}

func resultsFromProto(r *blproto.UpstreamResults) blvalue.UpstreamResults {
	results := blvalue.UpstreamResults{
		Upstream: blvalue.UpstreamName(r.GetUpstream()), Incarnation: blvalue.Incarnation(r.GetIncarnation()),
		Service: blvalue.ServiceName(r.GetService()), Version: r.GetVersion(), Order: r.GetOrder(),
		OrderAge: time.Duration(r.GetOrderAgeMs()) * time.Millisecond, Sent: r.GetSent(), Running: int(r.GetRunning()),
	}
	for _, class := range r.GetClasses() {
		decoded := blvalue.ClassResults{Class: class.GetClass(), Answered: class.GetAnswered(), Failed: class.GetFailed()}
		copy(decoded.Latency[:], class.GetLatency())
		results.Classes = append(results.Classes, decoded)
	}
	return results
}

// allowanceToProto encodes an allowance without the run of the node, which gets only its
// own.
func allowanceToProto(a blvalue.Allowance) *blproto.Allowance {
	return &blproto.Allowance{
		Incarnation: string(a.Incarnation), Order: a.Order, Unlimited: a.Unlimited, Requests: a.Requests, TtlMs: milliseconds(a.TTL),
	}
}

func allowanceFromProto(a *blproto.Allowance) blvalue.Allowance {
	return blvalue.Allowance{
		Incarnation: blvalue.Incarnation(a.GetIncarnation()), Order: a.GetOrder(), Unlimited: a.GetUnlimited(),
		Requests: a.GetRequests(), TTL: duration(a.GetTtlMs()),
	}
}
