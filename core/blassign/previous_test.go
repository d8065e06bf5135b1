package blassign

import (
	"testing"

	"bergamotlead/core/blvalue"
)

func TestMoveRecordsOwnerThatMayStillUsePartition(t *testing.T) {
	cases := []struct {
		name     string
		previous []blvalue.UpstreamName
		want     blvalue.UpstreamName
	}{
		{"the current owner has been granted the partition", nil, "b"},
		{"the current owner has not been granted the partition", []blvalue.UpstreamName{"a"}, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(LeastMoves{}).withService("pot", NewOwnership(1))
			ownership, _ := s.services.Get("pot")
			id := ChunkID{Service: "pot"}
			s = s.withStoredChunk(id, ownership, Chunk{
				Revision: 1, Owners: []blvalue.UpstreamName{"b"}, Previous: c.previous,
			})
			_, effect := s.withPending(id, []blvalue.UpstreamName{"c"})
			write, ok := effect.(WriteChunk)
			if !ok {
				t.Fatalf("effect: got %T, want WriteChunk", effect)
			}
			if got := write.Chunk.Previous[0]; got != c.want {
				t.Errorf("previous owner: got %q, want %q", got, c.want)
			}
		})
	}
}
