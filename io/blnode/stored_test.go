package blnode

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/blstore"
)

// oddRevision is the revision of each entry of an oddStore.
const oddRevision = 71

// oddStore is a store in which another writer has replaced every entry.
type oddStore struct {
	blplatform.Store

	value string
}

func (s oddStore) Get(_ context.Context, key string) (blplatform.Entry, error) {
	return blplatform.Entry{Key: key, Value: []byte(s.value), Revision: oddRevision}, nil
}

func (s oddStore) CompareAndSwap(
	_ context.Context, key string, _ uint64, _ []byte, _ blplatform.LeaseID,
) (blplatform.Entry, error) {
	current, _ := s.Get(context.Background(), key)
	return current, blplatform.ConflictError{Current: current}
}

// TestUnreadableStoredRecordNamesNobody guards against an odd stored record because
// of which no process can become lead, or no upstream owner, until somebody removes
// it.
func TestUnreadableStoredRecordNamesNobody(t *testing.T) {
	t.Parallel()
	values := map[string]string{
		"bytes that can't be read":       "\xff\x00\x17",
		"truncated":                      `{"term":4,"lead":{"name":"host`,
		"number too large for its type":  `{"term":1e40}`,
		"term out of range":              `{"term":9007199254740993}`,
		"field of another type":          `{"term":"four","owners":7}`,
		"deeply nested":                  strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000),
		"deeply nested field of a chunk": `{"names":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `,"lead":7}`,
	}
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkUnreadableRecord(t, oddStore{value: value})
			checkUnreadableChunk(t, oddStore{value: value})
		})
	}
}

func checkUnreadableRecord(t *testing.T, odd oddStore) {
	t.Helper()
	store := leadStore{
		store: odd, keys: blstore.NewKeys("region"), clock: bltimer.NewSystem(), logger: hclog.NewNullLogger(),
		leaseTTL: func() time.Duration { return time.Second }, countCall: func(string) {},
	}
	read := store.readRecord()
	if read.Failed {
		t.Fatal("record: got a failure, want one that names nobody")
	}
	want := bllead.Stored{Record: bllead.Record{Term: oddRevision}, Revision: oddRevision}
	if read.Stored != want {
		t.Errorf("record: got %+v, want %+v", read.Stored, want)
	}
	if got := store.writeRecord(bllead.WriteRecord{}); got.Outcome != blplatform.Conflicted || got.Current != want {
		t.Errorf("record found by a write: got %s %+v, want %s %+v", got.Outcome, got.Current, blplatform.Conflicted, want)
	}
}

func checkUnreadableChunk(t *testing.T, odd oddStore) {
	t.Helper()
	store := assignStore{
		store: odd, keys: blstore.NewKeys("region"), logger: hclog.NewNullLogger(),
		leaseTTL: func() time.Duration { return time.Second }, countCall: func(string) {},
	}
	loaded := store.loadChunk(blassign.LoadChunk{ID: blassign.ChunkID{Service: "pot"}})
	if loaded.Failed || loaded.Chunk.Revision != oddRevision {
		t.Fatalf("chunk: got failure %t, revision %d, want revision %d", loaded.Failed, loaded.Chunk.Revision, oddRevision)
	}
	if got := len(loaded.Chunk.Owners); got != 0 {
		t.Errorf("owners: got %d, want none", got)
	}
	for p, previous := range loaded.Chunk.Previous {
		if previous == "" {
			t.Fatalf("earlier owner of partition %d: got none, want an unknown one", p)
		}
	}
	if got := len(loaded.Chunk.Previous); got != blassign.ChunkSize {
		t.Errorf("partitions with an earlier owner: got %d, want %d", got, blassign.ChunkSize)
	}
}
