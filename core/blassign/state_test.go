package blassign_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// holderCounts returns for each partition the number of nodes that were last
// granted it.
func (h *harness) holderCounts() map[blvalue.Partition]int {
	count := map[blvalue.Partition]int{}
	for _, hb := range h.heartbeats {
		for _, held := range hb.Held {
			for p := range held.Set.All() {
				count[p]++
			}
		}
	}
	return count
}

// checkHolders fails the test if several nodes hold a partition.
func (h *harness) checkHolders(t *testing.T) {
	t.Helper()
	for p, got := range h.holderCounts() {
		if got != 1 {
			t.Fatalf("holders of %d: got %d, want 1", p, got)
		}
	}
}

func TestEveryPartitionHasOneHolder(t *testing.T) {
	h := newHarness(6)
	count := h.holderCounts()
	for p := range blvalue.Partition(benchPartitions) {
		if got := count[p]; got != 1 {
			t.Fatalf("holders of %d: got %d, want 1", p, got)
		}
	}
}

func TestOwnershipFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, h *harness)
	}{
		{"a stale heartbeat releases nothing", func(t *testing.T, h *harness) {
			late := h.heartbeats[0]
			late.Upstreams = nil
			late.Sequence = 1
			h.sendHeartbeat(0)
			h.send(late)
			h.now = h.now.Add(100 * time.Millisecond)
			h.send(blassign.Tick{})
			for i := 1; i < len(h.heartbeats); i++ {
				h.sendHeartbeat(i)
			}
			h.checkHolders(t)
		}},
		{"a late heartbeat of an earlier incarnation releases nothing", func(t *testing.T, h *harness) {
			late := h.heartbeats[0]
			late.Node.Incarnation = "node_0_before"
			late.Upstreams = nil
			h.send(late)
			h.now = h.now.Add(100 * time.Millisecond)
			h.send(blassign.Tick{})
			for i := 1; i < len(h.heartbeats); i++ {
				h.sendHeartbeat(i)
			}
			h.checkHolders(t)
		}},
		{"nothing moves before a silent holder's grant has expired", func(t *testing.T, h *harness) {
			for range 8 {
				h.now = h.now.Add(100 * time.Millisecond)
				h.send(blassign.Tick{})
				for i := 1; i < len(h.heartbeats); i++ {
					h.sendHeartbeat(i)
				}
			}
			h.checkHolders(t)
		}},
		{"a lead without authority grants nothing", func(t *testing.T, h *harness) {
			h.send(blassign.AuthorityChanged{Authority: bllead.Authority{Term: 1, Until: h.now}})
			h.heartbeats[0].Held = nil
			h.sendHeartbeat(0)
			if got := len(h.heartbeats[0].Held); got != 0 {
				t.Errorf("grants without authority: got %d, want 0", got)
			}
		}},
		{"a new term discards the members of the old one", func(t *testing.T, h *harness) {
			h.send(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 2, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now,
			}})
			if got := len(h.state.Members()); got != 0 {
				t.Errorf("members in a new term: got %d, want 0", got)
			}
		}},
		{"until older grants have expired a lead grants only what is held", func(t *testing.T, h *harness) {
			chunks := storedChunks(h)
			newLead := &harness{state: blassign.New(blassign.LeastMoves{}), now: h.now, heartbeats: h.heartbeats}
			newLead.sendWithChunks(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 2, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now,
			}}, chunks)
			newLead.heartbeats[0].Held = nil
			newLead.sendHeartbeat(0)
			newLead.sendHeartbeat(1)
			if got := newLead.heartbeats[0].Held[0].Set.Len(); got != 0 {
				t.Errorf("granted to a node that held nothing: got %d, want 0", got)
			}
			if got := newLead.heartbeats[1].Held[0].Set.Len(); got == 0 {
				t.Error("granted to a node that held its partitions: got 0, want all of them")
			}
		}},
		{"a lead waits for the longest grant of the previous revision", func(t *testing.T, h *harness) {
			chunks := storedChunks(h)
			newLead := &harness{state: blassign.New(blassign.LeastMoves{}), now: h.now, heartbeats: h.heartbeats}
			newLead.maxGrantTTL = 1500 * time.Millisecond
			newLead.sendWithChunks(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 2, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now,
			}}, chunks)
			newLead.now = newLead.now.Add(1500 * time.Millisecond)
			newLead.heartbeats[0].Held = nil
			newLead.sendHeartbeat(0)
			if got := newLead.heartbeats[0].Held[0].Set.Len(); got != 0 {
				t.Errorf("granted while an earlier grant may be in use: got %d, want 0", got)
			}
			newLead.now = newLead.now.Add(30 * time.Millisecond)
			newLead.sendHeartbeat(0)
			if got := newLead.heartbeats[0].Held[0].Set.Len(); got == 0 {
				t.Error("granted after it has expired: got 0, want its partitions")
			}
		}},
		{"an earlier configuration is ignored", func(t *testing.T, h *harness) {
			later := h.state.Config()
			later.Revision = 9
			h.send(blassign.ConfigSeen{Accepted: later})
			later.Revision = 8
			h.send(blassign.ConfigSeen{Accepted: later})
			if got, want := h.state.Config().Revision, uint64(9); got != want {
				t.Errorf("revision: got %d, want %d", got, want)
			}
		}},
		{"a revision is in force once every node reports it", func(t *testing.T, h *harness) {
			later := h.state.Config()
			later.Revision = 9
			h.send(blassign.ConfigSeen{Accepted: later})
			h.now = h.now.Add(5 * time.Second)
			for i := range h.heartbeats {
				h.sendHeartbeat(i)
			}
			if h.state.InForce(9, h.now) {
				t.Error("in force before all nodes reported it: got true, want false")
			}
			for i := range h.heartbeats {
				h.sendHeartbeat(i)
			}
			if !h.state.InForce(9, h.now) {
				t.Error("in force after all nodes reported it: got false, want true")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newHarness(4)) })
	}
}

