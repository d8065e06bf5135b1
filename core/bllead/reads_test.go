package bllead_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/bllead"
)

// TestReadsWithoutALeadDoNotGrowWithTheFleet guards against a large fleet that uses
// up the calls of the store while it has no lead.
func TestReadsWithoutALeadDoNotGrowWithTheFleet(t *testing.T) {
	const length, mostPerSecond = 10 * time.Second, 150
	for _, nodes := range []int{50, 195} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			p := newProcess(t)
			p.send(bllead.NodesCounted{Nodes: nodes})
			reads := 0
			for end := p.now + length; p.now < end; p.now += tick {
				p.send(bllead.RecordRead{Stored: record(3, "x", "y"), LeaseHolder: "x_run", SentAt: p.instant()})
				p.send(bllead.Tick{})
				if _, ok := effect[bllead.ReadRecord](p); ok {
					reads++
				}
			}
			if got := float64(nodes*reads) / length.Seconds(); got > mostPerSecond || reads == 0 {
				t.Errorf("reads per second of the fleet: got %.0f, want 1 to %d", got, mostPerSecond)
			}
		})
	}
}
