package blassign_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// holders returns for each partition how many nodes were last granted it.
func (r *region) holders() map[blvalue.Partition]int {
	count := map[blvalue.Partition]int{}
	for _, b := range r.beats {
		for _, held := range b.Held {
			for p := range held.Set.All() {
				count[p]++
			}
		}
	}
	return count
}

// checkHolders looks for a partition that several nodes hold.
func (r *region) checkHolders(t *testing.T) {
	t.Helper()
	for p, got := range r.holders() {
		if got != 1 {
			t.Fatalf("holders of %d: got %d, want 1", p, got)
		}
	}
}

func TestEveryPartitionHasOneHolder(t *testing.T) {
	r := newRegion(6)
	count := r.holders()
	for p := range blvalue.Partition(benchPartitions) {
		if got := count[p]; got != 1 {
			t.Fatalf("holders of %d: got %d, want 1", p, got)
		}
	}
}

func TestOwnershipFaults(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, r *region)
	}{
		{"a heartbeat that was overtaken releases nothing", func(t *testing.T, r *region) {
			late := r.beats[0]
			late.Upstreams = nil
			late.Sequence = 1
			r.beat(0)
			r.send(late)
			r.now = r.now.Add(100 * time.Millisecond)
			r.send(blassign.Tick{})
			for i := 1; i < len(r.beats); i++ {
				r.beat(i)
			}
			r.checkHolders(t)
		}},
		{"a late heartbeat of an earlier run releases nothing", func(t *testing.T, r *region) {
			late := r.beats[0]
			late.Node.Incarnation = "node_0_before"
			late.Upstreams = nil
			r.send(late)
			r.now = r.now.Add(100 * time.Millisecond)
			r.send(blassign.Tick{})
			for i := 1; i < len(r.beats); i++ {
				r.beat(i)
			}
			r.checkHolders(t)
		}},
		{"nothing moves before a silent holder's grant has lapsed", func(t *testing.T, r *region) {
			for range 8 {
				r.now = r.now.Add(100 * time.Millisecond)
				r.send(blassign.Tick{})
				for i := 1; i < len(r.beats); i++ {
					r.beat(i)
				}
			}
			r.checkHolders(t)
		}},
		{"a lead without authority answers nothing", func(t *testing.T, r *region) {
			r.send(blassign.AuthorityChanged{Authority: bllead.Authority{Term: 1, Until: r.now}})
			r.beats[0].Held = nil
			r.beat(0)
			if got := len(r.beats[0].Held); got != 0 {
				t.Errorf("grants without authority: got %d, want 0", got)
			}
		}},
		{"a new term forgets what the old one knew", func(t *testing.T, r *region) {
			r.send(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 2, Until: r.now.Add(time.Hour), MayChange: true, LapsedAt: r.now,
			}})
			if got := len(r.state.Members()); got != 0 {
				t.Errorf("members in a new term: got %d, want 0", got)
			}
		}},
		{"before it is settled a lead grants only what is held", func(t *testing.T, r *region) {
			chunks := chunksOf(r)
			fresh := &region{state: blassign.New(blassign.LeastMoves{}), now: r.now, beats: r.beats}
			fresh.sendWith(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 2, Until: r.now.Add(time.Hour), MayChange: true, LapsedAt: r.now,
			}}, chunks)
			fresh.beats[0].Held = nil
			fresh.beat(0)
			fresh.beat(1)
			if got := fresh.beats[0].Held[0].Set.Len(); got != 0 {
				t.Errorf("granted to a node that held nothing: got %d, want 0", got)
			}
			if got := fresh.beats[1].Held[0].Set.Len(); got == 0 {
				t.Error("granted to a node that held its partitions: got 0, want them all")
			}
		}},
		{"a lead waits for the longest grant of the revision before", func(t *testing.T, r *region) {
			chunks := chunksOf(r)
			fresh := &region{state: blassign.New(blassign.LeastMoves{}), now: r.now, beats: r.beats}
			fresh.bound = 1500 * time.Millisecond
			fresh.sendWith(blassign.AuthorityChanged{Authority: bllead.Authority{
				Term: 2, Until: r.now.Add(time.Hour), MayChange: true, LapsedAt: r.now,
			}}, chunks)
			fresh.now = fresh.now.Add(1500 * time.Millisecond)
			fresh.beats[0].Held = nil
			fresh.beat(0)
			if got := fresh.beats[0].Held[0].Set.Len(); got != 0 {
				t.Errorf("granted while an earlier grant may run: got %d, want 0", got)
			}
			fresh.now = fresh.now.Add(30 * time.Millisecond)
			fresh.beat(0)
			if got := fresh.beats[0].Held[0].Set.Len(); got == 0 {
				t.Error("granted afterwards: got 0, want its partitions")
			}
		}},
		{"an earlier configuration is ignored", func(t *testing.T, r *region) {
			later := r.state.Config()
			later.Revision = 9
			r.send(blassign.ConfigSeen{Accepted: later})
			later.Revision = 8
			r.send(blassign.ConfigSeen{Accepted: later})
			if got, want := r.state.Config().Revision, uint64(9); got != want {
				t.Errorf("revision: got %d, want %d", got, want)
			}
		}},
		{"in force only when every node has it", func(t *testing.T, r *region) {
			later := r.state.Config()
			later.Revision = 9
			r.send(blassign.ConfigSeen{Accepted: later})
			r.now = r.now.Add(5 * time.Second)
			for i := range r.beats {
				r.beat(i)
			}
			if r.state.InForce(9, r.now) {
				t.Error("in force before the nodes reported it: got true, want false")
			}
			for i := range r.beats {
				r.beat(i)
			}
			if !r.state.InForce(9, r.now) {
				t.Error("in force after the nodes reported it: got false, want true")
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, newRegion(4)) })
	}
}

