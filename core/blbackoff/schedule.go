// Package blbackoff decides when callers that were refused come back.
package blbackoff

import (
	"time"

	"bergamotlead/core/bltimer"
)

// Schedule is the immutable plan of the returns of refused callers. It spreads them
// over the capacity that becomes free, so that callers refused in the same moment
// don't come back in the same moment. The zero value has none.
type Schedule struct {
	// nextAt is when there is room for the next return.
	nextAt bltimer.Instant
}

// WithReturn returns the schedule with one more return, and how long the caller
// should wait. There is room for a first return at earliest, and for each further one
// after spacing. A return later than horizon is not planned, since the caller won't
// wait for it.
func (s Schedule) WithReturn(earliest bltimer.Instant, spacing, horizon time.Duration, now bltimer.Instant) (Schedule, time.Duration) {
	at := max(s.nextAt, earliest, now)
	wait := at.Sub(now)
	if wait <= horizon {
		s.nextAt = at.Add(spacing)
	}
	return s, wait
}
