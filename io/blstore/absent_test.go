package blstore_test

import (
	"testing"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blstore"
)

// TestChunkKeepsAbsentHosts guards against a next lead that doesn't know which hosts may
// hold partitions of the chunk.
func TestChunkKeepsAbsentHosts(t *testing.T) {
	want := blassign.AbsentHolder{
		Host:     blvalue.Host{Name: "host_a", Incarnation: "run_1", Domain: "domain_a", Address: "10.0.0.1:7000", Capacity: 32},
		Upstream: "pot_a", Set: blvalue.NewPartitionSet(0, 63, 64, 4095),
	}
	value, err := blstore.EncodeChunk(blassign.Chunk{Term: 3, WriteID: "3.1", Absent: []blassign.AbsentHolder{want}})
	if err != nil {
		t.Fatal(err)
	}
	chunk, err := blstore.DecodeChunk(blplatform.Entry{Key: "chunk", Value: value, Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	if got := len(chunk.Absent); got != 1 {
		t.Fatalf("absent hosts: got %d, want 1", got)
	}
	got := chunk.Absent[0]
	if got.Host != want.Host || got.Upstream != want.Upstream || !got.Set.Equal(want.Set) {
		t.Errorf("absent host: got %v, want %v", got, want)
	}
}
