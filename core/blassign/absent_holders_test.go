package blassign_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
)

// TestAbsentHostsAreStored guards against a second owner after a change of lead: only the
// assignment tells the next lead which hosts may still hold what it gives to others.
func TestAbsentHostsAreStored(t *testing.T) {
	h, before := newHarnessWithAbsentNode(t)
	if got := len(h.absent); got != 1 {
		t.Fatalf("absent hosts stored: got %d, want 1", got)
	}
	if got, want := h.absent[0].Host, h.heartbeats[0].Node; got != want {
		t.Errorf("absent host: got %v, want %v", got, want)
	}
	if got := h.absent[0].Set; !got.Equal(before) {
		t.Errorf("partitions of the absent host: got %d, want %d", got.Len(), before.Len())
	}
}

// TestStoredAbsences checks which hosts that an earlier lead stored as absent a new lead
// watches, and that the assignment doesn't list them for good.
func TestStoredAbsences(t *testing.T) {
	tests := map[string]struct {
		// reports is set when the node of the absent host reports to the new lead.
		reports bool
		wait    time.Duration
		probed  bool
		listed  int
	}{
		"host still absent": {probed: true, listed: 1},
		"host is back":      {reports: true, wait: 3 * time.Second},
		"forgotten":         {wait: 65 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, _ := newHarnessWithAbsentNode(t)
			next := &harness{state: blassign.New(blassign.LeastMoves{}), now: h.now, heartbeats: h.heartbeats, absent: h.absent}
			next.sendWithChunks(blassign.AuthorityChanged{
				Authority: bllead.Authority{Term: 2, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now},
			}, storedChunks(h))
			for range silentRounds + int(test.wait/(100*time.Millisecond)) {
				if test.reports {
					next.sendHeartbeat(0)
				}
				next.roundWithoutFirst()
			}
			_, effects := next.state.Decide(blassign.Tick{}, next.now.Add(50*time.Millisecond))
			if got := probes(effects) > 0; got != test.probed {
				t.Errorf("host probed: got %v, want %v", got, test.probed)
			}
			if got := len(next.absent); got != test.listed {
				t.Errorf("absent hosts stored: got %d, want %d", got, test.listed)
			}
		})
	}
}

func probes(effects []blassign.Effect) int {
	count := 0
	for _, effect := range effects {
		if probe, ok := effect.(blassign.ProbeHosts); ok {
			count += len(probe.Hosts)
		}
	}
	return count
}
