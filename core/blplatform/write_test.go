package blplatform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"bergamotlead/core/blplatform"
)

// response selects how the fake store handles one write.
type response int

const (
	accept response = iota
	acceptAndLoseAnswer
	loseWrite
	refuse
)

// fakeStore handles writes according to a script, and accepts those beyond its end.
type fakeStore struct {
	blplatform.Store

	entry  blplatform.Entry
	script []response
	writes int
}

func (f *fakeStore) CompareAndSwap(
	_ context.Context, key string, revision uint64, value []byte, _ blplatform.LeaseID,
) (blplatform.Entry, error) {
	act := accept
	if f.writes < len(f.script) {
		act = f.script[f.writes]
	}
	f.writes++
	switch act {
	case refuse:
		return blplatform.Entry{}, blplatform.UnavailableError{Cause: errors.New("down")}
	case loseWrite:
		return blplatform.Entry{}, blplatform.UnknownOutcomeError{Cause: errors.New("no answer")}
	case accept, acceptAndLoseAnswer:
	}
	if f.entry.Revision != revision {
		return f.entry, blplatform.ConflictError{Current: f.entry}
	}
	f.entry = blplatform.Entry{Key: key, Value: value, Revision: revision + 1}
	if act == acceptAndLoseAnswer {
		return blplatform.Entry{}, blplatform.UnknownOutcomeError{Cause: errors.New("no answer")}
	}
	return f.entry, nil
}

func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name   string
		stored uint64
		script []response
		want   blplatform.Outcome
	}{
		{"taken", 0, nil, blplatform.Written},
		{"answer lost after the write", 0, []response{acceptAndLoseAnswer}, blplatform.Written},
		{"write lost", 0, []response{loseWrite}, blplatform.Written},
		{"write lost, then store down temporarily", 0, []response{loseWrite, refuse, refuse}, blplatform.Written},
		{"store down", 0, []response{refuse}, blplatform.NotSent},
		{"another value stored", 5, nil, blplatform.Conflicted},
		{"another value stored, found after a lost answer", 5, []response{loseWrite}, blplatform.Conflicted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{script: c.script}
			if c.stored > 0 {
				store.entry = blplatform.Entry{Key: "k", Value: []byte("other"), Revision: c.stored}
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			result, err := blplatform.Write(ctx, store, "k", 0, []byte("mine"))
			if result.Outcome != c.want || (err == nil) != (c.want == blplatform.Written) {
				t.Errorf("outcome: got %s, %v, want %s", result.Outcome, err, c.want)
			}
		})
	}
}

func TestUnansweredWriteStaysUnresolved(t *testing.T) {
	store := &fakeStore{script: make([]response, 1<<20)}
	for i := range store.script {
		store.script[i] = loseWrite
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	result, err := blplatform.Write(ctx, store, "k", 0, []byte("mine"))
	if result.Outcome != blplatform.Unresolved || err == nil {
		t.Errorf("outcome: got %s, %v, want unresolved and an error", result.Outcome, err)
	}
}

// TestUnansweredWriteBacksOff guards against a writer that repeats a write without
// delay, as long as the store breaks each connection at once.
func TestUnansweredWriteBacksOff(t *testing.T) {
	store := &fakeStore{script: make([]response, 1<<20)}
	for i := range store.script {
		store.script[i] = loseWrite
	}
	const span, most = 300 * time.Millisecond, 10
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	result, _ := blplatform.Write(ctx, store, "k", 0, []byte("mine"))
	if result.Outcome != blplatform.Unresolved || store.writes > most {
		t.Errorf("writes in %s: got %d, %s, want at most %d, unresolved", span, store.writes, result.Outcome, most)
	}
}
