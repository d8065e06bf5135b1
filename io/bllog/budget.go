package bllog

import (
	"sync"
	"time"
)

// Budget is a rate limiter for log lines. It limits how many lines of each kind
// are written per second, so that the log volume stays bounded under load.
type Budget struct {
	perSecond int

	mu     sync.Mutex
	second int64
	// written counts the lines written in this second, by kind. suppressed counts
	// the lines suppressed since the last written line, by kind.
	written    map[string]int
	suppressed map[string]int
}

// NewBudget returns a rate limiter that allows perSecond lines of each kind per
// second.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: perSecond, written: map[string]int{}, suppressed: map[string]int{}}
}

// Allow reports whether a line of the kind may be written now, and how many lines
// of that kind have been suppressed since the last one.
func (b *Budget) Allow(kind string, now time.Time) (allowed bool, suppressed int) {
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
