package blstore

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"bergamotlead/core/blplatform"
)

// newEraClient returns a client of a store that answers every call with the same
// entry, in the era that era points to, and counts the writes.
func newEraClient(t *testing.T, era *uint64, writes *int) *Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			*writes++
		}
		w.Header().Set(eraHeader, strconv.FormatUint(*era, 10))
		_, _ = w.Write([]byte(`{"value":"bm93","revision":5}`))
	}))
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"))
}

// TestRevisionsRiseAcrossEras guards against readers that take what a restored store
// returns for older than what they know, because its revisions begin anew.
func TestRevisionsRiseAcrossEras(t *testing.T) {
	era, writes := uint64(0), 0
	client := newEraClient(t, &era, &writes)
	last := uint64(0)
	for ; era < 3; era++ {
		entry, err := client.Get(t.Context(), "key")
		if err != nil {
			t.Fatalf("Get in era %d: got %v, want nil", era, err)
		}
		if entry.Revision <= last || blplatform.RevisionNumber(entry.Revision) != 5 {
			t.Errorf("revision in era %d: got %d, want number 5 and later than %d", era, entry.Revision, last)
		}
		last = entry.Revision
	}
}

// TestSwapFromAnEarlierEraIsNotSent guards against a write whose expected revision
// stands for another value in a restored store.
func TestSwapFromAnEarlierEraIsNotSent(t *testing.T) {
	era, writes := uint64(1), 0
	client := newEraClient(t, &era, &writes)
	before, err := client.Get(t.Context(), "key")
	if err != nil {
		t.Fatalf("Get: got %v, want nil", err)
	}
	era = 2
	current, err := client.Watch(t.Context(), "key", before.Revision)
	if err != nil {
		t.Fatalf("Watch: got %v, want nil", err)
	}
	_, err = client.CompareAndSwap(t.Context(), "key", before.Revision, []byte("mine"), "")
	var conflict blplatform.ConflictError
	if !errors.As(err, &conflict) || conflict.Current.Revision != current.Revision || writes != 0 {
		t.Errorf("swap from era 1: got %v after %d writes, want a conflict with revision %d after none", err, writes, current.Revision)
	}
	if _, err = client.CompareAndSwap(t.Context(), "key", current.Revision, []byte("mine"), ""); err != nil || writes != 1 {
		t.Errorf("swap from era 2: got %v after %d writes, want success after 1", err, writes)
	}
}
