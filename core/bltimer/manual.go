package bltimer

import (
	"sync/atomic"
	"time"
)

// Manual is a Clock for tests that advances only through Advance.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a manual clock set to instant zero.
func NewManual() *Manual {
	return &Manual{}
}

// Now returns the current instant of the manual clock.
func (m *Manual) Now() Instant {
	return Instant(m.now.Load())
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.now.Add(int64(d))
}
