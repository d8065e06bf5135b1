package blnode

import (
	"testing"
	"time"
)

// TestWatchBacksOff replays an outage of the store: attempts become rarer, and
// the first after its end comes soon enough.
func TestWatchBacksOff(t *testing.T) {
	cases := []struct {
		failures int
		want     time.Duration
	}{
		{1, 200 * time.Millisecond}, {2, 400 * time.Millisecond}, {3, 800 * time.Millisecond},
		{4, 1600 * time.Millisecond}, {40, 1600 * time.Millisecond},
	}
	for _, c := range cases {
		if got := (watchJob{failures: c.failures}).pause(); got != c.want {
			t.Errorf("pause after %d failures: got %v, want %v", c.failures, got, c.want)
		}
	}
}
