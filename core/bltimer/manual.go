package bltimer

import (
	"sync/atomic"
	"time"
)

// Manual is a Clock for tests that advances only through Advance.
type Manual struct {
	now, suspended atomic.Int64
}

// NewManual returns a manual clock set to instant zero.
func NewManual() *Manual {
	return &Manual{}
}

// Now returns the current instant of the manual clock.
func (m *Manual) Now() Instant {
	return Instant(m.now.Load())
}

// Suspended returns the sum of the suspensions.
func (m *Manual) Suspended() time.Duration {
	return time.Duration(m.suspended.Load())
}

// SuspendedBefore returns zero.
func (m *Manual) SuspendedBefore() time.Duration { return 0 }

// Suspend moves the clock forward by a suspension of the host.
func (m *Manual) Suspend(d time.Duration) {
	m.suspended.Add(int64(d))
	m.Advance(d)
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.now.Add(int64(d))
}
