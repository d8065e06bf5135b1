package blgrpc

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blvalue"
)

// TestControlTrafficOfANode guards against control traffic of a node that exceeds
// the target of targetBytes per second, in a region of 240 nodes with 4,096
// partitions at 3.3 heartbeats a second.
func TestControlTrafficOfANode(t *testing.T) {
	const (
		targetBytes         = 4096
		heartbeatsPerSecond = 10.0 / 3
		// framingBytes is the overhead of HTTP/2 and gRPC for a call, in both
		// directions, once their header tables are filled.
		framingBytes = 160
	)
	node := blvalue.Host{
		Name: "host_240", Incarnation: "123e4567-e89b-12d3-a456-426614174000", Domain: "sn_west_a", Address: "10.11.12.13:8001",
	}
	upstream := blvalue.Upstream{
		Name: "pot_240", Incarnation: "123e4567-e89b-12d3-a456-426614174001", Service: "pot", Slots: 6,
	}
	fence := blvalue.Fence{Term: 12, Sequence: 4000}
	request := heartbeatToProto(blassign.Heartbeat{
		Node: node, Sequence: 100000, Upstreams: []blvalue.Upstream{upstream}, ConfigRevision: 40000,
		Directory: blassign.DirectoryVersion{Term: 12, Version: 5000},
		Held: []blgrant.Held{{
			Upstream: upstream.Name, Incarnation: upstream.Incarnation, Service: "pot", Fence: fence,
		}},
	})
	reply := replyToProto(blassign.HeartbeatReply{Term: 12, Standby: node, Offers: []blgrant.Offer{{
		Upstream: upstream.Name, Incarnation: upstream.Incarnation, Service: "pot", Fence: fence, TTL: 900e6,
	}}})
	got := heartbeatsPerSecond * float64(proto.Size(request)+proto.Size(reply)+framingBytes)
	t.Logf("heartbeat %d bytes, reply %d bytes, %.0f bytes per second", proto.Size(request), proto.Size(reply), got)
	if got > targetBytes {
		t.Errorf("control traffic in bytes per second: got %.0f, want at most %d", got, targetBytes)
	}
}
