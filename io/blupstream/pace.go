package blupstream

import (
	"context"
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// freeBytes is how much of a response without a plausible length is forwarded as fast
	// as it arrives, and pacedBytesPerSecond the rate for the rest.
	freeBytes           = 1 << 20
	pacedBytesPerSecond = 4 << 20
	// maxPlausibleBytes is the greatest length that an upstream is believed. A response of
	// such a length has an end, and all of it is forwarded as fast as it arrives.
	maxPlausibleBytes = 64 << 20
	// minPaceWait is the shortest wait, below which none is worth its timer.
	minPaceWait = 5 * time.Millisecond
)

// pace is the immutable limit on how fast a long response is forwarded. A faulty upstream
// may send one without end, at the expense of all else that the node does.
type pace struct {
	// free is how many bytes are forwarded without a limit.
	free      int64
	forwarded int64
	// pacedFrom is when more than that had been forwarded, or zero.
	pacedFrom bltimer.Instant
}

// newPace returns the pace of a response of the given length, which is negative if it is
// unknown.
func newPace(length int64) pace {
	if length >= 0 && length <= maxPlausibleBytes {
		return pace{free: length}
	}
	return pace{free: freeBytes}
}

// withForwarded returns the pace after count more bytes, and how long to wait before the
// next ones.
func (p pace) withForwarded(count int, now bltimer.Instant) (pace, time.Duration) {
	p.forwarded += int64(count)
	paced := p.forwarded - p.free
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
