package blnode

import (
	"testing"
	"time"
)

// TestHandOverLeavesTimeForRequests replays a stop for which no lead can take
// the partitions: requests have to be turned away soon after callers go
// elsewhere, so that those that run can end within the grace.
func TestHandOverLeavesTimeForRequests(t *testing.T) {
	const (
		leaveAfter = 2300 * time.Millisecond
		// lastTaken is when a caller may still expect that its request is ended.
		lastTaken = 3 * time.Second
	)
	stays := leaveAfter - handOverTime
	if got := stays + handOverLimit(leaveAfter); got > lastTaken {
		t.Errorf("last request taken after: got %v, want at most %v", got, lastTaken)
	}
	if got := handOverLimit(leaveAfter); got < handOverTime {
		t.Errorf("time to hand over: got %v, want at least %v", got, handOverTime)
	}
	if got, want := handOverLimit(0), handOverWait; got != want {
		t.Errorf("time to hand over where callers are told at once: got %v, want %v", got, want)
	}
}
