package blrollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/blrollout"
)

// takeoverTime is how long a fleet is without a lead after the lead was killed.
const takeoverTime = 1200 * time.Millisecond

// TestLeadKilledAtEachStep checks that a roll-out goes on where the killed lead left it.
func TestLeadKilledAtEachStep(t *testing.T) {
	t.Parallel()
	versions := []struct {
		name string
		b    behaviour
		want blrollout.Phase
	}{
		{"good", healthy, blrollout.PhaseCompleted},
		{"failing", failing(0.45), blrollout.PhaseRolledBack},
		{"slow late", late(3*time.Second, slow(0.45)), blrollout.PhaseRolledBack},
	}
	const duration = 16 * time.Second
	for _, v := range versions {
		for killedAt := 200 * time.Millisecond; killedAt < duration; killedAt += 800 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v", v.name, killedAt), func(t *testing.T) {
				t.Parallel()
				sim := started(simOptions{
					old: 30, added: 30, rate: 600, heartbeat: 500 * time.Millisecond, duration: duration, version: v.b, seed: uint64(killedAt),
				})
				sim.runUntil(orderAt + killedAt)
				sim.depose()
				sim.runUntil(orderAt + killedAt + takeoverTime)
				sim.elect()
				sim.runUntil(orderAt + duration + 4*time.Second)
				t.Logf("%s after %v, exposed %d of %d\n%s", sim.store.status.Phase, sim.endedAfter(), sim.exposed, sim.total, strings.Join(sim.decided, "\n"))
				if got := sim.store.status.Phase; got != v.want {
					t.Errorf("status: got %s, want %s", got, v.want)
				}
				// After a takeover all nodes have to confirm once more what is held.
				if got, want := sim.endedAfter(), max(duration, killedAt+takeoverTime+3*time.Second); got > want {
					t.Errorf("end: got after %v, want within %v", got, want)
				}
				if v.want == blrollout.PhaseRolledBack && sim.exposed > sim.exposureLimit() {
					t.Errorf("exposed: got %d, want at most %d", sim.exposed, sim.exposureLimit())
				}
				if found := sim.found(); len(found) > 0 {
					t.Errorf("violations: got %v, want none", found)
				}
			})
		}
	}
}
