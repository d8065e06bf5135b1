package blassign_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const benchPartitions = 4096

func benchPlan() blconfig.Plan {
	return blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{
			"pot": {Name: "pot", Kind: blconfig.ServiceExclusive, Partitions: benchPartitions, Slots: 6},
		},
		Domains: map[blvalue.DomainName]blconfig.DomainState{"a": blconfig.DomainIn},
		Timing: blconfig.Timing{
			Heartbeat: 300 * time.Millisecond, GrantTTL: 900 * time.Millisecond, LeadLease: 500 * time.Millisecond,
			Freshness: 2 * time.Second, ClockMargin: 30 * time.Millisecond,
		},
	}
}

// harness runs a lead's ownership duty against nodes simulated in memory.
type harness struct {
	// absent lists the absent hosts that the latest write of a chunk named.
	absent []blassign.AbsentHolder

	state      blassign.State[blassign.LeastMoves]
	heartbeats []blassign.Heartbeat
	now        bltimer.Instant
	// maxGrantTTL is the longest grant of the previous configuration revision.
	maxGrantTTL time.Duration
}

func (h *harness) send(message blassign.Message) {
	var effects []blassign.Effect
	h.state, effects = h.state.Decide(message, h.now)
	for _, effect := range effects {
		switch e := effect.(type) {
		case blassign.LoadConfig:
			h.send(blassign.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: benchPlan()}.WithMaxGrantTTL(h.maxGrantTTL)})
		case blassign.LoadChunk:
			h.send(blassign.ChunkLoaded{Term: e.Term, ID: e.ID})
		case blassign.WriteChunk:
			chunk := e.Chunk
			chunk.Revision = e.Base + 1
			h.absent = chunk.Absent
			h.send(blassign.ChunkWritten{
				Term: chunk.Term, ID: e.ID, WriteID: chunk.WriteID, Outcome: blplatform.Written, Current: chunk,
			})
		case blassign.AnswerHeartbeat:
			e.Reply.Put(e.HeartbeatReply)
		}
	}
}

// sendHeartbeat sends one node's heartbeat and applies the lead's reply.
func (h *harness) sendHeartbeat(i int) {
	hb := &h.heartbeats[i]
	hb.Sequence++
	hb.Reply = blring.NewReply[blassign.HeartbeatReply]()
	h.send(*hb)
	reply, _ := hb.Reply.Poll()
	hb.ConfigRevision = max(hb.ConfigRevision, reply.ConfigRevision)
	if reply.Directory != nil {
		hb.Directory = reply.Directory.Version
	}
	for _, offer := range reply.Offers {
		held := blgrant.Held{Upstream: offer.Upstream, Incarnation: offer.Incarnation, Service: offer.Service, Fence: offer.Fence, HasSet: true}
		if offer.HasSet {
			held.Set = offer.Set
		} else if len(hb.Held) > 0 {
			held.Set = hb.Held[0].Set
		}
		hb.Held = []blgrant.Held{held}
	}
}

func newHarness(nodes int) *harness {
	h := &harness{state: blassign.New(blassign.LeastMoves{}), now: bltimer.Instant(time.Second)}
	h.send(blassign.AuthorityChanged{Authority: bllead.Authority{
		Term: 1, Until: bltimer.Instant(1000 * time.Hour), MayChange: true,
	}})
	for i := range nodes {
		h.heartbeats = append(h.heartbeats, blassign.Heartbeat{
			Node: blvalue.Host{
				Name: blvalue.HostName(fmt.Sprintf("host_%d", i)), Incarnation: blvalue.Incarnation(fmt.Sprintf("node_%d", i)),
				Domain: "a", Address: fmt.Sprintf("10.0.%d.%d:8001", i/256, i%256),
			},
			Upstreams: []blvalue.Upstream{{
				Name: blvalue.UpstreamName(fmt.Sprintf("pot_%d", i)), Service: "pot", Slots: 6,
				Incarnation: blvalue.Incarnation(fmt.Sprintf("upstream_%d", i)),
			}},
		})
	}
	for range 8 {
		for i := range h.heartbeats {
			h.sendHeartbeat(i)
		}
		h.now = h.now.Add(100 * time.Millisecond)
		h.send(blassign.Tick{})
	}
	return h
}

func benchmarkHeartbeat(b *testing.B, nodes int) {
	b.Helper()
	h := newHarness(nodes)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i%nodes == 0 {
			h.now = h.now.Add(300 * time.Millisecond)
		}
		h.sendHeartbeat(i % nodes)
		i++
	}
}

func BenchmarkHeartbeat3(b *testing.B)   { benchmarkHeartbeat(b, 3) }
func BenchmarkHeartbeat48(b *testing.B)  { benchmarkHeartbeat(b, 48) }
func BenchmarkHeartbeat240(b *testing.B) { benchmarkHeartbeat(b, 240) }

func benchmarkTick(b *testing.B, nodes int) {
	b.Helper()
	h := newHarness(nodes)
	b.ReportAllocs()
	for b.Loop() {
		h.now = h.now.Add(time.Microsecond)
		h.send(blassign.Tick{})
	}
}

func BenchmarkTick48(b *testing.B)  { benchmarkTick(b, 48) }
func BenchmarkTick240(b *testing.B) { benchmarkTick(b, 240) }
