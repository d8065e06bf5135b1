package blconfig_test

import (
	"slices"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// stored returns contents at a revision with roll-out orders of the service pot.
func stored(era blplatform.Era, number uint64, orders ...blconfig.StoredOrder) blconfig.Stored {
	return blconfig.Stored{Revision: blplatform.NewRevision(era, number), Version: 14, Text: "14", Orders: orders}
}

// orderAt returns an order of the service pot.
func orderAt(era blplatform.Era, number uint64, text string) blconfig.StoredOrder {
	return blconfig.StoredOrder{Service: "pot", Revision: blplatform.NewRevision(era, number), Text: text}
}

// TestHeldOrders guards against a roll-out that ends, or that goes back to an earlier
// order, because a restored store has lost the order.
func TestHeldOrders(t *testing.T) {
	type step struct {
		at       time.Duration
		contents blconfig.Stored
		received bool
		want     []blconfig.StoredOrder
	}
	list := func(orders ...blconfig.StoredOrder) []blconfig.StoredOrder { return orders }
	lost := orderAt(1, 40, "v2")
	before := step{contents: stored(1, 41, lost), want: list(lost)}
	cases := []struct {
		name  string
		steps []step
	}{
		{"lost and not written again", []step{
			before, {at: time.Second, contents: stored(2, 30), want: list(lost)},
			{at: 30 * time.Second, contents: stored(2, 31), want: list(lost)}, {at: 31 * time.Second, contents: stored(2, 32)},
		}},
		{"lost and written again", []step{
			before, {at: time.Second, contents: stored(2, 30), want: list(lost)},
			{at: 2 * time.Second, contents: stored(2, 31, orderAt(2, 31, "v2")), want: list(orderAt(2, 31, "v2"))},
			{at: 3 * time.Second, contents: stored(2, 32)},
		}},
		{"an earlier order in the copy", []step{
			before, {at: time.Second, contents: stored(2, 30, orderAt(2, 20, "v1")), want: list(lost)},
			{at: 2 * time.Second, contents: stored(2, 31, orderAt(2, 31, "v3")), want: list(orderAt(2, 31, "v3"))},
		}},
		{"an earlier order in the copy that operators remove", []step{
			before, {at: time.Second, contents: stored(2, 30, orderAt(2, 20, "v1")), want: list(lost)},
			{at: 2 * time.Second, contents: stored(2, 31)},
		}},
		{"the same order in the copy", []step{
			before, {at: time.Second, contents: stored(2, 40, orderAt(2, 40, "v2")), want: list(orderAt(2, 40, "v2"))},
			{at: 2 * time.Second, contents: stored(2, 41)},
		}},
		{"removed without a restore", []step{before, {at: time.Second, contents: stored(1, 42)}}},
		{"a late read of the former era", []step{
			before, {at: time.Second, contents: stored(2, 30), want: list(lost)}, {at: time.Second, contents: before.contents, want: list(lost)},
			{at: 2 * time.Second, contents: stored(2, 31), want: list(lost)},
		}},
		{"a new node hears of it from another", []step{
			{contents: stored(2, 30)}, {contents: stored(2, 30, lost), received: true, want: list(lost)},
			{at: time.Second, contents: stored(2, 31), want: list(lost)}, {at: 31 * time.Second, contents: stored(2, 32)},
		}},
		{"a new node reads an earlier order and hears of the lost one", []step{
			{contents: stored(2, 30, orderAt(2, 20, "v1")), want: list(orderAt(2, 20, "v1"))},
			{contents: stored(2, 30, lost), received: true, want: list(lost)},
			{at: time.Second, contents: stored(2, 31, orderAt(2, 20, "v1")), want: list(lost)},
			{at: 2 * time.Second, contents: stored(2, 32, orderAt(2, 32, "v2")), want: list(orderAt(2, 32, "v2"))},
		}},
		{"a new order of another node, soon removed", []step{
			{contents: stored(2, 30)}, {contents: stored(2, 31, orderAt(2, 31, "v2")), received: true, want: list(orderAt(2, 31, "v2"))},
			{at: time.Second, contents: stored(2, 32)},
		}},
	}
	for _, c := range cases {
		latest, got := blconfig.Latest{}, blconfig.Stored{}
		for i, s := range c.steps {
			now := bltimer.Instant(s.at)
			if s.received {
				latest, got = latest.WithReceived(s.contents, now)
			} else {
				latest, got = latest.WithRead(s.contents, now)
			}
			if !slices.Equal(got.Orders, s.want) {
				t.Errorf("%s, step %d: got %v, want %v", c.name, i+1, got.Orders, s.want)
			}
		}
	}
}

// TestOrdersAreHeldLongerThanDomains guards against a failure domain that stays out until
// the time of a held order has passed.
func TestOrdersAreHeldLongerThanDomains(t *testing.T) {
	before := stored(1, 41, orderAt(1, 40, "v2"))
	before.Out = []string{"a"}
	latest, _ := blconfig.Latest{}.WithRead(before, 0)
	latest, _ = latest.WithRead(stored(2, 30), 0)
	if left, held := latest.HoldLeft(0); left != 5*time.Second || !held {
		t.Errorf("hold left at first: got %v, %t, want 5s", left, held)
	}
	latest, got := latest.WithRead(stored(2, 30), bltimer.Instant(5*time.Second))
	if left, held := latest.HoldLeft(bltimer.Instant(5 * time.Second)); left != 25*time.Second || !held || len(got.Out) > 0 {
		t.Errorf("hold left after that of the domain: got %v, %t, out %v, want 25s and none out", left, held, got.Out)
	}
}
