package blstore

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"

	"bergamotlead/core/blplatform"
)

const (
	// eraBase and eraSize are the base and the size in bits of an era as text.
	eraBase = 10
	eraSize = 64
)

// eraReader reads the era of a store from its responses and keeps the latest one.
type eraReader struct {
	header string
	latest atomic.Uint64
}

// read returns the era that a response names. It is zero if the response names none,
// or one that is not a number.
func (r *eraReader) read(header http.Header) blplatform.Era {
	era, err := strconv.ParseUint(header.Get(r.header), eraBase, eraSize)
	if err != nil {
		return 0
	}
	for latest := r.latest.Load(); era > latest && !r.latest.CompareAndSwap(latest, era); {
		latest = r.latest.Load()
	}
	return blplatform.Era(era)
}

func (r *eraReader) latestEra() blplatform.Era {
	return blplatform.Era(r.latest.Load())
}

// SwapFromEarlierEra returns the outcome of a compare-and-swap whose revision is of an
// earlier era than the store's. The swap is not sent, since the number of the revision
// may stand for another value by now. The error is a ConflictError with the current
// entry, or an UnavailableError if that can't be read.
//
// The conflict says what the key holds now, not what became of an earlier attempt:
// an attempt without an answer took effect if the value is the attempt's. If it isn't,
// the attempt can still take effect only if the key gets exactly the number of the
// revision in the new era.
func SwapFromEarlierEra(ctx context.Context, store blplatform.Store, key string) (blplatform.Entry, error) {
	current, err := store.Get(ctx, key)
	if err != nil {
		return blplatform.Entry{}, fmt.Errorf("swap %s from an earlier era: %w", key, err)
	}
	return current, fmt.Errorf("swap %s from an earlier era: %w", key, blplatform.ConflictError{Current: current})
}

// RestoredError reports a read during which the store was restored, so that its parts
// don't belong together.
type RestoredError struct {
	Before blplatform.Era
	After  blplatform.Era
}

// Error implements error.
func (e RestoredError) Error() string {
	return "the store went from era " + strconv.FormatUint(uint64(e.Before), eraBase) +
		" to era " + strconv.FormatUint(uint64(e.After), eraBase)
}
