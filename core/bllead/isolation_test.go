package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blvalue"
)

func TestIsolatedLeadReleasesTheLead(t *testing.T) {
	cases := []struct {
		name          string
		limit         time.Duration
		known, active int
		standby       bool
		want          bool
	}{
		{"no heartbeats from 6 nodes", time.Minute, 6, 0, false, true},
		{"heartbeats from 1 of 6 nodes", time.Minute, 6, 1, false, true},
		{"heartbeats from 2 of 6 nodes", time.Minute, 6, 2, false, false},
		{"no heartbeats, but the standby answers", time.Minute, 6, 0, true, false},
		{"only one other node known", time.Minute, 1, 0, false, false},
		{"no other process could take over", 0, 6, 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: c.limit})
			p.lead()
			released := false
			for end := p.now + 4*ttl; p.now < end; p.now += 50 * time.Millisecond {
				p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
				p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("a"), host("b")}, Known: c.known, Active: c.active})
				if c.standby {
					p.send(bllead.StandbyAnswered{
						SentAt: p.instant(), Asked: host("b").Incarnation, Answer: bllead.StandbyAnswer{Incarnation: host("b").Incarnation},
					})
				}
				p.send(bllead.Tick{})
				if write, ok := effect[bllead.WriteRecord](p); ok && write.Record.Lead.IsZero() {
					released = true
					break
				}
			}
			if released != c.want {
				t.Errorf("releases the lead: got %t, want %t", released, c.want)
			}
			if got := p.holds(); got == released {
				t.Errorf("holds: got %t, want %t", got, !released)
			}
		})
	}
}

func TestAnyProcessTakesOverAReleasedLead(t *testing.T) {
	p := newProcess(t)
	p.send(bllead.RecordRead{Stored: bllead.Stored{Revision: 30, Record: bllead.Record{Term: 3}}})
	if _, got := effect[bllead.AcquireLease](p); !got {
		t.Error("takes over: got false, want true")
	}
}
