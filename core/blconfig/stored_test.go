package blconfig_test

import (
	"testing"

	"bergamotlead/core/blconfig"
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
		latest := blconfig.Latest{}.With(known)
		got := latest.Merge(c.read)
		if c.received {
			got = latest.MergeReceived(c.read)
		}
		if got.Revision != c.want.Revision || !got.SameContents(c.want) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
		again := latest.With(got).Merge(blconfig.Stored{Revision: 200, Version: 1, Text: "1"})
		if again.Version != c.want.Version {
			t.Errorf("%s, then version 1: got version %d, want %d", c.name, again.Version, c.want.Version)
		}
	}
}
