package blassign_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blvalue"
)

// silentRounds is the number of rounds after which the partitions of a silent node belong
// to others.
const silentRounds = 20

// roundWithoutFirst lets all nodes but the first report, and the lead place partitions
// 100 ms later.
func (h *harness) roundWithoutFirst() {
	for i := range h.heartbeats[1:] {
		h.sendHeartbeat(i + 1)
	}
	h.now = h.now.Add(100 * time.Millisecond)
	h.send(blassign.Tick{})
}

// newHarnessWithAbsentNode returns nodes of which the first was silent until others had
// its partitions, and what it held.
func newHarnessWithAbsentNode(t *testing.T) (*harness, blvalue.PartitionSet) {
	t.Helper()
	h := newHarnessWithKeptGrants(3)
	before := h.held(0)
	for range silentRounds {
		h.roundWithoutFirst()
	}
	if got := h.heldByOthers(before); got != before.Len() {
		t.Fatalf("partitions of the silent node that others hold: got %d, want %d", got, before.Len())
	}
	return h, before
}

// heldByOthers returns how many of the partitions nodes but the first hold.
func (h *harness) heldByOthers(partitions blvalue.PartitionSet) int {
	count := 0
	for i := range h.heartbeats[1:] {
		count += h.held(i + 1).Intersect(partitions).Len()
	}
	return count
}

// probed gives the lead the results of probes of the first node.
func (h *harness) probed(refused ...bool) {
	for _, r := range refused {
		h.send(blassign.HostProbed{Host: h.heartbeats[0].Node, Refused: r})
	}
}

// restartNode starts the first node again.
func (h *harness) restartNode(reclaiming bool) {
	h.heartbeats[0].Node.Incarnation, h.heartbeats[0].Sequence, h.heartbeats[0].Held = "node_0_2", 0, nil
	h.heartbeats[0].Reclaiming = reclaiming
	h.sendHeartbeat(0)
}

// TestHostIsBackWithoutItsNode guards against partitions that an upstream holds by a clock
// that stood still, while others have them and no node takes them back.
func TestHostIsBackWithoutItsNode(t *testing.T) {
	cases := []struct {
		name string
		run  func(h *harness)
		// withheld is whether the partitions are withheld from others after run.
		withheld bool
	}{
		{"silent, then refused", func(h *harness) { h.probed(false, true, true) }, true},
		{"refused once, as by a host that boots", func(h *harness) { h.probed(false, true, false, true) }, false},
		{"still silent", func(h *harness) { h.probed(false) }, false},
		{"refused since the first probe", func(h *harness) { h.probed(true, true, true) }, true},
		{"a probe of an earlier run of the node", func(h *harness) {
			h.probed(false, true)
			h.send(blassign.HostProbed{Host: blvalue.Host{Name: "host_0", Incarnation: "node_0_0"}, Refused: true})
		}, false},
		{"started again, and taking back", func(h *harness) { h.probed(false); h.restartNode(true) }, true},
		{"started again, all taken back", func(h *harness) { h.probed(false, true, true); h.restartNode(false) }, false},
		{"its node lives", func(h *harness) { h.probed(false); h.sendHeartbeat(0) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h, before := newHarnessWithAbsentNode(t)
			c.run(h)
			h.roundWithoutFirst()
			got := h.heldByOthers(before)
			if c.withheld && got != 0 || !c.withheld && got == 0 {
				t.Errorf("partitions that others hold: got %d, want withheld: %v", got, c.withheld)
			}
		})
	}
}

// TestWithholdingEnds checks that partitions are granted again when no upstream can hold
// them any more, under a higher fence.
func TestWithholdingEnds(t *testing.T) {
	h, before := newHarnessWithAbsentNode(t)
	h.probed(false, true, true)
	until := h.now.Add(benchPlan().Timing.GrantTTL)
	fence := h.heartbeats[1].Held[0].Fence
	for h.now.Before(until) {
		h.roundWithoutFirst()
		if got := h.heldByOthers(before); got != 0 {
			t.Fatalf("partitions that others hold %v before the end: got %d, want 0", until.Sub(h.now), got)
		}
	}
	for range 3 {
		h.roundWithoutFirst()
	}
	if got := h.heldByOthers(before); got != before.Len() {
		t.Errorf("partitions that others hold at last: got %d, want %d", got, before.Len())
	}
	if got := h.heartbeats[1].Held[0].Fence; !fence.Less(got) {
		t.Errorf("fence after the end: got %v, want one above %v", got, fence)
	}
}

// TestHostSilentSinceEarlierLead checks that a new lead watches the hosts that the
// directory of the earlier one names and that don't report to it.
func TestHostSilentSinceEarlierLead(t *testing.T) {
	h := newHarnessWithKeptGrants(3)
	before, chunks := h.held(0), storedChunks(h)
	entries := make([]blassign.Entry, 0, len(h.heartbeats))
	for _, hb := range h.heartbeats {
		entries = append(entries, blassign.Entry{Upstream: hb.Upstreams[0], Node: hb.Node})
	}
	next := &harness{state: blassign.New(blassign.LeastMoves{}), now: h.now, heartbeats: h.heartbeats}
	next.sendWithChunks(blassign.AuthorityChanged{
		Authority: bllead.Authority{Term: 2, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now}, Entries: entries,
	}, chunks)
	for range silentRounds {
		next.roundWithoutFirst()
	}
	if got := next.heldByOthers(before); got != before.Len() {
		t.Fatalf("partitions of the silent node that others hold: got %d, want %d", got, before.Len())
	}
	next.probed(false, true, true)
	next.roundWithoutFirst()
	if got := next.heldByOthers(before); got != 0 {
		t.Errorf("partitions that others hold: got %d, want 0", got)
	}
}

// TestProbesAreBounded checks how many absent nodes are probed at a time, each in turn.
func TestProbesAreBounded(t *testing.T) {
	const nodes, limit = 40, 16
	h := newHarnessWithKeptGrants(nodes)
	probed := map[blvalue.HostName]int{}
	for range silentRounds {
		h.now = h.now.Add(100 * time.Millisecond)
		var effects []blassign.Effect
		h.state, effects = h.state.Decide(blassign.Tick{}, h.now)
		for _, effect := range effects {
			probe, ok := effect.(blassign.ProbeHosts)
			if !ok {
				continue
			}
			if got := len(probe.Hosts); got > limit {
				t.Errorf("hosts probed at a time: got %d, want %d at most", got, limit)
			}
			for _, host := range probe.Hosts {
				probed[host.Name]++
			}
		}
	}
	if got := len(probed); got != nodes {
		t.Errorf("hosts probed: got %d, want %d", got, nodes)
	}
}