// storedChunks returns the assignment in its stored form.
func storedChunks(h *harness) map[int]blassign.Chunk {
	ownership, _ := h.state.Ownership("pot")
	owners := ownership.Owners()
	chunks := map[int]blassign.Chunk{}
	for first := 0; first < len(owners); first += blassign.ChunkSize {
		chunks[first/blassign.ChunkSize] = blassign.Chunk{
			Revision: 1, Term: 1, Owners: owners[first : first+blassign.ChunkSize], Absent: h.absent,
		}
	}
	return chunks
}

// sendWithChunks sends a message and then loads the given chunks.
func (h *harness) sendWithChunks(message blassign.Message, chunks map[int]blassign.Chunk) {
	h.send(message)
	for index, chunk := range chunks {
		h.send(blassign.ChunkLoaded{Term: 2, ID: blassign.ChunkID{Service: "pot", Index: index}, Chunk: chunk})
	}
}

// TestUnresolvedMoveIsNotRenewed checks that partitions are granted to no node
// while the answer to the write that moves them is lost.
func TestUnresolvedMoveIsNotRenewed(t *testing.T) {
	h := newHarness(3)
	before := h.state.Moves()
	var unresolved []blassign.WriteChunk
	joined := h.heartbeats[0]
	joined.Node = blvalue.Host{Name: "host_9", Incarnation: "node_9", Domain: "a", Address: "10.0.0.9:8001"}
	joined.Upstreams = []blvalue.Upstream{{Name: "pot_9", Service: "pot", Slots: 6, Incarnation: "upstream_9"}}
	joined.Held, joined.Directory = nil, blassign.DirectoryVersion{}
	h.heartbeats = append(h.heartbeats, joined)
	h.sendHeartbeat(3)
	h.now = h.now.Add(100 * time.Millisecond)
	var effects []blassign.Effect
	h.state, effects = h.state.Decide(blassign.Tick{}, h.now)
	for _, effect := range effects {
		if write, ok := effect.(blassign.WriteChunk); ok {
			unresolved = append(unresolved, write)
			h.send(blassign.ChunkWritten{Term: 1, ID: write.ID, WriteID: write.Chunk.WriteID, Outcome: blplatform.Unresolved})
		}
	}
	if len(unresolved) == 0 || h.state.Moves() == before {
		t.Fatal("moves after a join: got none, want some")
	}
	for i := range h.heartbeats {
		h.sendHeartbeat(i)
	}
	ownership, _ := h.state.Ownership("pot")
	old := ownership.Owners()
	holders := h.holderCounts()
	for _, write := range unresolved {
		for i, owner := range write.Chunk.Owners {
			p := blvalue.Partition(write.ID.Index*blassign.ChunkSize + i)
			if owner != old[p] && holders[p] != 0 {
				t.Fatalf("holders of %d, whose move is unresolved: got %d, want 0", p, holders[p])
			}
		}
	}
}
