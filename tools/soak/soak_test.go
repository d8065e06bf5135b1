package main

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// TestShortRuns plays a seed for a while, and seeds that once failed.
func TestShortRuns(t *testing.T) {
	cases := []struct {
		name string
		seed uint64
	}{
		{"any seed", 1},
		// Every pot server was gone for the lead at once, and weighing them ended
		// its process.
		{"lead that saw all servers gone", 5},
	}
	binaries := t.TempDir()
	if err := blfleet.Build(filepath.Join("..", ".."), binaries); err != nil {
		t.Fatalf("build: %v", err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			args := arguments{Length: 20 * time.Second, Hosts: 5, Root: filepath.Join("..", "..")}
			s := newSoak(args, c.seed, binaries, t.TempDir())
			if err := s.execute(); err != nil {
				t.Fatalf("play: %v", err)
			}
			for _, broken := range s.listViolations() {
				t.Error(broken)
			}
			t.Log(s.summaryLine())
		})
	}
}

func TestSameSeedSamePlan(t *testing.T) {
	first, second := newPlan(7, 20*time.Second, 5), newPlan(7, 20*time.Second, 5)
	if !slices.Equal(first, second) {
		t.Errorf("plans: got %v and %v, want the same", first, second)
	}
	for _, at := range first {
		if got, most := at.At+at.Lasts, 20*time.Second-faultFreeTail+minFaultDuration; got > most {
			t.Errorf("%s ends: got %s, want at most %s", at.Fault, got, most)
		}
	}
}

// TestLinkFaults holds the soak's own proxy against what it is to do.
func TestLinkFaults(t *testing.T) {
	echo := newEchoServer(t)
	cases := []struct {
		name      string
		behaviour linkFaults
		want      bool
	}{
		{"passes", linkFaults{}, true},
		{"delays", linkFaults{delay: 30 * time.Millisecond}, true},
		{"cuts there", linkFaults{cutForward: true}, false},
		{"cuts back", linkFaults{cutBack: true}, false},
		{"silent", linkFaults{silent: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := newLink(echo)
			if err != nil {
				t.Fatalf("open link: %v", err)
			}
			defer l.close()
			l.set(c.behaviour)
			if got := isEchoed(t, l.address()); got != c.want {
				t.Errorf("echo comes back: got %t, want %t", got, c.want)
			}
		})
	}
}
