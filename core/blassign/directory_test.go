package blassign

import (
	"slices"
	"testing"

	"bergamotlead/core/blvalue"
)

func TestDirectoryListsOnlyChangedOwners(t *testing.T) {
	before := []blvalue.UpstreamName{"b", "b", "b", "b"}
	cases := []struct {
		name      string
		after     []blvalue.UpstreamName
		positions []int
		ranges    int
	}{
		{"one owner changed", []blvalue.UpstreamName{"a", "b", "b", "b"}, []int{0}, 1},
		{"the same owners were written again", before, nil, 0},
		{"most owners changed", []blvalue.UpstreamName{"a", "a", "a", "b"}, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(LeastMoves{}).withService("pot", NewOwnership(len(before)))
			s = withStoredOwners(s, 1, before)
			have := DirectoryVersion{Version: s.version}
			s = withStoredOwners(s, 2, c.after)
			got := s.directorySince(have).Owners
			if len(got) != c.ranges {
				t.Fatalf("ranges of owners: got %d, want %d", len(got), c.ranges)
			}
			if c.ranges > 0 && !slices.Equal(got[0].Positions, c.positions) {
				t.Errorf("positions: got %v, want %v", got[0].Positions, c.positions)
			}
		})
	}
}

func withStoredOwners(s State[LeastMoves], revision uint64, owners []blvalue.UpstreamName) State[LeastMoves] {
	ownership, _ := s.services.Get("pot")
	return s.withStoredChunk(ChunkID{Service: "pot"}, ownership, Chunk{Revision: revision, Owners: owners})
}
