package blconfig_test

import (
	"slices"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

func TestPositionLaterThan(t *testing.T) {
	cases := []struct {
		name     string
		position blconfig.Position
		than     blconfig.Position
		want     bool
	}{
		{"same", blconfig.Position{Version: 11, Revision: 5}, blconfig.Position{Version: 11, Revision: 5}, false},
		{"later revision", blconfig.Position{Version: 11, Revision: 6}, blconfig.Position{Version: 11, Revision: 5}, true},
		{"no versions", blconfig.Position{Revision: 6}, blconfig.Position{Revision: 5}, true},
		{"later version of an earlier revision", blconfig.Position{Version: 14, Revision: 5}, blconfig.Position{Version: 11, Revision: 9}, true},
		{"earlier version of a restored store", blconfig.Position{Version: 11, Revision: 9}, blconfig.Position{Version: 14, Revision: 5}, false},
	}
	for _, c := range cases {
		if got := c.position.LaterThan(c.than); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}

// TestLatestKeepsWhatARestoredStoreLost guards against a node that goes back to an
// earlier version, wherever it comes from.
func TestLatestKeepsWhatARestoredStoreLost(t *testing.T) {
	known := blconfig.Stored{Revision: 19, Version: 14, Text: "14"}
	cases := []struct {
		name     string
		read     blconfig.Stored
		received bool
		want     blconfig.Stored
	}{
		{
			"later version", blconfig.Stored{Revision: 20, Version: 15, Text: "15"}, false,
			blconfig.Stored{Revision: 20, Version: 15, Text: "15"},
		},
		{
			"same version, another text", blconfig.Stored{Revision: 20, Version: 14, Text: "14 again"}, false,
			blconfig.Stored{Revision: 20, Version: 14, Text: "14 again"},
		},
		{
			"earlier version of a restored store", blconfig.Stored{Revision: 100, Version: 11, Text: "11", Out: []string{"a"}}, false,
			blconfig.Stored{Revision: 100, Version: 14, Text: "14", Out: []string{"a"}},
		},
		{
			"no configuration in a restored store", blconfig.Stored{Revision: 100}, false,
			blconfig.Stored{Revision: 100, Version: 14, Text: "14"},
		},
		{
			"earlier version of another node", blconfig.Stored{Revision: 100, Version: 11, Text: "11"}, true,
			blconfig.Stored{Revision: 100, Version: 14, Text: "14"},
		},
		{
			"later version of a node that has not read the restored store", blconfig.Stored{Revision: 18, Version: 15, Text: "15"}, true,
			blconfig.Stored{Revision: 19, Version: 15, Text: "15"},
		},
	}
	for _, c := range cases {
		latest, _ := blconfig.Latest{}.WithRead(known, 0)
		next, got := latest.WithRead(c.read, 0)
		if c.received {
			next, got = latest.WithReceived(c.read, 0)
		}
		if got.Revision != c.want.Revision || !got.SameContents(c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
		_, again := next.WithRead(blconfig.Stored{Revision: 200, Version: 1, Text: "1"}, 0)
		if again.Version != c.want.Version {
			t.Errorf("%s, then version 1: got version %d, want %d", c.name, again.Version, c.want.Version)
		}
	}
}

// TestHeldDomains checks how long a failure domain stays out that the store doesn't
// list, after a restore or because another node sent it.
func TestHeldDomains(t *testing.T) {
	restored := func(number uint64, out ...string) blconfig.Stored {
		return blconfig.Stored{Revision: blplatform.NewRevision(2, number), Version: 14, Text: "14", Out: out}
	}
	type step struct {
		at       time.Duration
		contents blconfig.Stored
		received bool
		want     []string
	}
	before := step{contents: blconfig.Stored{Revision: blplatform.NewRevision(1, 9), Version: 14, Text: "14", Out: []string{"a"}}, want: []string{"a"}}
	cases := []struct {
		name  string
		steps []step
	}{
		{"lost and not written again", []step{
			before, {at: time.Second, contents: restored(1), want: []string{"a"}},
			{at: 5 * time.Second, contents: restored(2), want: []string{"a"}}, {at: 6 * time.Second, contents: restored(3)},
		}},
		{"written again and then taken back", []step{
			before, {at: time.Second, contents: restored(1), want: []string{"a"}},
			{at: 2 * time.Second, contents: restored(2, "a"), want: []string{"a"}}, {at: 3 * time.Second, contents: restored(3)},
		}},
		{"another one out in the copy", []step{
			before, {at: time.Second, contents: restored(1, "b"), want: []string{"a", "b"}}, {at: 2 * time.Second, contents: restored(2), want: []string{"a"}},
		}},
		{"taken back without a restore", []step{
			{contents: restored(1, "a"), want: []string{"a"}}, {at: time.Second, contents: restored(2)},
		}},
		{"a late read of the former era", []step{
			before, {at: time.Second, contents: restored(1), want: []string{"a"}},
			{at: time.Second, contents: before.contents, want: []string{"a"}}, {at: 2 * time.Second, contents: restored(2), want: []string{"a"}},
		}},
		{"a new node hears of it from another", []step{
			{contents: restored(1)}, {contents: restored(1, "a"), received: true, want: []string{"a"}},
			{at: time.Second, contents: restored(2), want: []string{"a"}}, {at: 6 * time.Second, contents: restored(3)},
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
			if !slices.Equal(got.Out, s.want) {
				t.Errorf("%s, step %d: got %v, want %v", c.name, i+1, got.Out, s.want)
			}
		}
	}
}
