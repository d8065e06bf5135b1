package blplatform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"bergamotlead/core/blplatform"
)

// answer is what the fake store does with one write.
type answer int

const (
	takes answer = iota
	takesAndLosesTheAnswer
	losesTheWrite
	refuses
)

// fakeStore answers writes by a script, and takes those after its end.
type fakeStore struct {
	blplatform.Store

	entry  blplatform.Entry
	script []answer
	writes int
}

func (f *fakeStore) CompareAndSwap(
	_ context.Context, key string, revision uint64, value []byte, _ blplatform.LeaseID,
) (blplatform.Entry, error) {
	act := takes
	if f.writes < len(f.script) {
		act = f.script[f.writes]
	}
	f.writes++
	switch act {
	case refuses:
		return blplatform.Entry{}, blplatform.UnavailableError{Cause: errors.New("down")}
	case losesTheWrite:
		return blplatform.Entry{}, blplatform.UnknownOutcomeError{Cause: errors.New("no answer")}
	case takes, takesAndLosesTheAnswer:
	}
	if f.entry.Revision != revision {
		return f.entry, blplatform.ConflictError{Current: f.entry}
	}
	f.entry = blplatform.Entry{Key: key, Value: value, Revision: revision + 1}
	if act == takesAndLosesTheAnswer {
		return blplatform.Entry{}, blplatform.UnknownOutcomeError{Cause: errors.New("no answer")}
	}
	return f.entry, nil
}

func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name   string
		stands uint64
		script []answer
		want   blplatform.Outcome
	}{
		{"taken", 0, nil, blplatform.Written},
		{"answer lost after the write", 0, []answer{takesAndLosesTheAnswer}, blplatform.Written},
		{"write lost", 0, []answer{losesTheWrite}, blplatform.Written},
		{"write lost, then the store down for a while", 0, []answer{losesTheWrite, refuses, refuses}, blplatform.Written},
		{"store down", 0, []answer{refuses}, blplatform.NotSent},
		{"another value stands", 5, nil, blplatform.Conflicted},
		{"another value stands, seen after a lost answer", 5, []answer{losesTheWrite}, blplatform.Conflicted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := &fakeStore{script: c.script}
			if c.stands > 0 {
				store.entry = blplatform.Entry{Key: "k", Value: []byte("other"), Revision: c.stands}
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

func TestWriteWithoutAnAnswerStaysUnresolved(t *testing.T) {
	store := &fakeStore{script: make([]answer, 1<<20)}
	for i := range store.script {
		store.script[i] = losesTheWrite
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	result, err := blplatform.Write(ctx, store, "k", 0, []byte("mine"))
	if result.Outcome != blplatform.Unresolved || err == nil {
		t.Errorf("outcome: got %s, %v, want unresolved and an error", result.Outcome, err)
	}
}
