package bllog

import (
	"sync"
	"time"
)

// Budget bounds how many lines of each kind are written in a second, so that
// the volume under load stays bounded.
type Budget struct {
	perSecond int

	mu     sync.Mutex
	second int64
	// written and leftOut count the lines of this second by kind, and before
	// those that were left out since the last line of the kind.
	written map[string]int
	leftOut map[string]int
}

// NewBudget returns a budget of so many lines of a kind a second.
func NewBudget(perSecond int) *Budget {
	return &Budget{perSecond: perSecond, written: map[string]int{}, leftOut: map[string]int{}}
}

// Allow reports whether a line of the kind may be written now, and how many
// have been left out since the last one.
func (b *Budget) Allow(kind string, now time.Time) (allowed bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := now.Unix(); second != b.second {
		b.second = second
		clear(b.written)
	}
	if b.written[kind] >= b.perSecond {
		b.leftOut[kind]++
		return false, 0
	}
	b.written[kind]++
	leftOut = b.leftOut[kind]
	delete(b.leftOut, kind)
	return true, leftOut
}
