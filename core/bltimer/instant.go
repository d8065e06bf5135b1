// Package bltimer provides the clock and the periodic timers of duties. It is
// the only source of time for decisions.
//
// Instants are monotonic: they count from the start of the process and must not
// be compared with instants of another process. The time for which the host was
// suspended counts.
package bltimer

import "time"

// Instant is a monotonic time in nanoseconds since its clock started.
type Instant int64

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// Clock returns the current instant.
type Clock interface {
	Now() Instant
	// Suspended returns the time for which the host has been suspended since the clock
	// was created. Now counts it, and other clocks of the host may not.
	Suspended() time.Duration
	// SuspendedBefore returns the time for which the host had been suspended, since it
	// was booted, when the clock was created.
	SuspendedBefore() time.Duration
}
