package blgrant_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const ttl = 900 * time.Millisecond

func offer(term, sequence uint64, partitions ...blvalue.Partition) blgrant.Offer {
	return blgrant.Offer{
		Upstream: "pot_1", Incarnation: "run_1", Service: "pot",
		Fence: blvalue.Fence{Term: term, Sequence: sequence}, TTL: ttl,
		HasSet: partitions != nil, Set: blvalue.NewPartitionSet(partitions...),
	}
}

func at(d time.Duration) bltimer.Instant { return bltimer.Instant(d) }

func ExampleGrant_WithOffer() {
	grant := blgrant.Grant{Upstream: "pot_1"}.WithOffer(offer(1, 1, 3), at(0))
	fmt.Println(grant.Covers(3, at(ttl-1)), grant.Covers(3, at(ttl)))
	// Output: true false
}

// node runs the decisions of a grant duty and records the latest effects.
type node struct {
	t       *testing.T
	state   blgrant.State
	effects []blgrant.Effect
}

func newNode(t *testing.T) *node {
	t.Helper()
	n := &node{t: t, state: blgrant.New()}
	n.send(blgrant.UpstreamsSeen{Upstreams: []blvalue.Upstream{{Name: "pot_1", Incarnation: "run_1", Service: "pot"}}}, 0)
	return n
}

func (n *node) send(message blgrant.Message, now time.Duration) {
	n.state, n.effects = blgrant.Decide(n.state, message, at(now))
}

func (n *node) begin(now time.Duration) blgrant.BeginAnswer {
	n.t.Helper()
	reply := blring.NewReply[blgrant.BeginAnswer]()
	n.send(blgrant.Begin{Service: "pot", Partition: 5, Cancel: func() {}, Reply: reply}, now)
	for _, effect := range n.effects {
		if answer, ok := effect.(blgrant.AnswerBegin); ok {
			return answer.Answer
		}
	}
	n.t.Fatal("Begin got no answer")
	return blgrant.BeginAnswer{}
}

func (n *node) reportedFence(now time.Duration) blvalue.Fence {
	n.t.Helper()
	n.send(blgrant.ReportRequested{}, now)
	report, ok := n.effects[0].(blgrant.Report)
	if !ok || len(report.Held) != 1 {
		n.t.Fatalf("report: got %v, want one grant", n.effects)
	}
	return report.Held[0].Fence
}

func TestRequestNeedsCurrentGrant(t *testing.T) {
	cases := []struct {
		name   string
		offers []blgrant.OffersReceived
		now    time.Duration
		want   bool
	}{
		{"granted", []blgrant.OffersReceived{{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}}}, ttl - 1, true},
		{"expired", []blgrant.OffersReceived{{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}}}, ttl, false},
		{"reply delayed beyond the TTL", []blgrant.OffersReceived{{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}}}, 2 * ttl, false},
		{"renewed without a set", []blgrant.OffersReceived{
			{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}},
			{SentAt: at(300 * time.Millisecond), Term: 1, Offers: []blgrant.Offer{offer(1, 1)}},
		}, ttl + 100*time.Millisecond, true},
		{"lower term after higher", []blgrant.OffersReceived{
			{SentAt: at(0), Term: 2, Offers: []blgrant.Offer{offer(2, 1, 6)}},
			{SentAt: at(1), Term: 1, Offers: []blgrant.Offer{offer(1, 9, 5)}},
		}, 10, false},
		{"lower sequence after higher", []blgrant.OffersReceived{
			{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 2, 6)}},
			{SentAt: at(1), Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}},
		}, 10, false},
		{"renewal of a set that isn't held", []blgrant.OffersReceived{
			{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 1)}},
		}, 10, false},
		{"revoked partition", []blgrant.OffersReceived{
			{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}},
			{SentAt: at(1), Term: 1, Offers: []blgrant.Offer{offer(1, 2, 6)}},
		}, 10, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t)
			for _, offered := range c.offers {
				n.send(offered, 0)
			}
			if got := n.begin(c.now).Refusal == nil; got != c.want {
				t.Errorf("request allowed: got %t, want %t", got, c.want)
			}
		})
	}
}

func TestReleaseWaitsForRunningRequests(t *testing.T) {
	n := newNode(t)
	n.send(blgrant.OffersReceived{Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5, 6)}}, 0)
	permit := n.begin(1).Permit
	n.send(blgrant.OffersReceived{Term: 1, Offers: []blgrant.Offer{offer(1, 2, 6)}}, 2)
	if got, want := n.reportedFence(3), (blvalue.Fence{Term: 1, Sequence: 1}); got != want {
		t.Errorf("fence while a request runs: got %v, want %v", got, want)
	}
	n.send(blgrant.End{Permit: permit.ID}, 4)
	if got, want := n.reportedFence(5), (blvalue.Fence{Term: 1, Sequence: 2}); got != want {
		t.Errorf("fence after the request: got %v, want %v", got, want)
	}
}

func TestExpiryCancelsRunningRequests(t *testing.T) {
	n := newNode(t)
	n.send(blgrant.OffersReceived{Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}}, 0)
	n.begin(1)
	n.send(blgrant.Tick{}, ttl-1)
	if got := len(n.effects); got != 0 {
		t.Errorf("effects before the expiry: got %d, want 0", got)
	}
	n.send(blgrant.Tick{}, ttl)
	if _, ok := n.effects[0].(blgrant.CancelRequest); !ok {
		t.Errorf("effects at the expiry: got %v, want CancelRequest", n.effects)
	}
}

func TestRestartedUpstreamHoldsNothing(t *testing.T) {
	n := newNode(t)
	n.send(blgrant.OffersReceived{Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}}, 0)
	n.send(blgrant.UpstreamsSeen{Upstreams: []blvalue.Upstream{{Name: "pot_1", Incarnation: "run_2", Service: "pot"}}}, 1)
	if n.begin(2).Refusal == nil {
		t.Error("request at a restarted upstream: got a permit, want a refusal")
	}
}

// TestStaleOfferIsRejected guards against accepting the first reply of a new lead
// when the grant that the report listed has expired before the reply arrives:
// another holder may have its partitions by then.
func TestStaleOfferIsRejected(t *testing.T) {
	cases := []struct {
		name   string
		sentAt time.Duration
		term   uint64
		now    time.Duration
		want   bool
	}{
		{"the grant has not expired", ttl - 100*time.Millisecond, 2, ttl - 50*time.Millisecond, true},
		{"the grant expired between the report and the reply", ttl - 100*time.Millisecond, 2, ttl + 50*time.Millisecond, false},
		{"the grant had expired before the report", ttl + 10*time.Millisecond, 2, ttl + 50*time.Millisecond, true},
		{"the grant expired in between, the same lead", ttl - 100*time.Millisecond, 1, ttl + 50*time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(t)
			n.send(blgrant.OffersReceived{SentAt: at(0), Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5)}}, 0)
			n.send(blgrant.OffersReceived{SentAt: at(c.sentAt), Term: c.term, Offers: []blgrant.Offer{offer(c.term, 2, 5)}}, c.now)
			if got := n.begin(c.now).Refusal == nil; got != c.want {
				t.Errorf("request allowed: got %t, want %t", got, c.want)
			}
		})
	}
}
