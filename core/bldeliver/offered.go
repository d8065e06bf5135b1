package bldeliver

import (
	"time"

	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
)

const (
	// offeredWindow is the time over which offered work is measured.
	offeredWindow = 400 * time.Millisecond
	// mostRanks bounds the ranks whose work is measured.
	mostRanks = 64
	// fullestShare bounds what more urgent work is taken to use of the slots.
	fullestShare = 0.95
)

// Offered is the immutable measure of the work that comes to an upstream, by
// rank. The zero value has seen none.
type Offered struct {
	windowedAt bltimer.Instant
	// current and last hold the work of the window that runs and of the one
	// before.
	current bltable.Table[int, time.Duration]
	last    bltable.Table[int, time.Duration]
}

// WithWork returns the measure after a request of a rank that takes so long.
func (o Offered) WithWork(rank int, work time.Duration, now bltimer.Instant) Offered {
	if elapsed := now.Sub(o.windowedAt); elapsed >= offeredWindow {
		o.last = o.current
		if elapsed >= 2*offeredWindow {
			o.last = bltable.Table[int, time.Duration]{}
		}
		o.current = bltable.Table[int, time.Duration]{}
		o.windowedAt = now
	}
	sum, ok := o.current.Get(rank)
	if !ok && o.current.Len() >= mostRanks {
		return o
	}
	o.current = o.current.With(rank, sum+work)
	return o
}

// Share returns the part of so many slots that work of lower ranks takes.
func (o Offered) Share(rank, slots int) float64 {
	work := time.Duration(0)
	for other, sum := range o.last.All() {
		if other < rank {
			work += sum
		}
	}
	share := work.Seconds() / offeredWindow.Seconds() / float64(max(slots, 1))
	return min(share, fullestShare)
}
