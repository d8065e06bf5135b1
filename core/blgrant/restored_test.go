package blgrant_test

import (
	"testing"
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/blvalue"
)

// TestOfferForEarlierHoldingsIsIgnored guards against a late answer of a new lead that
// renews a partition which the node has given up since it sent its report. After a
// restore of the store that lead may not know of the move, and the next owner uses the
// partition.
func TestOfferForEarlierHoldingsIsIgnored(t *testing.T) {
	const reported, moved, answered = 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond
	n := newNode(t)
	n.send(blgrant.OffersReceived{SentAt: 0, Term: 1, Offers: []blgrant.Offer{offer(1, 1, 5, 6)}}, 0)
	n.send(blgrant.OffersReceived{SentAt: at(moved), Term: 1, Offers: []blgrant.Offer{offer(1, 2, 6)}}, moved)
	n.send(blgrant.OffersReceived{SentAt: at(reported), Term: 2, Offers: []blgrant.Offer{offer(2, 1, 5, 6)}}, answered)
	if n.state.Uses("pot", 5, at(answered)) {
		t.Error("uses a partition that it has given up: got true, want false")
	}
	n.send(blgrant.OffersReceived{SentAt: at(answered), Term: 2, Offers: []blgrant.Offer{offer(2, 2, 6)}}, answered)
	if got, want := n.reportedFence(answered), (blvalue.Fence{Term: 2, Sequence: 2}); got != want {
		t.Errorf("fence after the next answer: got %s, want %s", got, want)
	}
}
