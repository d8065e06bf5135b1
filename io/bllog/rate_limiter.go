package bllog

import (
	"sync"
	"time"
)

// RateLimiter limits how many log lines of each kind are written per second, so
// that the log volume stays bounded under load.
type RateLimiter struct {
	perSecond int

	mu     sync.Mutex
	second int64
	// written counts the lines written in this second, by kind. suppressed counts
	// the lines suppressed since the last written line, by kind.
	written    map[string]int
	suppressed map[string]int
}

// NewRateLimiter returns a rate limiter that allows perSecond lines of each kind
// per second.
func NewRateLimiter(perSecond int) *RateLimiter {
	return &RateLimiter{perSecond: perSecond, written: map[string]int{}, suppressed: map[string]int{}}
}

// Allow reports whether a line of the kind may be written now, and how many lines
// of that kind have been suppressed since the last one.
func (l *RateLimiter) Allow(kind string, now time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second = second
		clear(l.written)
	}
	if l.written[kind] >= l.perSecond {
		l.suppressed[kind]++
		return false, 0
	}
	l.written[kind]++
	suppressed = l.suppressed[kind]
	delete(l.suppressed, kind)
	return true, suppressed
}
