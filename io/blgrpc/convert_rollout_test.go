package blgrpc

import (
	"reflect"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

// TestRolloutsCrossTheWire guards against a roll-out whose lead sees no version or no
// results, or whose nodes see no allowance or no held upstream.
func TestRolloutsCrossTheWire(t *testing.T) {
	upstream := blvalue.Upstream{Name: "host_1", Incarnation: "i-1", Service: "pot", Version: "v2"}
	results := blvalue.UpstreamResults{
		Upstream: "host_1", Incarnation: "i-1", Service: "pot", Version: "v2", Order: 30, OrderAge: 70 * 24 * time.Hour, Sent: 9, Running: 2,
		Classes: []blvalue.ClassResults{
			{Class: "view", Answered: 7, Failed: 3, Latency: [blvalue.LatencyBuckets]uint64{0, 2, 0, 5}},
			{Class: "chip", Answered: 1, Latency: [blvalue.LatencyBuckets]uint64{blvalue.LatencyBuckets - 1: 1}},
			{Class: "none"},
		},
	}
	heartbeat := heartbeatFromProto(heartbeatToProto(blassign.Heartbeat{
		Upstreams: []blvalue.Upstream{upstream}, Results: []blvalue.UpstreamResults{results},
	}))
	if got := heartbeat.Upstreams[0]; got != upstream {
		t.Errorf("upstream: got %+v, want %+v", got, upstream)
	}
	if got := heartbeat.Results; len(got) != 1 || !reflect.DeepEqual(got[0], results) {
		t.Errorf("results: got %+v, want %+v", got, results)
	}
	limited := blvalue.Allowance{Incarnation: "i-1", Node: "n-1", Order: 30, Requests: 12, TTL: 1500 * time.Millisecond}
	unlimited := blvalue.Allowance{Incarnation: "i-2", Node: "n-1", Order: 30, Unlimited: true}
	directory := &blassign.Directory{Entries: []blassign.Entry{{Upstream: upstream, Held: true}, {Upstream: upstream}}}
	reply := replyFromProto(replyToProto(blassign.HeartbeatReply{
		Term: 4, Allowances: []blvalue.Allowance{limited, unlimited}, Directory: directory,
	}))
	limited.Node, unlimited.Node = "", ""
	if got, want := reply.Allowances, []blvalue.Allowance{limited, unlimited}; !reflect.DeepEqual(got, want) {
		t.Errorf("allowances: got %+v, want %+v", got, want)
	}
	if got := reply.Directory.Entries; !got[0].Held || got[1].Held {
		t.Errorf("held: got %t and %t, want the first alone", got[0].Held, got[1].Held)
	}
}
