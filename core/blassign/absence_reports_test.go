package blassign_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
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

// TestLateHeartbeatEndsAbsence guards against a second owner: a heartbeat from before a
// suspension, delivered at the resume, ended the absence of a host whose node was gone.
func TestLateHeartbeatEndsAbsence(t *testing.T) {
	cases := []struct {
		name string
		run  func(h *harness)
	}{
		{"before the node starts again", func(h *harness) {
			h.sendHeartbeat(0)
			h.probed(true, true)
		}},
		{"while the next run takes back", func(h *harness) {
			late := h.heartbeats[0]
			h.restartNode(true)
			late.Sequence++
			h.send(late)
		}},
		{"after one that a second suspension followed", func(h *harness) {
			h.sendHeartbeat(0)
			for range silentRounds {
				h.roundWithoutFirst()
			}
			h.probed(false)
			h.sendHeartbeat(0)
			h.probed(true, true)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, before := newHarnessWithAbsentNode(t)
			h.probed(false)
			c.run(h)
			h.roundWithoutFirst()
			if got := h.heldByOthers(before); got != 0 {
				t.Errorf("partitions that others hold: got %d, want 0", got)
			}
		})
	}
}

// TestLeadChangesAfterPartitionsOfAbsentHostMoved guards against a second owner: a new lead
// knew nothing of what a suspended host held, since the store names only its successors.
func TestLeadChangesAfterPartitionsOfAbsentHostMoved(t *testing.T) {
	h, before := newHarnessWithAbsentNode(t)
	entries := make([]blassign.Entry, 0, len(h.heartbeats))
	for _, hb := range h.heartbeats {
		entries = append(entries, blassign.Entry{Upstream: hb.Upstreams[0], Node: hb.Node})
	}
	next := &harness{state: blassign.New(blassign.LeastMoves{}), now: h.now, heartbeats: h.heartbeats}
	next.sendWithChunks(blassign.AuthorityChanged{
		Authority: bllead.Authority{Term: 2, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now}, Entries: entries,
	}, storedChunks(h))
	for range silentRounds {
		next.roundWithoutFirst()
	}
	next.probed(false, true, true)
	next.roundWithoutFirst()
	if got := next.heldByOthers(before); got != 0 {
		t.Errorf("partitions that others hold: got %d, want 0", got)
	}
}

// TestHostIsSuspendedForLessThanAbsence guards against a second owner: a host that had
// resumed without its node before the lead first probed it refused all probes, and what its
// upstream held for as much longer was given to others.
func TestHostIsSuspendedForLessThanAbsence(t *testing.T) {
	const suspended, round = 400 * time.Millisecond, 50 * time.Millisecond
	h := newHarnessWithKeptGrants(3)
	before := h.held(0)
	lastRound := h.now.Add(-100 * time.Millisecond)
	heldUntil := lastRound.Add(benchPlan().Timing.GrantTTL + suspended)
	for h.now.Before(heldUntil) {
		h.now = h.now.Add(round)
		h.send(blassign.Tick{})
		h.probed(true)
		for i := range h.heartbeats[1:] {
			h.sendHeartbeat(i + 1)
		}
		if got := h.heldByOthers(before); got != 0 {
			t.Fatalf("partitions that others hold %v before the upstream lets go: got %d, want 0", heldUntil.Sub(h.now), got)
		}
	}
}
