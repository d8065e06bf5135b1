package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
)

// TestLateReadProvesNoAbsence guards against a second lead: a read of the store that was
// answered before a suspension and handled after it counted as an absence of the lease for
// all that time. Another process may have led meanwhile and may go on without the store.
func TestLateReadProvesNoAbsence(t *testing.T) {
	const expired = lease + margin + holdLimit + 10*time.Millisecond
	cases := []struct {
		name string
		// late is how long after it was sent the last of the reads is handled, and apart
		// how long after the first it was sent.
		apart, late time.Duration
		want        bool
	}{
		{"handled at once", expired, 0, true},
		{"handled after a suspension", 300 * time.Millisecond, expired, false},
		{"handled late, after a long absence", expired, lease + 10*time.Millisecond, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: holdLimit})
			for end := p.now + c.apart; p.now < end; p.now += tick {
				p.send(bllead.RecordRead{SentAt: p.instant(), Stored: record(3, "x", "y")})
			}
			sentAt := p.instant()
			p.now += c.late
			p.send(bllead.RecordRead{SentAt: sentAt, Stored: record(3, "x", "y")})
			if _, got := effect[bllead.AcquireLease](p); got != c.want {
				t.Errorf("takes over: got %t, want %t", got, c.want)
			}
		})
	}
}
