package bltimer

import (
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clocks are the clocks of an operating system.
type Clocks interface {
	// Now reads the monotonic clock, which doesn't count the time for which the host is
	// suspended, and the time of day, which does.
	Now() (monotonic, timeOfDay time.Duration)
	// SinceBoot reads the clock that counts from the same origin as the monotonic one,
	// and counts that time.
	SinceBoot() (time.Duration, error)
}

const (
	// maxSkewChange is the change of the time of day against the monotonic clock from
	// which on the host may have been suspended. Otherwise its clock was set.
	maxSkewChange = time.Millisecond
	// checkInterval is how often suspensions are looked for in any case.
	checkInterval = 100 * time.Millisecond
	// minSuspension is the least time of suspension that counts. A lower one may come
	// from the time between two readings.
	minSuspension = 10 * time.Millisecond
	// maxCheckTries limits the tries to read two clocks without a suspension between.
	maxCheckTries = 3
)

// System is a Clock that reads the clocks of the operating system. It reads the slow
// one, which counts suspensions, only if the others disagree, and each checkInterval.
type System struct {
	clocks Clocks
	// origin is the reading of the monotonic clock at instant zero.
	origin time.Duration
	// bootLead is how far the clock since boot was ahead of the monotonic one then, or
	// a little more.
	bootLead time.Duration
	// err is why the clock since boot can't be read. The time of suspensions is then
	// left out.
	err error
	// suspended is the time for which the host has been suspended since, in nanoseconds.
	suspended atomic.Int64
	// skew is the time of day less the monotonic clock at the last check, and checkedAt
	// the reading of the monotonic clock then, both in nanoseconds.
	skew      atomic.Int64
	checkedAt atomic.Int64
}

// NewSystem returns a system clock whose instant zero is the time of the call.
func NewSystem() *System {
	return NewSystemFrom(newOSClocks())
}

// NewSystemFrom returns a system clock that reads the given clocks.
func NewSystemFrom(c Clocks) *System {
	s := &System{clocks: c}
	shortest := time.Duration(math.MaxInt64)
	for range maxCheckTries {
		before, _ := c.Now()
		boot, err := c.SinceBoot()
		after, _ := c.Now()
		s.err = err
		if after-before < shortest {
			// Time may have passed between the readings. The lead is rather too large, so
			// that no such time ever counts as a suspension.
			shortest, s.bootLead = after-before, boot-before
		}
	}
	monotonic, timeOfDay := c.Now()
	s.origin = monotonic
	s.skew.Store(int64(timeOfDay - monotonic))
	s.checkedAt.Store(int64(monotonic))
	return s
}

// Err returns why the clock can't count suspensions, or nil.
func (s *System) Err() error { return s.err }

// Now returns the time since the clock was created.
func (s *System) Now() Instant {
	monotonic, timeOfDay := s.clocks.Now()
	if s.err == nil && s.mayHaveBeenSuspended(monotonic, timeOfDay) {
		s.check()
	}
	return Instant(monotonic - s.origin + s.Suspended())
}

// Suspended returns the time for which the host has been suspended since the clock was
// created, as far as it was found.
func (s *System) Suspended() time.Duration {
	return time.Duration(s.suspended.Load())
}

// SuspendedBefore implements Clock. It is zero if suspensions can't be counted.
func (s *System) SuspendedBefore() time.Duration {
	if s.err != nil || s.bootLead < minSuspension {
		return 0
	}
	return s.bootLead
}

func (s *System) mayHaveBeenSuspended(monotonic, timeOfDay time.Duration) bool {
	change := timeOfDay - monotonic - time.Duration(s.skew.Load())
	return change.Abs() > maxSkewChange || monotonic-time.Duration(s.checkedAt.Load()) > checkInterval
}

// check reads the clock that counts suspensions. It reads the others before and after,
// to notice a suspension in between.
func (s *System) check() {
	for range maxCheckTries {
		before, timeOfDayBefore := s.clocks.Now()
		boot, err := s.clocks.SinceBoot()
		after, timeOfDayAfter := s.clocks.Now()
		skew := timeOfDayAfter - after
		s.checkedAt.Store(int64(after))
		if err != nil || (skew-(timeOfDayBefore-before)).Abs() > maxSkewChange {
			continue
		}
		s.skew.Store(int64(skew))
		s.raise(boot - after - s.bootLead)
		return
	}
}

// raise sets the time of suspension unless a later check has found as much.
func (s *System) raise(suspended time.Duration) {
	for {
		known := s.suspended.Load()
		if int64(suspended)-known < int64(minSuspension) || s.suspended.CompareAndSwap(known, int64(suspended)) {
			return
		}
	}
}

// osClocks are the clocks of this host.
type osClocks struct {
	// start is a time, and origin the reading of the monotonic clock then.
	start  time.Time
	origin time.Duration
	// err is why that clock couldn't be read. The others can't be compared with it then.
	err error
}

func newOSClocks() osClocks {
	start := time.Now()
	origin, err := readClock(unix.CLOCK_MONOTONIC)
	return osClocks{start: start, origin: origin, err: err}
}

// Now implements Clocks.
func (c osClocks) Now() (monotonic, timeOfDay time.Duration) {
	now := time.Now()
	return c.origin + now.Sub(c.start), time.Duration(now.UnixNano())
}

// SinceBoot implements Clocks.
func (c osClocks) SinceBoot() (time.Duration, error) {
	if c.err != nil {
		return 0, c.err
	}
	return readClock(unix.CLOCK_BOOTTIME)
}

func readClock(id int32) (time.Duration, error) {
	var reading unix.Timespec
	if err := unix.ClockGettime(id, &reading); err != nil {
		return 0, fmt.Errorf("read clock %d: %w", id, err)
	}
	return time.Duration(reading.Nano()), nil
}
