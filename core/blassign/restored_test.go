package blassign_test

import (
	"slices"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// chunkStore keeps the chunks that a lead writes, as a store in the given era does.
type chunkStore struct {
	era    blplatform.Era
	number uint64
	chunks map[blassign.ChunkID]blassign.Chunk
	again  int
	// conflicts counts the writes that met another chunk than expected.
	conflicts int
}

func (c *chunkStore) reported(id blassign.ChunkID) blassign.Chunk {
	chunk := c.chunks[id]
	chunk.Revision = blplatform.NewRevision(c.era, chunk.Revision)
	return chunk
}

// perform carries out a call to the store and returns its result, or nil.
func (c *chunkStore) perform(effect blassign.Effect) blassign.Message {
	switch e := effect.(type) {
	case blassign.LoadChunk:
		return blassign.ChunkLoaded{Term: e.Term, ID: e.ID, Chunk: c.reported(e.ID)}
	case blassign.WriteChunk:
		result := blassign.ChunkWritten{Term: e.Chunk.Term, ID: e.ID, WriteID: e.Chunk.WriteID, Outcome: blplatform.Conflicted}
		if c.chunks[e.ID].Revision == blplatform.RevisionNumber(e.Base) {
			c.number++
			chunk := e.Chunk
			chunk.Revision = c.number
			c.chunks[e.ID], result.Outcome = chunk, blplatform.Written
			if e.Again {
				c.again++
			}
		} else {
			c.conflicts++
		}
		result.Current = c.reported(e.ID)
		return result
	}
	return nil
}

// run sends messages to a lead and performs its calls to the store.
func (c *chunkStore) run(h *harness, message blassign.Message) {
	next, effects := h.state.Decide(message, h.now)
	h.state = next
	for _, effect := range effects {
		if result := c.perform(effect); result != nil {
			c.run(h, result)
		}
	}
}

func authorityIn(term uint64, era blplatform.Era, h *harness) blassign.AuthorityChanged {
	return blassign.AuthorityChanged{Authority: bllead.Authority{
		Term: term, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now, Era: era,
	}}
}

// TestLeadWritesItsChunksAgainAfterRestore guards against a lead that takes the owners
// of a restored chunk for the present ones, although it knows later ones. It writes those
// again, whatever the store holds, and until then moves nothing.
func TestLeadWritesItsChunksAgainAfterRestore(t *testing.T) {
	cases := []struct {
		name string
		// lost changes the chunks to what the restored store holds.
		lost func(c *chunkStore)
		// conflict is whether a write of the lead meets the restored chunk before the
		// lead knows of the new era.
		conflict bool
	}{
		{"all chunks lost", func(c *chunkStore) { clear(c.chunks) }, false},
		{"owners of an earlier write", func(c *chunkStore) { c.withOwners("earlier") }, false},
		{"a write conflicts with the earlier one", func(c *chunkStore) { c.withOwners("earlier") }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(4)
			store := &chunkStore{number: 100, chunks: map[blassign.ChunkID]blassign.Chunk{}}
			ownership, _ := h.state.Ownership("pot")
			owners := ownership.Owners()
			for index := range (len(owners) + blassign.ChunkSize - 1) / blassign.ChunkSize {
				store.chunks[blassign.ChunkID{Service: "pot", Index: index}] = blassign.Chunk{Revision: 1}
			}
			c.lost(store)
			store.era = 1
			if c.conflict {
				h.heartbeats[0].Leaving = true
				h.sendHeartbeatQuietly(0)
				h.now = h.now.Add(100 * time.Millisecond)
				if store.run(h, blassign.Tick{}); store.conflicts == 0 {
					t.Fatal("writes that met the restored chunk: got 0, want some")
				}
				h.heartbeats[0].Leaving = false
				h.sendHeartbeatQuietly(0)
			}
			store.run(h, authorityIn(1, 1, h))
			for range 8 {
				h.now = h.now.Add(2 * time.Second / 10)
				store.run(h, blassign.Tick{})
			}
			if store.again == 0 {
				t.Error("chunks written again: got 0, want all")
			}
			for id, chunk := range store.chunks {
				first := id.Index * blassign.ChunkSize
				if want := owners[first : first+len(chunk.Owners)]; chunk.Era != 1 || !slices.Equal(chunk.Owners, want) {
					t.Errorf("chunk %d: got era %d with other owners or none, want era 1 and the lead's owners", id.Index, chunk.Era)
				}
			}
		})
	}
}

// withOwners replaces each chunk by one that gives all its partitions to one owner.
func (c *chunkStore) withOwners(owner blvalue.UpstreamName) {
	for id := range c.chunks {
		c.chunks[id] = blassign.Chunk{
			Revision: 3, Term: 1, WriteID: "earlier", Owners: slices.Repeat([]blvalue.UpstreamName{owner}, blassign.ChunkSize),
		}
	}
}

// sendHeartbeatQuietly sends a heartbeat and drops the answer.
func (h *harness) sendHeartbeatQuietly(i int) {
	h.heartbeats[i].Sequence++
	h.state, _ = h.state.Decide(h.heartbeats[i], h.now)
}

// TestRestoredChunkGivesNoQuickGrant guards against grants to the owners of a restored
// chunk while the holders of the lost moves still use the partitions.
func TestRestoredChunkGivesNoQuickGrant(t *testing.T) {
	cases := []struct {
		name string
		era  blplatform.Era
		want bool
	}{
		{"written in the present era", 1, true},
		{"written in an earlier era", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(4)
			chunks := storedChunks(h)
			for index, chunk := range chunks {
				chunk.Era, chunk.WriteID, chunk.Revision = c.era, "earlier", blplatform.NewRevision(1, 1)
				chunks[index] = chunk
			}
			lead := &harness{state: blassign.New(blassign.LeastMoves{}), now: h.now, heartbeats: h.heartbeats}
			lead.sendWithChunks(authorityIn(2, 1, lead), chunks)
			lead.heartbeats[0].Held = nil
			lead.heartbeats[0].Upstreams = slices.Clone(lead.heartbeats[0].Upstreams)
			lead.heartbeats[0].Upstreams[0].KeepsGrants = true
			lead.sendHeartbeat(0)
			if got := lead.heartbeats[0].Held[0].Set.Len() > 0; got != c.want {
				t.Errorf("granted before earlier grants have expired: got %t, want %t", got, c.want)
			}
		})
	}
}
