package blnode

import (
	"testing"
	"time"
)

// TestHandOverLeavesTimeForRequests guards against a leaving node that goes on
// accepting requests too long when no lead can reassign its partitions. Requests
// must be refused soon after callers have been redirected, so that in-flight ones
// can complete within the grace period.
func TestHandOverLeavesTimeForRequests(t *testing.T) {
	const (
		drainDelay = 2300 * time.Millisecond
		// lastAccepted is the latest time at which a request may be accepted so that
		// it still completes.
		lastAccepted = 3 * time.Second
	)
	kept := drainDelay - typicalHandOverTime
	if got := kept + handOverLimit(drainDelay); got > lastAccepted {
		t.Errorf("time of the last accepted request: got %v, want at most %v", got, lastAccepted)
	}
	if got := handOverLimit(drainDelay); got < typicalHandOverTime {
		t.Errorf("time to hand over: got %v, want at least %v", got, typicalHandOverTime)
	}
	if got, want := handOverLimit(0), maxHandOverWait; got != want {
		t.Errorf("time to hand over without a redirect delay: got %v, want %v", got, want)
	}
}
