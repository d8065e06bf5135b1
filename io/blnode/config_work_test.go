package blnode

import (
	"testing"
	"time"
)

// TestWatchBacksOff guards against a watch that retries at a constant rate during
// an outage of the store, or whose delay grows so long that it resumes too late
// after the outage.
func TestWatchBacksOff(t *testing.T) {
	cases := []struct {
		failures int
		want     time.Duration
	}{
		{1, 200 * time.Millisecond}, {2, 400 * time.Millisecond}, {3, 800 * time.Millisecond},
		{4, 1600 * time.Millisecond}, {40, 1600 * time.Millisecond},
	}
	for _, c := range cases {
		if got := (watchJob{failures: c.failures}).backoff(); got != c.want {
			t.Errorf("backoff after %d failures: got %v, want %v", c.failures, got, c.want)
		}
	}
}
