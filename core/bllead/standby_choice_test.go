package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blvalue"
)

// TestLeadershipMovesToMoreCapacity checks the start of a fleet of hosts with
// different capacities: the first process to report becomes standby, and a small
// host may have become lead.
func TestLeadershipMovesToMoreCapacity(t *testing.T) {
	sized := func(name string, capacity int) blvalue.Host {
		h := host(name)
		h.Capacity = capacity
		return h
	}
	cases := []struct {
		name                string
		self, first, second int
		after               time.Duration
		wantStandby         blvalue.HostName
		wantTransfer        bool
	}{
		{"equal capacities", 80, 80, 80, 5 * time.Second, "b", false},
		{"larger peer reported, before the delay", 80, 16, 80, time.Second, "b", false},
		{"larger peer reported, after the delay", 80, 16, 80, 3 * time.Second, "c", false},
		{"capacities unknown", 0, 0, 0, 5 * time.Second, "b", false},
		{"standby much larger than the lead", 16, 80, 80, 5 * time.Second, "", true},
		{"standby slightly larger than the lead", 60, 80, 80, 5 * time.Second, "b", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.state = bllead.New(sized("a", c.self), bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin})
			hosts := []blvalue.Host{sized("a", c.self), sized("b", c.first), sized("c", c.second)}
			p.leadWith(hosts[:2])
			p.send(bllead.PeersSeen{Peers: hosts})
			transferred := false
			for end := p.now + c.after; p.now < end; p.now += 50 * time.Millisecond {
				p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
				standby := p.state.Record().Standby.Incarnation
				p.send(bllead.StandbyAnswered{
					SentAt: p.instant(), Asked: standby, Answer: bllead.StandbyAnswer{Incarnation: standby},
				})
				p.send(bllead.Tick{})
				p.confirmWrite()
				call, ok := effect[bllead.AskStandby](p)
				transferred = transferred || ok && call.Resigned != ""
			}
			if transferred != c.wantTransfer {
				t.Errorf("transfers the lead: got %t, want %t", transferred, c.wantTransfer)
			}
			if got := p.state.Record().Standby.Name; !c.wantTransfer && got != c.wantStandby {
				t.Errorf("standby: got %s, want %s", got, c.wantStandby)
			}
		})
	}
}
