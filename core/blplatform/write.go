package blplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"
)

// Outcome is the outcome of a write as known to the writer.
type Outcome string

// The outcomes of a write.
const (
	// Written means that the write has taken effect.
	Written Outcome = "written"
	// Conflicted means that another write has taken effect, and this one never will.
	Conflicted Outcome = "conflicted"
	// NotSent means that the store didn't accept the write.
	NotSent Outcome = "not_sent"
	// Unresolved means that the write may still take effect.
	Unresolved Outcome = "unresolved"
)

// WriteResult is the outcome of a write with the latest known entry.
type WriteResult struct {
	Outcome Outcome
	Entry   Entry
}

// minWriteBackoff and maxWriteBackoff bound the delay before a write of unknown outcome
// is repeated. It doubles with each attempt.
const (
	minWriteBackoff = 10 * time.Millisecond
	maxWriteBackoff = 160 * time.Millisecond
)

// Write sets key by compare-and-swap and resolves unknown outcomes. The value must
// be unique to this write. After an unknown outcome, Write retries the same write
// until the revision has changed or ctx is done, so that any outcome other than
// Unresolved is definite. The error explains any outcome other than Written.
func Write(ctx context.Context, store Store, key string, revision uint64, value []byte) (WriteResult, error) {
	unresolved := false
	for delay := minWriteBackoff; ; delay = min(2*delay, maxWriteBackoff) {
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
		select {
		case <-ctx.Done():
			return WriteResult{Outcome: Unresolved}, fmt.Errorf("resolve write of %s: %w", key, err)
		case <-time.After(delay):
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
