package blgrant_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

func newNodeWithUpstreamKeptGrants(t *testing.T) *node {
	t.Helper()
	n := &node{t: t, state: blgrant.New()}
	n.send(blgrant.UpstreamsSeen{Upstreams: []blvalue.Upstream{{
		Name: "pot_1", Incarnation: "run_1", Service: "pot", KeepsGrants: true,
	}}}, 0)
	return n
}

func (n *node) report(now time.Duration) blgrant.Held {
	n.t.Helper()
	n.send(blgrant.ReportRequested{Reply: blring.NewReply[[]blgrant.Held]()}, now)
	for _, effect := range n.effects {
		if report, ok := effect.(blgrant.Report); ok {
			return report.Held[0]
		}
	}
	n.t.Fatal("ReportRequested got no answer")
	return blgrant.Held{}
}

func (n *node) sendHoldings(confirmed, released []blvalue.Partition, now time.Duration) {
	n.send(blgrant.UpstreamHoldings{
		Upstream: "pot_1", Incarnation: "run_1",
		Confirmed: blvalue.NewPartitionSet(confirmed...), Released: blvalue.NewPartitionSet(released...),
		Handovers: []blgrant.Handover{{Partition: 5, Token: "token"}},
	}, now)
}

func TestUpstreamThatKeepsItsGrants(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, n *node)
	}{
		{"no request starts before the upstream has confirmed the grant", func(t *testing.T, n *node) {
			if got := n.begin(time.Millisecond).Refusal; got == nil {
				t.Error("refusal: got nil, want not_owner")
			}
			n.sendHoldings([]blvalue.Partition{5}, nil, time.Millisecond)
			if got := n.begin(2 * time.Millisecond).Refusal; got != nil {
				t.Errorf("refusal after the confirmation: got %s, want nil", got)
			}
		}},
		{"a node that has just started releases no grants of an earlier incarnation", func(t *testing.T, n *node) {
			if got := n.report(time.Millisecond).Fence; got != (blvalue.Fence{}) {
				t.Errorf("fence: got %s, want none", got)
			}
			if got, want := n.report(2*ttl).Fence, (blvalue.Fence{Term: 1, Sequence: 1}); got != want {
				t.Errorf("fence after the TTL of a grant: got %s, want %s", got, want)
			}
		}},
		{"revoked partitions are in use until the upstream returns them", func(t *testing.T, n *node) {
			late := 2 * ttl
			n.send(blgrant.OffersReceived{SentAt: at(late), Term: 1, Offers: []blgrant.Offer{offer(1, 2, 6)}}, late)
			if got, want := n.report(late).Fence, (blvalue.Fence{Term: 1, Sequence: 1}); got != want {
				t.Errorf("fence: got %s, want %s", got, want)
			}
			n.sendHoldings(nil, []blvalue.Partition{5}, late)
			if got, want := n.report(late).Fence, (blvalue.Fence{Term: 1, Sequence: 2}); got != want {
				t.Errorf("fence after the release: got %s, want %s", got, want)
			}
		}},
		{"handovers are reported until the lead has answered", func(t *testing.T, n *node) {
			n.sendHoldings(nil, []blvalue.Partition{5}, time.Millisecond)
			if got := len(n.report(2 * time.Millisecond).Handovers); got != 1 {
				t.Errorf("handovers: got %d, want 1", got)
			}
			n.send(blgrant.OffersReceived{SentAt: at(2 * time.Millisecond), Term: 1, Offers: []blgrant.Offer{offer(1, 1)}}, 3*time.Millisecond)
			if got := len(n.report(4 * time.Millisecond).Handovers); got != 0 {
				t.Errorf("handovers after the answer: got %d, want 0", got)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNodeWithUpstreamKeptGrants(t)
			n.send(blgrant.OffersReceived{SentAt: 0, Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5, 6)}}, 0)
			c.run(t, n)
		})
	}
}
