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
			Freshness: 2 * time.Second, Margin: 30 * time.Millisecond,
		},
	}
}

// region is a lead's ownership duty with nodes in memory.
type region struct {
	state blassign.State[blassign.LeastMoves]
	beats []blassign.Heartbeat
	now   bltimer.Instant
	// bound is the longest grant of the revision before.
	bound time.Duration
}

func (r *region) send(message blassign.Message) {
	var effects []blassign.Effect
	r.state, effects = r.state.Decide(message, r.now)
	for _, effect := range effects {
		switch e := effect.(type) {
		case blassign.LoadConfig:
			r.send(blassign.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: benchPlan()}.WithGrantBound(r.bound)})
		case blassign.LoadChunk:
			r.send(blassign.ChunkLoaded{Term: e.Term, ID: e.ID})
		case blassign.WriteChunk:
			chunk := e.Chunk
			chunk.Revision = e.Base + 1
			r.send(blassign.ChunkWritten{
				Term: 1, ID: e.ID, WriteID: chunk.WriteID, Outcome: blplatform.Written, Current: chunk,
			})
		case blassign.Answer:
			e.Reply.Put(e.HeartbeatReply)
		}
	}
}

// beat sends one node's heartbeat and takes what the lead answers.
func (r *region) beat(i int) {
	b := &r.beats[i]
	b.Sequence++
	b.Reply = blring.NewReply[blassign.HeartbeatReply]()
	r.send(*b)
	reply, _ := b.Reply.Await(closed())
	if reply.Config != nil {
		b.ConfigRevision = reply.Config.Revision
	}
	if reply.Directory != nil {
		b.Directory = reply.Directory.Version
	}
	for _, offer := range reply.Offers {
		held := blgrant.Held{Upstream: offer.Upstream, Incarnation: offer.Incarnation, Service: offer.Service, Fence: offer.Fence, HasSet: true}
		if offer.HasSet {
			held.Set = offer.Set
		} else if len(b.Held) > 0 {
			held.Set = b.Held[0].Set
		}
		b.Held = []blgrant.Held{held}
	}
}

func newRegion(nodes int) *region {
	r := &region{state: blassign.New(blassign.LeastMoves{}), now: bltimer.Instant(time.Second)}
	r.send(blassign.AuthorityChanged{Authority: bllead.Authority{
		Term: 1, Until: bltimer.Instant(1000 * time.Hour), MayChange: true,
	}})
	for i := range nodes {
		r.beats = append(r.beats, blassign.Heartbeat{
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
		for i := range r.beats {
			r.beat(i)
		}
		r.now = r.now.Add(100 * time.Millisecond)
		r.send(blassign.Tick{})
	}
	return r
}

func benchmarkHeartbeat(b *testing.B, nodes int) {
	b.Helper()
	r := newRegion(nodes)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i%nodes == 0 {
			r.now = r.now.Add(300 * time.Millisecond)
		}
		r.beat(i % nodes)
		i++
	}
}

func BenchmarkHeartbeat3(b *testing.B)   { benchmarkHeartbeat(b, 3) }
func BenchmarkHeartbeat48(b *testing.B)  { benchmarkHeartbeat(b, 48) }
func BenchmarkHeartbeat240(b *testing.B) { benchmarkHeartbeat(b, 240) }

func benchmarkTick(b *testing.B, nodes int) {
	b.Helper()
	r := newRegion(nodes)
	b.ReportAllocs()
	for b.Loop() {
		r.now = r.now.Add(time.Microsecond)
		r.send(blassign.Tick{})
	}
}

func BenchmarkTick48(b *testing.B)  { benchmarkTick(b, 48) }
func BenchmarkTick240(b *testing.B) { benchmarkTick(b, 240) }
