package blupstream

import (
	"context"
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// freeBytes is how much of a response is forwarded as fast as it arrives, and
	// pacedBytesPerSecond the rate for the rest.
	freeBytes           = 1 << 20
	pacedBytesPerSecond = 4 << 20
	// minPaceWait is the shortest wait, below which none is worth its timer.
	minPaceWait = 5 * time.Millisecond
)

// pace is the immutable limit on how fast a long response is forwarded. A faulty upstream
// may send one without end, at the expense of all else that the node does.
type pace struct {
	forwarded int64
	// pacedFrom is when more than freeBytes had been forwarded, or zero.
	pacedFrom bltimer.Instant
}

// withForwarded returns the pace after count more bytes, and how long to wait before the
// next ones.
func (p pace) withForwarded(count int, now bltimer.Instant) (pace, time.Duration) {
	p.forwarded += int64(count)
	paced := p.forwarded - freeBytes
	if paced <= 0 {
		return p, 0
	}
	if p.pacedFrom == 0 {
		p.pacedFrom = now
	}
	due := time.Duration(float64(paced) / pacedBytesPerSecond * float64(time.Second))
	wait := due - now.Sub(p.pacedFrom)
	if wait < minPaceWait {
		return p, 0
	}
	return p, wait
}

// pause waits for a time, or until ctx is done.
func pause(ctx context.Context, length time.Duration) {
	if length == 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
