package blassign_test

import (
	"slices"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

// report sends all heartbeats and returns the latest report of the peers, if there
// was one.
func (h *harness) report() (blassign.PeersSeen, bool) {
	h.now = h.now.Add(100 * time.Millisecond)
	for i := range h.heartbeats {
		h.sendHeartbeat(i)
	}
	next, effects := h.state.Decide(blassign.Tick{}, h.now)
	h.state = next
	for _, effect := range effects {
		if seen, ok := effect.(blassign.PeersSeen); ok {
			return seen, true
		}
	}
	return blassign.PeersSeen{}, false
}

func peerNames(seen blassign.PeersSeen) []blvalue.HostName {
	names := make([]blvalue.HostName, 0, len(seen.Peers))
	for _, peer := range seen.Peers {
		names = append(names, peer.Name)
	}
	return names
}

func (h *harness) leave(i int) {
	h.heartbeats[i].Upstreams[0] = h.heartbeats[i].Upstreams[0].WithLeaving(true)
}

func TestHostsWithoutServingUpstreamAreNoCandidates(t *testing.T) {
	cases := []struct {
		name     string
		change   func(h *harness)
		want     []blvalue.HostName
		retiring bool
	}{
		{"an upstream leaves", func(h *harness) { h.leave(1) }, []blvalue.HostName{"host_0", "host_2"}, false},
		{"the lead's upstream leaves", func(h *harness) { h.leave(0) }, []blvalue.HostName{"host_1", "host_2"}, true},
		{"a host has no upstream", func(h *harness) { h.heartbeats[2].Upstreams = nil }, []blvalue.HostName{"host_0", "host_1"}, false},
		{"all upstreams leave", func(h *harness) { h.leave(0); h.leave(1); h.leave(2) }, []blvalue.HostName{"host_0", "host_1", "host_2"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(3)
			h.state = h.state.WithSelf(h.heartbeats[0].Node.Incarnation)
			before, _ := h.report()
			c.change(h)
			seen, ok := h.report()
			if !ok {
				seen = before
			}
			if got := peerNames(seen); !slices.Equal(got, c.want) {
				t.Errorf("candidates: got %v, want %v", got, c.want)
			}
			if seen.Retiring != c.retiring {
				t.Errorf("retiring: got %t, want %t", seen.Retiring, c.retiring)
			}
		})
	}
}

// TestReplacedPeerIsReported guards against a lead that names a node as its standby
// which is gone, because another one came at the same time.
func TestReplacedPeerIsReported(t *testing.T) {
	h := newHarness(3)
	h.report()
	h.heartbeats[2].Node.Incarnation = "node_2_again"
	h.heartbeats[2].Sequence = 0
	seen, ok := h.report()
	if !ok || seen.Peers[2].Incarnation != "node_2_again" {
		t.Errorf("peers: got %v, %t, want the new incarnation of host_2", seen.Peers, ok)
	}
}
