// Package bltimer provides the clock and the periodic timers of duties. It is
// the only source of time for decisions.
//
// Instants are monotonic: they count from the start of the process and must not
// be compared with instants of another process.
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
}

// System is a Clock that reads the monotonic clock of the operating system.
type System struct {
	origin time.Time
}

// NewSystem returns a system clock whose instant zero is the time of the call.
func NewSystem() System {
	return System{origin: time.Now()}
}

// Now returns the monotonic time since the clock was created.
func (s System) Now() Instant {
	return Instant(time.Since(s.origin))
}