// chunksOf returns the assignment as the store holds it.
func chunksOf(r *region) map[int]blassign.Chunk {
	ownership, _ := r.state.Ownership("pot")
	owners := ownership.Owners()
	chunks := map[int]blassign.Chunk{}
	for first := 0; first < len(owners); first += blassign.ChunkSize {
		chunks[first/blassign.ChunkSize] = blassign.Chunk{
			Revision: 1, Term: 1, Owners: owners[first : first+blassign.ChunkSize],
		}
	}
	return chunks
}

// sendWith sends a message and answers loads from the given chunks.
func (r *region) sendWith(message blassign.Message, chunks map[int]blassign.Chunk) {
	r.send(message)
	for index, chunk := range chunks {
		r.send(blassign.ChunkLoaded{Term: 2, ID: blassign.ChunkID{Service: "pot", Index: index}, Chunk: chunk})
	}
}

// TestUnresolvedMoveIsRenewedForNobody loses the answers of every write.
func TestUnresolvedMoveIsRenewedForNobody(t *testing.T) {
	r := newRegion(3)
	before := r.state.Moves()
	var doubtful []blassign.WriteChunk
	joined := r.beats[0]
	joined.Node = blvalue.Host{Name: "host_9", Incarnation: "node_9", Domain: "a", Address: "10.0.0.9:8001"}
	joined.Upstreams = []blvalue.Upstream{{Name: "pot_9", Service: "pot", Slots: 6, Incarnation: "upstream_9"}}
	joined.Held, joined.Directory = nil, blassign.DirectoryVersion{}
	r.beats = append(r.beats, joined)
	r.beat(3)
	r.now = r.now.Add(100 * time.Millisecond)
	var effects []blassign.Effect
	r.state, effects = r.state.Decide(blassign.Tick{}, r.now)
	for _, effect := range effects {
		if write, ok := effect.(blassign.WriteChunk); ok {
			doubtful = append(doubtful, write)
			r.send(blassign.ChunkWritten{Term: 1, ID: write.ID, WriteID: write.Chunk.WriteID, Outcome: blplatform.Unresolved})
		}
	}
	if len(doubtful) == 0 || r.state.Moves() == before {
		t.Fatal("moves after a join: got none, want some")
	}
	for i := range r.beats {
		r.beat(i)
	}
	ownership, _ := r.state.Ownership("pot")
	old := ownership.Owners()
	holders := r.holders()
	for _, write := range doubtful {
		for i, owner := range write.Chunk.Owners {
			p := blvalue.Partition(write.ID.Index*blassign.ChunkSize + i)
			if owner != old[p] && holders[p] != 0 {
				t.Fatalf("holders of %d, whose move is in doubt: got %d, want 0", p, holders[p])
			}
		}
	}
}

func names(count int) []blassign.Candidate {
	candidates := make([]blassign.Candidate, 0, count)
	for i := range count {
		candidates = append(candidates, blassign.Candidate{Name: blvalue.UpstreamName(fmt.Sprintf("pot_%02d", i)), Weight: 6})
	}
	return candidates
}

func policies() map[string]blassign.Policy {
	return map[string]blassign.Policy{
		"modulo": blassign.Modulo{}, "rendezvous": blassign.Rendezvous{},
		"bounded rendezvous": blassign.BoundedRendezvous{}, "least moves": blassign.LeastMoves{},
	}
}

func moved(before, after []blvalue.UpstreamName) int {
	count := 0
	for i := range before {
		if before[i] != after[i] {
			count++
		}
	}
	return count
}

func imbalance(owners []blvalue.UpstreamName, candidates []blassign.Candidate) float64 {
	counts := map[blvalue.UpstreamName]int{}
	most := 0
	for _, owner := range owners {
		counts[owner]++
		most = max(most, counts[owner])
	}
	return float64(most) * float64(len(candidates)) / float64(len(owners))
}

// TestPoliciesPlaceEveryPartition holds every policy to what all must do, and
// the one in use to the least churn that even shares allow.
func TestPoliciesPlaceEveryPartition(t *testing.T) {
	const partitions = 128
	for name, policy := range policies() {
		t.Run(name, func(t *testing.T) {
			seven, eight, six := names(7), names(8), names(6)
			first := policy.Place(make([]blvalue.UpstreamName, partitions), seven)
			for i, owner := range first {
				if owner == "" {
					t.Fatalf("owner of %d: got none, want one", i)
				}
			}
			if again := policy.Place(first, seven); moved(first, again) != 0 {
				t.Errorf("moves when nothing changed: got %d, want 0", moved(first, again))
			}
			join, leave := policy.Place(first, eight), policy.Place(first, six)
			t.Logf("imbalance %.3f, moved by a join %d of %d (least %d), by a leave %d (least %d)",
				imbalance(first, seven), moved(first, join), partitions, partitions/8, moved(first, leave), partitions/7)
			if name == "least moves" && moved(first, join) > partitions/8 {
				t.Errorf("moves by a join: got %d, want at most %d", moved(first, join), partitions/8)
			}
			if name == "least moves" && moved(first, leave) > partitions/7+1 {
				t.Errorf("moves by a leave: got %d, want at most %d", moved(first, leave), partitions/7+1)
			}
		})
	}
}
