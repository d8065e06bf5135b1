package blassign_test

import (
	"testing"

	"bergamotlead/core/blassign"
)

// TestLateTickForgetsAbsentHost guards against a second owner: a lead whose tick came after
// the grants of a silent node had expired didn't watch its host.
func TestLateTickForgetsAbsentHost(t *testing.T) {
	h := newHarnessWithKeptGrants(3)
	before := h.held(0)
	h.now = h.now.Add(2 * benchPlan().Timing.GrantTTL)
	h.send(blassign.Tick{})
	for range silentRounds {
		h.roundWithoutFirst()
	}
	h.probed(false, true, true)
	h.roundWithoutFirst()
	if got := h.heldByOthers(before); got != 0 {
		t.Errorf("partitions that others hold: got %d, want 0", got)
	}
}
