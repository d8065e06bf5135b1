package blnode

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blstore"
)

// oneKeyStore is a store with a single key.
type oneKeyStore struct {
	blplatform.Store

	entry  blplatform.Entry
	writes int
}

func (s *oneKeyStore) Get(context.Context, string) (blplatform.Entry, error) { return s.entry, nil }

func (s *oneKeyStore) CompareAndSwap(
	_ context.Context, key string, revision uint64, value []byte, _ blplatform.LeaseID,
) (blplatform.Entry, error) {
	if s.entry.Revision != revision {
		return s.entry, blplatform.ConflictError{Current: s.entry}
	}
	s.writes++
	s.entry = blplatform.Entry{Key: key, Value: value, Revision: revision + 1}
	return s.entry, nil
}

// storedDocument returns an entry with a document whose change replaced base.
func storedDocument(t *testing.T, revision, base uint64, text string) blplatform.Entry {
	t.Helper()
	value, err := blstore.EncodeConfig(blstore.StoredConfig{Document: text, History: []blstore.PastChange{{BaseRevision: base}}})
	if err != nil {
		t.Fatalf("encode configuration: %v", err)
	}
	return blplatform.Entry{Key: blstore.ConfigKey, Value: value, Revision: revision}
}

// TestDocumentLostInARestoreIsWrittenAgain guards against a return to an earlier
// document after a restore, and against one that replaces a later change.
func TestDocumentLostInARestoreIsWrittenAgain(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "configs", "dakar.toml"))
	if err != nil {
		t.Fatalf("read document: %v", err)
	}
	text := string(raw)
	restored := blplatform.NewRevision(1, 3)
	cases := []struct {
		name         string
		entry        blplatform.Entry
		known        uint64
		want, writes uint64
	}{
		{"same", storedDocument(t, 6, 4, text), 5, 5, 0},
		{"later in the store", storedDocument(t, 9, 6, text), 5, 7, 0},
		{"older copy", storedDocument(t, restored, 1, text), 5, 5, 1},
		{"changed after the restore", storedDocument(t, restored+2, restored, text), 5, restored + 1, 0},
		{"nothing known", storedDocument(t, restored, 1, text), 0, 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &oneKeyStore{entry: c.entry}
			known, err := documentSource{}.Decode(6, []byte(newAccepted(6, c.known, blconfig.Document{}, text).Source))
			if err != nil || known.Version != c.known {
				t.Fatalf("decode: got version %d, %v, want %d", known.Version, err, c.known)
			}
			source := documentSource{store: store}.withKnown(func() blconfig.Accepted { return known })
			got, err := source.Load(t.Context())
			if err != nil || got.Version != c.want || got.Revision != store.entry.Revision {
				t.Errorf("configuration: got version %d at %d, %v, want %d at %d", got.Version, got.Revision, err, c.want, store.entry.Revision)
			}
			if _, err := source.Load(t.Context()); err != nil || uint64(store.writes) != c.writes {
				t.Errorf("writes: got %d, %v, want %d", store.writes, err, c.writes)
			}
		})
	}
}
