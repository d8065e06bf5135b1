package blassign_test

import (
	"slices"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// rolloutHarness is a lead with nodes 0 to 3, of which the first two have upstreams of the
// version "old". Those of the others are named "new" and haven't reported at first.
type rolloutHarness struct {
	*harness
	joining []blassign.Heartbeat
	step    uint64
	// shared is set if the service of the upstreams is shared.
	shared bool
}

func newRolloutHarness() *rolloutHarness {
	h := &rolloutHarness{harness: newHarness(2)}
	for i := range h.heartbeats {
		h.heartbeats[i].Upstreams[0].Version = "old"
		h.sendHeartbeat(i)
	}
	other := newHarness(4)
	h.joining = other.heartbeats[2:]
	for i := range h.joining {
		h.joining[i].Upstreams[0].Version = "new"
		h.joining[i].Held, h.joining[i].Directory, h.joining[i].Sequence = nil, blassign.DirectoryVersion{}, 0
	}
	return h
}

// order brings an order for the target into force at the lead.
func (h *rolloutHarness) order(target string) {
	accepted := h.state.Config()
	accepted.Revision++
	accepted.Plan = benchPlan()
	if h.shared {
		accepted.Plan.Services["pot"] = blconfig.Service{Name: "pot", Kind: blconfig.ServiceShared}
	}
	if target != "" {
		accepted.Plan.Rollouts = map[blvalue.ServiceName]blconfig.RolloutOrder{
			"pot": {Service: "pot", Target: target, Revision: accepted.Revision, Duration: 12 * time.Second},
		}
		accepted.Plan.Exposure = blconfig.Exposure{Share: 0.1}
	}
	h.send(blassign.ConfigSeen{Accepted: accepted})
}

// join lets the nodes that haven't reported yet report.
func (h *rolloutHarness) join() {
	first := len(h.heartbeats)
	h.heartbeats = append(h.heartbeats, h.joining...)
	h.joining = nil
	for i := first; i < len(h.heartbeats); i++ {
		h.sendHeartbeat(i)
	}
}

// admit sends a decision of the roll-out duty that holds some upstreams and has an
// allowance for others.
func (h *rolloutHarness) admit(held, allowed []int) []blassign.Effect {
	h.step++
	m := blassign.AdmissionChanged{Term: h.state.Authority().Term, Step: h.step}
	for _, i := range held {
		m.Held = append(m.Held, h.heartbeats[i].Upstreams[0].Incarnation)
	}
	for _, i := range allowed {
		m.Allowances = append(m.Allowances, h.allowance(i))
	}
	return h.decide(m)
}

func (h *rolloutHarness) allowance(i int) blvalue.Allowance {
	return blvalue.Allowance{
		Incarnation: h.heartbeats[i].Upstreams[0].Incarnation, Node: h.heartbeats[i].Node.Incarnation, Order: 2, Requests: 5, TTL: time.Second,
	}
}

func (h *rolloutHarness) decide(m blassign.Message) []blassign.Effect {
	var effects []blassign.Effect
	h.state, effects = h.state.Decide(m, h.now)
	return effects
}

// round lets all nodes report and the lead place partitions.
func (h *rolloutHarness) round() {
	h.now = h.now.Add(100 * time.Millisecond)
	h.send(blassign.Tick{})
	for i := range h.heartbeats {
		h.sendHeartbeat(i)
	}
}

// newTerm starts a lead that had the directory of the former one as a node.
func (h *rolloutHarness) newTerm() {
	entries := h.reply(0, true).Directory.Entries
	chunks := storedChunks(h.harness)
	h.state = blassign.New(blassign.LeastMoves{})
	h.sendWithChunks(blassign.AuthorityChanged{
		Authority: bllead.Authority{Term: 2, Until: h.now.Add(time.Hour), MayChange: true, PriorExpiredAt: h.now}, Entries: entries,
	}, chunks)
}

// reply sends a heartbeat of a node and returns the lead's reply. The node may ask for the
// whole directory.
func (h *rolloutHarness) reply(i int, full bool) blassign.HeartbeatReply {
	hb := &h.heartbeats[i]
	hb.Sequence++
	sent := *hb
	sent.Reply = blring.NewReply[blassign.HeartbeatReply]()
	if full {
		sent.Directory = blassign.DirectoryVersion{}
	}
	h.send(sent)
	reply, _ := sent.Reply.Poll()
	return reply
}

// heldInDirectory returns the names of the upstreams that are held in the directory.
func (h *rolloutHarness) heldInDirectory() []blvalue.UpstreamName {
	var names []blvalue.UpstreamName
	for _, entry := range h.reply(0, true).Directory.Entries {
		if entry.Held {
			names = append(names, entry.Upstream.Name)
		}
	}
	return names
}

// TestHeldInDirectory guards against upstreams of an unproven version that get requests or
// partitions before the roll-out duty allows it, and against a service without upstreams.
func TestHeldInDirectory(t *testing.T) {
	cases := []struct {
		name string
		run  func(h *rolloutHarness)
		want []blvalue.UpstreamName
	}{
		{"without an order", func(h *rolloutHarness) { h.join() }, nil},
		{"new ones of the target before any decision", func(h *rolloutHarness) { h.order("new"); h.join() },
			[]blvalue.UpstreamName{"pot_2", "pot_3"}},
		{"those that were there before the order stay", func(h *rolloutHarness) { h.join(); h.order("new"); h.round() }, nil},
		{"all run the target already", func(h *rolloutHarness) { h.order("old"); h.round() }, nil},
		{"one is admitted", func(h *rolloutHarness) { h.order("new"); h.join(); h.admit([]int{3}, []int{2}) },
			[]blvalue.UpstreamName{"pot_3"}},
		{"one joins after the decision", func(h *rolloutHarness) { h.order("new"); h.admit(nil, nil); h.join() },
			[]blvalue.UpstreamName{"pot_2", "pot_3"}},
		{"one that is held joins later", func(h *rolloutHarness) {
			late := h.joining[0].Upstreams[0].Incarnation
			h.decide(blassign.AdmissionChanged{Term: 1, Step: 1, Held: []blvalue.Incarnation{late}})
			h.join()
		}, []blvalue.UpstreamName{"pot_2"}},
		{"an admitted one restarts under its id", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit([]int{3}, []int{2})
			h.heartbeats[2].Upstreams = slices.Clone(h.heartbeats[2].Upstreams)
			h.heartbeats[2].Upstreams[0].Incarnation = "upstream_2_again"
			h.round()
		}, []blvalue.UpstreamName{"pot_2", "pot_3"}},
		{"the node of an admitted one restarts", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit([]int{3}, []int{2})
			h.heartbeats[2].Node.Incarnation = "node_2_again"
			h.round()
		}, []blvalue.UpstreamName{"pot_3"}},
		{"the old ones are held at the end", func(h *rolloutHarness) { h.order("new"); h.join(); h.admit([]int{0, 1}, []int{2, 3}) },
			[]blvalue.UpstreamName{"pot_0", "pot_1"}},
		{"the old ones are released again", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit([]int{0, 1}, []int{2, 3})
			h.admit([]int{2, 3}, nil)
		}, []blvalue.UpstreamName{"pot_2", "pot_3"}},
		{"the order is removed and its upstreams stay held", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit([]int{2, 3}, nil)
			h.order("")
			h.round()
		}, []blvalue.UpstreamName{"pot_2", "pot_3"}},
		{"a decision of an earlier term", func(h *rolloutHarness) {
			h.decide(blassign.AdmissionChanged{Term: 7, Step: 9, Held: []blvalue.Incarnation{"upstream_0"}})
		}, nil},
		{"a late decision", func(h *rolloutHarness) {
			h.admit([]int{0}, nil)
			h.admit([]int{1}, nil)
			h.decide(blassign.AdmissionChanged{Term: 1, Step: 1, Held: []blvalue.Incarnation{"upstream_0"}})
		}, []blvalue.UpstreamName{"pot_1"}},
		{"a new lead keeps what the directory had", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit([]int{3, 0}, []int{2})
			h.newTerm()
			h.order("new")
			h.round()
		}, []blvalue.UpstreamName{"pot_0", "pot_3"}},
		{"a new lead holds those that it didn't know", func(h *rolloutHarness) {
			h.order("new")
			h.newTerm()
			h.order("new")
			h.join()
			h.round()
		}, []blvalue.UpstreamName{"pot_2", "pot_3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newRolloutHarness()
			c.run(h)
			if got := h.heldInDirectory(); !slices.Equal(got, c.want) {
				t.Errorf("held: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestPlacementWithHeldUpstreams guards against partitions at upstreams that a roll-out
// holds back, and against keys without an owner because all others are gone.
func TestPlacementWithHeldUpstreams(t *testing.T) {
	cases := []struct {
		name string
		run  func(h *rolloutHarness)
		// owners are the upstreams that own partitions afterwards.
		owners []blvalue.UpstreamName
	}{
		{"new ones held", func(h *rolloutHarness) { h.order("new"); h.join() }, []blvalue.UpstreamName{"pot_0", "pot_1"}},
		{"one admitted", func(h *rolloutHarness) { h.order("new"); h.join(); h.admit([]int{3}, []int{2}) },
			[]blvalue.UpstreamName{"pot_0", "pot_1", "pot_2"}},
		{"old ones held", func(h *rolloutHarness) { h.order("new"); h.join(); h.admit([]int{0, 1}, []int{2, 3}) },
			[]blvalue.UpstreamName{"pot_2", "pot_3"}},
		{"all held", func(h *rolloutHarness) { h.order("new"); h.join(); h.admit([]int{0, 1, 2, 3}, nil) },
			[]blvalue.UpstreamName{"pot_0", "pot_1", "pot_2", "pot_3"}},
		{"held, and all others leave", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit([]int{2, 3}, nil)
			h.heartbeats[0].Leaving, h.heartbeats[1].Leaving = true, true
		}, []blvalue.UpstreamName{"pot_2", "pot_3"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newRolloutHarness()
			c.run(h)
			for range 8 {
				h.round()
			}
			ownership, _ := h.state.Ownership("pot")
			got := slices.Compact(slices.Sorted(slices.Values(ownership.Owners())))
			if !slices.Equal(got, c.owners) {
				t.Errorf("owners: got %v, want %v", got, c.owners)
			}
			h.checkHolders(t)
		})
	}
}

// TestAllowancesInReplies guards against allowances that reach another run of the node than
// the one that counted for them, and against bytes in replies without a roll-out.
func TestAllowancesInReplies(t *testing.T) {
	cases := []struct {
		name string
		run  func(h *rolloutHarness)
		want int
	}{
		{"without an order", func(h *rolloutHarness) { h.join() }, 0},
		{"allowed", func(h *rolloutHarness) { h.order("new"); h.join(); h.admit(nil, []int{2}) }, 1},
		{"allowed for another node", func(h *rolloutHarness) { h.order("new"); h.join(); h.admit(nil, []int{3}) }, 0},
		{"the node restarted", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit(nil, []int{2})
			h.heartbeats[2].Node.Incarnation = "node_2_again"
		}, 0},
		{"the upstream restarted under its id", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit(nil, []int{2})
			h.heartbeats[2].Upstreams[0].Incarnation = "upstream_2_again"
		}, 0},
		{"a new lead before its first decision", func(h *rolloutHarness) {
			h.order("new")
			h.join()
			h.admit(nil, []int{2})
			h.newTerm()
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newRolloutHarness()
			c.run(h)
			if got := len(h.reply(2, false).Allowances); got != c.want {
				t.Errorf("allowances: got %d, want %d", got, c.want)
			}
		})
	}
}

// TestNudgesAfterAdmission guards against decisions that wait for the next heartbeat of
// each node, and against a nudge with each small change.
func TestNudgesAfterAdmission(t *testing.T) {
	raise := func(h *rolloutHarness, requests uint64, after time.Duration) []blassign.Effect {
		h.now = h.now.Add(after)
		allowance := h.allowance(2)
		allowance.Requests = requests
		return h.decide(blassign.AdmissionChanged{Term: 1, Step: h.step, Allowances: []blvalue.Allowance{allowance}})
	}
	cases := []struct {
		name string
		run  func(h *rolloutHarness) []blassign.Effect
		want int
	}{
		{"a step", func(h *rolloutHarness) []blassign.Effect { return h.admit([]int{3}, []int{2}) }, 4},
		{"a raised allowance", func(h *rolloutHarness) []blassign.Effect { h.admit(nil, []int{2}); return raise(h, 9, 0) }, 1},
		{"the same allowance", func(h *rolloutHarness) []blassign.Effect { h.admit(nil, []int{2}); return raise(h, 5, 0) }, 0},
		{"raised again soon", func(h *rolloutHarness) []blassign.Effect {
			h.admit(nil, []int{2})
			raise(h, 9, 0)
			return raise(h, 13, 50*time.Millisecond)
		}, 0},
		{"raised again later", func(h *rolloutHarness) []blassign.Effect {
			h.admit(nil, []int{2})
			raise(h, 9, 0)
			return raise(h, 13, 200*time.Millisecond)
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newRolloutHarness()
			h.order("new")
			h.join()
			got := 0
			for _, effect := range c.run(h) {
				if nudge, ok := effect.(blassign.Nudge); ok {
					got += len(nudge.Nodes)
				}
			}
			if got != c.want {
				t.Errorf("nodes nudged: got %d, want %d", got, c.want)
			}
		})
	}
}

// tickView returns the view that the lead sends with a tick.
func (h *rolloutHarness) tickView() (blassign.RolloutView, bool) {
	for _, effect := range h.decide(blassign.Tick{}) {
		if view, ok := effect.(blassign.RolloutView); ok {
			return view, true
		}
	}
	return blassign.RolloutView{}, false
}

// TestConfirmedStep guards against a completion while a node may still send requests by an
// earlier directory.
func TestConfirmedStep(t *testing.T) {
	report := func(h *rolloutHarness, nodes ...int) {
		for _, i := range nodes {
			h.sendHeartbeat(i)
		}
	}
	share := func(h *rolloutHarness) { h.shared = true; h.order("new") }
	// lead replaces the lead after its first step.
	lead := func(h *rolloutHarness) {
		h.admit([]int{3}, []int{2})
		h.newTerm()
		h.order("new")
	}
	// silent takes the next step and lets only some nodes report for a while.
	silent := func(h *rolloutHarness, length time.Duration, nodes ...int) {
		h.admit([]int{3}, []int{2})
		for end := h.now.Add(length); h.now.Before(end); {
			h.now = h.now.Add(100 * time.Millisecond)
			report(h, nodes...)
		}
	}
	cases := []struct {
		name string
		run  func(h *rolloutHarness)
		want uint64
	}{
		{"no step", func(*rolloutHarness) {}, 0},
		{"nobody has reported since", func(h *rolloutHarness) { h.admit([]int{3}, []int{2}) }, 0},
		{"the replies are under way", func(h *rolloutHarness) { h.admit([]int{3}, []int{2}); report(h, 0, 1, 2, 3) }, 0},
		{"all have reported the directory", func(h *rolloutHarness) {
			h.admit([]int{3}, []int{2})
			report(h, 0, 1, 2, 3)
			report(h, 0, 1, 2, 3)
		}, 1},
		{"one has not", func(h *rolloutHarness) {
			h.admit([]int{3}, []int{2})
			report(h, 0, 1, 2, 3)
			report(h, 0, 1, 2)
		}, 0},
		{"a later step isn't confirmed yet", func(h *rolloutHarness) {
			h.admit([]int{3}, []int{2})
			report(h, 0, 1, 2, 3)
			report(h, 0, 1, 2, 3)
			h.admit(nil, []int{2, 3})
			report(h, 0, 1, 2, 3)
		}, 1},
		{"a step that changes nothing", func(h *rolloutHarness) {
			h.admit([]int{2, 3}, nil)
			report(h, 0, 1, 2, 3)
			report(h, 0, 1, 2, 3)
			h.admit([]int{2, 3}, nil)
		}, 1},
		{"a node is silent for less than a grant lasts", func(h *rolloutHarness) { silent(h, 800*time.Millisecond, 0, 1, 2) }, 0},
		{"a node beside a held upstream is silent", func(h *rolloutHarness) { share(h); silent(h, 2*time.Second, 0, 1, 2) }, 0},
		{"it is silent past its freshness", func(h *rolloutHarness) { share(h); silent(h, 2200*time.Millisecond, 0, 1, 2) }, 1},
		{"a node beside an admitted upstream is silent", func(h *rolloutHarness) { share(h); silent(h, 2*time.Second, 0, 1, 3) }, 1},
		{"a node beside a held owner of keys is silent", func(h *rolloutHarness) { silent(h, 2*time.Second, 0, 1, 2) }, 1},
		{"a silent node returns", func(h *rolloutHarness) { silent(h, 2*time.Second, 0, 1, 2); report(h, 3) }, 0},
		{"a node restarts", func(h *rolloutHarness) {
			silent(h, 200*time.Millisecond, 0, 1, 2, 3)
			h.heartbeats[3].Node.Incarnation, h.heartbeats[3].Directory = "node_3_again", blassign.DirectoryVersion{}
			report(h, 3)
		}, 0},
		{"a new lead while earlier grants may be in use", func(h *rolloutHarness) { lead(h); silent(h, 800*time.Millisecond, 0, 1, 2, 3) }, 0},
		{"a new lead", func(h *rolloutHarness) { lead(h); silent(h, time.Second, 0, 1, 2, 3) }, 2},
		{"a new lead hasn't heard of a node beside a held upstream", func(h *rolloutHarness) {
			share(h)
			silent(h, 200*time.Millisecond, 0, 1, 2, 3)
			lead(h)
			silent(h, time.Second, 0, 1, 2)
		}, 0},
		{"a node beside a held upstream of the target was lost before a later step", func(h *rolloutHarness) {
			share(h)
			silent(h, 1900*time.Millisecond, 0, 1, 2)
			h.admit([]int{0, 1}, []int{2})
			report(h, 0, 1, 2)
			report(h, 0, 1, 2)
		}, 2},
		{"a new lead knows no node beside a held upstream of the target", func(h *rolloutHarness) {
			share(h)
			silent(h, 200*time.Millisecond, 0, 1, 2, 3)
			lead(h)
			h.admit([]int{0, 1}, []int{2})
			for range 10 {
				h.now = h.now.Add(100 * time.Millisecond)
				report(h, 0, 1, 2)
			}
		}, 3},
		{"a new lead hasn't heard of a node beside an admitted upstream", func(h *rolloutHarness) {
			share(h)
			silent(h, 200*time.Millisecond, 0, 1, 2, 3)
			lead(h)
			silent(h, time.Second, 0, 1, 3)
		}, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newRolloutHarness()
			h.now = h.now.Add(2 * time.Second)
			h.order("new")
			h.join()
			for range 2 {
				h.round()
			}
			c.run(h)
			view, ok := h.tickView()
			if !ok || view.ConfirmedStep != c.want {
				t.Errorf("confirmed step: got %d, %t, want %d", view.ConfirmedStep, ok, c.want)
			}
		})
	}
}

