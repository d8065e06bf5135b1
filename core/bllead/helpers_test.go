package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	lease  = 500 * time.Millisecond
	ttl    = 900 * time.Millisecond
	margin = 30 * time.Millisecond
	// tick is the interval between two ticks.
	tick = 10 * time.Millisecond
)

func host(name string) blvalue.Host {
	return blvalue.Host{
		Name: blvalue.HostName(name), Incarnation: blvalue.Incarnation(name + "_run"),
		Domain: blvalue.DomainName("domain_" + name), Address: name,
	}
}

// process runs Decide for one process and keeps its state.
type process struct {
	t       *testing.T
	state   bllead.State
	now     time.Duration
	effects []bllead.Effect
	// claim is the claim of the latest attempt to acquire the lease.
	claim bllead.Claim
}

func newProcess(t *testing.T) *process {
	t.Helper()
	return &process{
		t: t, now: 10 * time.Second,
		state: bllead.New(host("a"), bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin}),
	}
}

func (p *process) instant() bltimer.Instant { return bltimer.Instant(p.now) }

func (p *process) send(message bllead.Message) {
	p.state, p.effects = bllead.Decide(p.state, message, p.instant())
	if acquire, ok := effect[bllead.AcquireLease](p); ok {
		p.claim = acquire.Claim
	}
}

func effect[E bllead.Effect](p *process) (E, bool) {
	for _, e := range p.effects {
		if found, ok := e.(E); ok {
			return found, true
		}
	}
	var none E
	return none, false
}

func record(term uint64, lead, standby string) bllead.Stored {
	stored := bllead.Stored{Revision: term * 10, Record: bllead.Record{Term: term, Lead: host(lead)}}
	if standby != "" {
		stored.Record.Standby = host(standby)
	}
	return stored
}

// lead makes the process lead in term 1 with b as its standby.
func (p *process) lead() {
	p.t.Helper()
	p.leadWith([]blvalue.Host{host("a"), host("b")})
}

// confirmWrite confirms the write of the record among the latest effects, if any.
func (p *process) confirmWrite() {
	write, ok := effect[bllead.WriteRecord](p)
	if !ok {
		return
	}
	p.send(bllead.RecordWritten{
		WriteID: write.Record.WriteID, Outcome: blplatform.Written,
		Current: bllead.Stored{Record: write.Record, Revision: write.Base + 1},
	})
}

// leadWith makes the process lead in term 1 with the given peers.
func (p *process) leadWith(peers []blvalue.Host) {
	p.t.Helper()
	p.send(bllead.PeersSeen{Peers: peers})
	p.send(bllead.RecordRead{})
	if _, ok := effect[bllead.AcquireLease](p); !ok {
		p.t.Fatalf("effects: got %v, want AcquireLease", p.effects)
	}
	p.send(bllead.LeaseAcquired{SentAt: p.instant(), Claim: p.claim, Lease: "lease_1"})
	write, ok := effect[bllead.WriteRecord](p)
	if !ok {
		p.t.Fatalf("effects: got %v, want WriteRecord", p.effects)
	}
	p.send(bllead.RecordWritten{
		WriteID: write.Record.WriteID, Outcome: blplatform.Written,
		Current: bllead.Stored{Record: write.Record, Revision: 1},
	})
	if got, want := p.state.Role(), bllead.RoleLeading; got != want {
		p.t.Fatalf("role: got %s, want %s", got, want)
	}
}

// stored returns the record as it is in the store.
func (p *process) stored() bllead.Stored {
	return bllead.Stored{Record: p.state.Record(), Revision: 1}
}

func (p *process) holds() bool {
	return p.state.Authority(p.instant()).Holds(p.instant())
}
