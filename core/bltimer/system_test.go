package bltimer

import (
	"errors"
	"testing"
	"time"
)

// fakeClocks are clocks that a test sets.
type fakeClocks struct {
	monotonic, timeOfDay, boot time.Duration
	err                        error
	// delay passes after each reading of the clock since boot.
	delay time.Duration
	// reads counts the readings of the clock since boot.
	reads int
}

func (c *fakeClocks) Now() (monotonic, timeOfDay time.Duration) { return c.monotonic, c.timeOfDay }

func (c *fakeClocks) SinceBoot() (time.Duration, error) {
	c.reads++
	boot := c.boot
	c.pass(c.delay)
	return boot, c.err
}

func (c *fakeClocks) pass(d time.Duration) {
	c.monotonic += d
	c.timeOfDay += d
	c.boot += d
}

// suspend lets time pass that the monotonic clock doesn't count.
func (c *fakeClocks) suspend(d time.Duration) {
	c.timeOfDay += d
	c.boot += d
}

// TestSuspensionOfTheHostDoesNotCount guards against grants, leases and promises that
// look younger than they are after a suspension of the host.
func TestSuspensionOfTheHostDoesNotCount(t *testing.T) {
	cases := []struct {
		name string
		run  func(c *fakeClocks, s *System)
		want time.Duration
	}{
		{"calm", func(c *fakeClocks, _ *System) { c.pass(time.Minute) }, time.Minute},
		{"a suspension", func(c *fakeClocks, _ *System) { c.pass(time.Second); c.suspend(5 * time.Second) }, 6 * time.Second},
		{"two suspensions", func(c *fakeClocks, s *System) {
			c.suspend(5 * time.Second)
			s.Now()
			c.pass(time.Millisecond)
			c.suspend(20 * time.Millisecond)
		}, 5*time.Second + 21*time.Millisecond},
		{"the time of day is set ahead", func(c *fakeClocks, _ *System) { c.pass(time.Second); c.timeOfDay += time.Hour }, time.Second},
		{"the time of day is set back by as much as a suspension", func(c *fakeClocks, s *System) {
			c.suspend(5 * time.Second)
			c.timeOfDay -= 5 * time.Second
			c.pass(checkInterval + 1)
		}, 5*time.Second + checkInterval + 1},
		{"no clock counts suspensions", func(c *fakeClocks, s *System) {
			c.err = errors.New("refused")
			c.pass(time.Second)
			s.Now()
			c.pass(time.Second)
		}, 2 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			readings := &fakeClocks{monotonic: time.Hour, timeOfDay: 1000 * time.Hour, boot: 5 * time.Hour}
			s := NewSystemFrom(readings)
			c.run(readings, s)
			if got, want := s.Now(), Instant(c.want); got != want {
				t.Errorf("now: got %v, want %v", time.Duration(got), time.Duration(want))
			}
		})
	}
}

// TestEarlierSuspensionIsUnknown guards against a process that doesn't know that its host
// was suspended before it started.
func TestEarlierSuspensionIsUnknown(t *testing.T) {
	readings := &fakeClocks{monotonic: time.Hour, timeOfDay: 1000 * time.Hour, boot: time.Hour + 6*time.Second}
	s := NewSystemFrom(readings)
	readings.suspend(time.Second)
	s.Now()
	if got, want := s.SuspendedBefore(), 6*time.Second; got != want {
		t.Errorf("suspended before the start: got %v, want %v", got, want)
	}
	if got, want := s.Suspended(), time.Second; got != want {
		t.Errorf("suspended since: got %v, want %v", got, want)
	}
}

// TestSlowStartCountsAsSuspension guards against a clock that jumps ahead because the
// process was held up between two readings when it started.
func TestSlowStartCountsAsSuspension(t *testing.T) {
	readings := &fakeClocks{delay: 300 * time.Millisecond}
	s := NewSystemFrom(readings)
	readings.delay = 0
	readings.pass(time.Second)
	if got, want := s.Now(), Instant(time.Second); got != want {
		t.Errorf("now: got %v, want %v", time.Duration(got), time.Duration(want))
	}
}

// TestClockSinceBootIsReadRarely checks that the slow clock isn't read for each message.
func TestClockSinceBootIsReadRarely(t *testing.T) {
	readings := &fakeClocks{}
	s := NewSystemFrom(readings)
	const readsPerSecond = 1000
	for range readsPerSecond {
		readings.pass(time.Second / readsPerSecond)
		s.Now()
	}
	if got, want := readings.reads, int(time.Second/checkInterval)+maxCheckTries; got > want {
		t.Errorf("readings of the clock since boot in 1 s: got %d, want at most %d", got, want)
	}
}

func TestSystemClockOfThisHost(t *testing.T) {
	s := NewSystem()
	if err := s.Err(); err != nil {
		t.Fatalf("clock since boot: got %v, want nil", err)
	}
	before := s.Now()
	time.Sleep(2 * checkInterval)
	if got := s.Now().Sub(before); got < 2*checkInterval {
		t.Errorf("time passed: got %v, want at least %v", got, 2*checkInterval)
	}
}
