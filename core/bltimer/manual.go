package bltimer

import (
	"sync/atomic"
	"time"
)

// Manual is a clock for tests that moves only when told.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a clock that stands at zero.
func NewManual() *Manual {
	return &Manual{}
}

// Now returns the instant at which the clock stands.
func (m *Manual) Now() Instant {
	return Instant(m.now.Load())
}

// Advance moves the clock by d.
func (m *Manual) Advance(d time.Duration) {
	m.now.Add(int64(d))
}
