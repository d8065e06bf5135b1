package blplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
)

// Outcome is what a writer knows of its write.
type Outcome string

// The outcomes of a write.
const (
	// Written means that the store holds the value.
	Written Outcome = "written"
	// Conflicted means that another value stands and this one never will.
	Conflicted Outcome = "conflicted"
	// NotSent means that the store didn't take the write.
	NotSent Outcome = "not_sent"
	// Unresolved means that the write may still take effect.
	Unresolved Outcome = "unresolved"
)

// WriteResult is the outcome of a write and the entry that was seen last.
type WriteResult struct {
	Outcome Outcome
	Entry   Entry
}

// Write sets key by compare-and-swap and resolves an answer that was lost.
// The value must be unique to this write. After an unknown outcome it sends
// the same write again until the revision has moved or ctx ends, so that a
// result other than Unresolved is certain. The error explains any outcome
// other than Written.
func Write(ctx context.Context, store Store, key string, revision uint64, value []byte) (WriteResult, error) {
	unresolved := false
	for {
		entry, err := store.CompareAndSwap(ctx, key, revision, value, "")
		if err == nil {
			return WriteResult{Outcome: Written, Entry: entry}, nil
		}
		var conflict ConflictError
		if errors.As(err, &conflict) {
			return resolveConflict(conflict.Current, value)
		}
		var unavailable UnavailableError
		if errors.As(err, &unavailable) && !unresolved {
			return WriteResult{Outcome: NotSent}, fmt.Errorf("write %s: %w", key, err)
		}
		unresolved = true
		if ctx.Err() != nil {
			return WriteResult{Outcome: Unresolved}, fmt.Errorf("resolve write of %s: %w", key, err)
		}
	}
}

func resolveConflict(current Entry, value []byte) (WriteResult, error) {
	if bytes.Equal(current.Value, value) {
		return WriteResult{Outcome: Written, Entry: current}, nil
	}
	return WriteResult{Outcome: Conflicted, Entry: current},
		fmt.Errorf("write %s: %w", current.Key, ConflictError{Current: current})
}
