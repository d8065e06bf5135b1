package blrollout_test

import (
	"strings"
	"testing"
	"time"
)

// TestEndsAreLogged guards against an end of a roll-out that operators don't find in the
// log: the lead reported each step but not the completion.
func TestEndsAreLogged(t *testing.T) {
	cases := map[string]struct {
		version behaviour
		want    string
	}{
		"good": {healthy, "completed"},
		"bad":  {failing(0.45), "rolled_back"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			const duration = 12 * time.Second
			o := small(150, 500*time.Millisecond, duration)
			o.version, o.seed = c.version, 5
			sim := started(o)
			sim.runUntil(orderAt + duration + time.Second)
			count := 0
			for _, line := range sim.decided {
				if strings.Contains(line, c.want) {
					count++
				}
			}
			if count != 1 {
				t.Errorf("decisions %s: got %d, want 1 of\n%s", c.want, count, strings.Join(sim.decided, "\n"))
			}
		})
	}
}
