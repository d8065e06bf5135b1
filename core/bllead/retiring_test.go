package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blvalue"
)

// runAsLead lets the process lead for a while with a store and a standby that
// answer. It reports whether the process transferred the lead.
func (p *process) runAsLead(length time.Duration) bool {
	for end := p.now + length; p.now < end; p.now += 50 * time.Millisecond {
		p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
		standby := p.state.Record().Standby.Incarnation
		p.send(bllead.StandbyAnswered{
			SentAt: p.instant(), Asked: standby, Answer: bllead.StandbyAnswer{Incarnation: standby},
		})
		p.send(bllead.Tick{})
		p.confirmWrite()
		if call, ok := effect[bllead.AskStandby](p); ok && call.Resigned != "" {
			return true
		}
	}
	return false
}

// TestLeadOnRetiringHostTransfersTheLead guards against a host that leads until it is
// removed for good, after its upstream has left.
func TestLeadOnRetiringHostTransfersTheLead(t *testing.T) {
	hosts := []blvalue.Host{host("b"), host("c")}
	cases := []struct {
		name string
		seen bllead.PeersSeen
		want bool
	}{
		{"the host serves", bllead.PeersSeen{Peers: []blvalue.Host{host("a"), host("b"), host("c")}}, false},
		{"the host retires", bllead.PeersSeen{Peers: hosts, Retiring: true}, true},
		{"no peer to transfer to", bllead.PeersSeen{Retiring: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.lead()
			p.send(c.seen)
			if got := p.runAsLead(6 * time.Second); got != c.want {
				t.Errorf("transfers the lead: got %t, want %t", got, c.want)
			}
		})
	}
}

// TestRetiringStandbyIsReplaced guards against a lead and a standby that are both
// removed for good, after which nobody takes over until the hold limit has passed.
func TestRetiringStandbyIsReplaced(t *testing.T) {
	p := newProcess(t)
	p.lead()
	p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("a"), host("c")}})
	p.runAsLead(3 * time.Second)
	if got, want := p.state.Record().Standby.Name, host("c").Name; got != want {
		t.Errorf("standby: got %s, want %s", got, want)
	}
}

// TestPromiseEndsWithAnotherStandby guards against a lead that goes on by the promise
// of its former standby after it has appointed another one.
func TestPromiseEndsWithAnotherStandby(t *testing.T) {
	p := newProcess(t)
	p.lead()
	p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("a"), host("b"), host("c")}})
	p.runAsLead(3 * time.Second)
	p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
	leaseUntil := p.instant().Add(lease - margin)
	p.now += 100 * time.Millisecond
	p.send(bllead.StandbyAnswered{SentAt: p.instant(), Asked: "b_run", Answer: bllead.StandbyAnswer{Incarnation: "b_run", Promised: true}})
	if got, want := p.state.Authority(p.instant()).Until, leaseUntil.Add(100*time.Millisecond); got != want {
		t.Fatalf("authority with the promise: got until %v, want %v", got, want)
	}
	p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("a"), host("c")}})
	p.send(bllead.Tick{})
	if _, ok := effect[bllead.WriteRecord](p); !ok {
		t.Fatalf("effects: got %v, want another standby", p.effects)
	}
	if got := p.state.Authority(p.instant()).Until; got != leaseUntil {
		t.Errorf("authority: got until %v, want the end of the lease %v", got, leaseUntil)
	}
}
