package blvalue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotlead/core/blvalue"
)

func ExamplePartitionSet_With() {
	set := blvalue.NewPartitionSet(3)
	larger := set.With(70)
	fmt.Println(set.Len(), larger.Len(), larger.Has(70))
	// Output: 1 2 true
}

func ExampleFence_Less() {
	older := blvalue.Fence{Term: 3, Sequence: 90}
	fmt.Println(older.Less(blvalue.Fence{Term: 4, Sequence: 1}))
	// Output: true
}

func ExamplePartitionOf() {
	fmt.Println(blvalue.PartitionOf("awa", 64))
	// Output: 47
}

func TestPartitionSetMatchesMapModel(t *testing.T) {
	partitions := rapid.SliceOf(rapid.Uint16Range(0, 300))
	rapid.Check(t, func(t *rapid.T) {
		left, leftModel := newSetAndModel(partitions.Draw(t, "left"))
		right, rightModel := newSetAndModel(partitions.Draw(t, "right"))
		for p := range blvalue.Partition(301) {
			cases := map[string][2]bool{
				"union":     {left.Union(right).Has(p), leftModel[p] || rightModel[p]},
				"without":   {left.Without(right).Has(p), leftModel[p] && !rightModel[p]},
				"intersect": {left.Intersect(right).Has(p), leftModel[p] && rightModel[p]},
			}
			for name, c := range cases {
				if got, want := c[0], c[1]; got != want {
					t.Fatalf("%s has %d: got %t, want %t", name, p, got, want)
				}
			}
		}
		if got, want := left.Includes(right), right.Without(left).Len() == 0; got != want {
			t.Fatalf("Includes: got %t, want %t", got, want)
		}
		if !left.Union(right).Includes(left) {
			t.Fatal("union includes a part: got false, want true")
		}
		if got, want := left.Len(), len(leftModel); got != want {
			t.Fatalf("Len: got %d, want %d", got, want)
		}
	})
}

// newSetAndModel returns the set of the partitions with the given indices and
// the map that serves as its reference model.
func newSetAndModel(indices []uint16) (blvalue.PartitionSet, map[blvalue.Partition]bool) {
	var set blvalue.PartitionSet
	model := map[blvalue.Partition]bool{}
	for _, index := range indices {
		set = set.With(blvalue.Partition(index))
		model[blvalue.Partition(index)] = true
	}
	return set, model
}

// TestLatencyBucket guards against answers that are counted as faster or slower than their
// bucket says.
func TestLatencyBucket(t *testing.T) {
	cases := []struct {
		latency time.Duration
		want    int
	}{
		{-time.Millisecond, 0},
		{0, 0},
		{time.Millisecond - 1, 0},
		{time.Millisecond, 1},
		{2*time.Millisecond - 1, 1},
		{2 * time.Millisecond, 2},
		{127 * time.Millisecond, 7},
		{128 * time.Millisecond, 8},
		{time.Hour, blvalue.LatencyBuckets - 1},
	}
	for _, c := range cases {
		if got := blvalue.LatencyBucket(c.latency); got != c.want {
			t.Errorf("bucket of %v: got %d, want %d", c.latency, got, c.want)
		}
	}
}