// TestRolloutView guards against partitions that the roll-out duty doesn't hear of and that
// an old upstream may still be using.
func TestRolloutView(t *testing.T) {
	h := newRolloutHarness()
	if _, ok := h.tickView(); ok {
		t.Error("view without an order: got one, want none")
	}
	h.order("new")
	h.join()
	h.admit([]int{0, 1}, []int{2, 3})
	sum := func() map[string]int {
		view, _ := h.tickView()
		counts := map[string]int{}
		for _, upstream := range view.Upstreams {
			counts[upstream.Upstream.Version] += upstream.Partitions
		}
		return counts
	}
	if got := sum(); got["old"] < benchPartitions {
		t.Errorf("partitions of old upstreams at first: got %d, want %d", got["old"], benchPartitions)
	}
	for range 2 {
		h.round()
	}
	if got := sum(); got["new"] != benchPartitions || got["old"] == 0 {
		t.Errorf("partitions while the earlier owners are on record: got %v, want %d of new ones and some of old ones", got, benchPartitions)
	}
	for range 30 {
		h.round()
	}
	if got := sum(); got["old"] != 0 || got["new"] != benchPartitions {
		t.Errorf("partitions at the end: got %v, want %d of new ones and none of old ones", got, benchPartitions)
	}
}

// TestResultsAreReported guards against results that are lost or reported for a heartbeat
// that the lead didn't accept.
func TestResultsAreReported(t *testing.T) {
	h := newRolloutHarness()
	hb := h.heartbeats[0]
	hb.Sequence++
	hb.Results = []blvalue.UpstreamResults{{Incarnation: "upstream_0", Order: 2, Sent: 3}}
	for _, want := range []int{1, 0} {
		got := 0
		for _, effect := range h.decide(hb) {
			if reported, ok := effect.(blassign.ResultsReported); ok && reported.Node == hb.Node && len(reported.Results) == 1 {
				got++
			}
		}
		if got != want {
			t.Errorf("reports of results: got %d, want %d", got, want)
		}
	}
}

// BenchmarkTickWithRollout measures the tick of a lead of 240 nodes while there is an order.
func BenchmarkTickWithRollout(b *testing.B) {
	h := &rolloutHarness{harness: newHarness(240)}
	h.order("new")
	h.decide(blassign.Tick{})
	b.ResetTimer()
	for b.Loop() {
		h.decide(blassign.Tick{})
	}
}
