package bldeliver

import (
	"time"

	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
)

const (
	// loadWindow is the length of the window over which offered load is measured.
	loadWindow = 400 * time.Millisecond
	// maxRanks bounds the number of ranks measured in one window.
	maxRanks = 64
	// maxUrgentShare caps the share of the slots that more urgent work is assumed
	// to use, so that the estimated wait stays finite.
	maxUrgentShare = 0.95
)

// OfferedLoad is the immutable measurement of the work that arrives for an
// upstream, by rank. The zero value has measured none.
type OfferedLoad struct {
	windowStart bltimer.Instant
	// current and previous sum the work of the current window and of the one
	// before it, by rank.
	current  bltable.Table[int, time.Duration]
	previous bltable.Table[int, time.Duration]
}

// WithWork returns the measurement after the arrival of a request of the given
// rank that is expected to take work.
func (o OfferedLoad) WithWork(rank int, work time.Duration, now bltimer.Instant) OfferedLoad {
	if elapsed := now.Sub(o.windowStart); elapsed >= loadWindow {
		o.previous = o.current
		if elapsed >= 2*loadWindow {
			o.previous = bltable.Table[int, time.Duration]{}
		}
		o.current = bltable.Table[int, time.Duration]{}
		o.windowStart = now
	}
	sum, ok := o.current.Get(rank)
	if !ok && o.current.Len() >= maxRanks {
		return o
	}
	o.current = o.current.With(rank, sum+work)
	return o
}

// UrgentShare returns the share of the slots that work of lower ranks, which goes
// first, needed in the previous window. It is at most maxUrgentShare.
func (o OfferedLoad) UrgentShare(rank, slots int) float64 {
	work := time.Duration(0)
	for otherRank, sum := range o.previous.All() {
		if otherRank < rank {
			work += sum
		}
	}
	share := work.Seconds() / loadWindow.Seconds() / float64(max(slots, 1))
	return min(share, maxUrgentShare)
}
