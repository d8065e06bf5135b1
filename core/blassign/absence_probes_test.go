package blassign_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
)

// TestMissedProbesProlongWithholding guards against partitions that nobody is granted: a
// host that is up, but missed a probe now and then, had them withheld again and again.
func TestMissedProbesProlongWithholding(t *testing.T) {
	const length = 40 * time.Millisecond
	h, before := newHarnessWithAbsentNode(t)
	h.probed(false)
	end := h.now.Add(10 * benchPlan().Timing.GrantTTL)
	for i := 0; h.now.Before(end); i++ {
		h.now = h.now.Add(length)
		h.probed(i%4 != 3)
		for node := range h.heartbeats[1:] {
			h.sendHeartbeat(node + 1)
		}
		h.send(blassign.Tick{})
	}
	if got, want := h.heldByOthers(before), before.Len(); got != want {
		t.Errorf("partitions that others hold after ten grants' time: got %d, want %d", got, want)
	}
}
