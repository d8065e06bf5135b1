// Package bltimer is the only source of time for decisions.
//
// Instants are monotonic: they count from the start of the process and are
// never compared with those of another process.
package bltimer

import "time"

// Instant is a monotonic time in nanoseconds since its clock started.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// Clock tells the current instant.
type Clock interface {
	Now() Instant
}

// System is the clock of the running process.
type System struct {
	origin time.Time
}

// NewSystem returns a clock that starts at zero.
func NewSystem() System {
	return System{origin: time.Now()}
}

// Now returns the time since the clock started, by the monotonic clock.
func (s System) Now() Instant {
	return Instant(time.Since(s.origin))
}
