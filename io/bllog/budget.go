package bllog

import (
	"sync"
	"time"
)

// RateLimiter is a rate limiter for log lines. It limits how many lines of each kind
// are written per second, so that the log volume stays bounded under load.
type RateLimiter struct {
	perSecond int

	mu     sync.Mutex
	second int64
	// written counts the lines written in this second, by kind. suppressed counts
	// the lines suppressed since the last written line, by kind.
	written    map[string]int
	suppressed map[string]int
}

// NewRateLimiter returns a rate limiter that allows perSecond lines of each kind per
// second.
func NewRateLimiter(perSecond int) *RateLimiter {
	return &RateLimiter{perSecond: perSecond, written: map[string]int{}, suppressed: map[string]int{}}
}

// Allow reports whether a line of the kind may be written now, and how many lines
// of that kind have been suppressed since the last one.
func (b *RateLimiter) Allow(kind string, now time.Time) (allowed bool, suppressed int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second = second
		clear(b.written)
	}
	if b.written[kind] >= b.perSecond {
		b.suppressed[kind]++
		return false, 0
	}
	b.written[kind]++
	suppressed = b.suppressed[kind]
	delete(b.suppressed, kind)
	return true, suppressed
}
