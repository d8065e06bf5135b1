package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// holdLimit is the hold limit of the processes that see a restored store.
const holdLimit = 3 * time.Second

// restoredAs returns a record of era zero as a store reports it in another era, under a
// number that was assigned again.
func restoredAs(stored bllead.Stored, era blplatform.Era) bllead.Stored {
	stored.Revision = blplatform.NewRevision(era, 1)
	return stored
}

// follower returns a process that knows the record of term 4 with lead x and standby a.
func follower(t *testing.T) *process {
	t.Helper()
	p := newProcess(t)
	p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: holdLimit})
	p.send(bllead.RecordRead{SentAt: p.instant(), Stored: record(4, "x", "a"), LeaseHolder: "x_run", LeaseRevision: 50})
	return p
}

// read delivers reads of the record for the given time, without a lease, and reports
// whether the process acquires the lease.
func (p *process) read(stored bllead.Stored, length time.Duration) bool {
	for end := p.now + length; p.now < end; p.now += tick {
		p.send(bllead.RecordRead{SentAt: p.instant(), Stored: stored})
		if _, ok := effect[bllead.AcquireLease](p); ok {
			return true
		}
	}
	return false
}

// TestRestoredRecordGivesNoQuickTakeover guards against a takeover by a record and an
// absent lease of a restored store, while the lead of the lost writes still acts.
func TestRestoredRecordGivesNoQuickTakeover(t *testing.T) {
	called := func(p *process) {
		p.send(bllead.StandbyAsked{Term: 4, Standby: "a_run", Reply: blring.NewReply[bllead.StandbyAnswer]()})
	}
	cases := []struct {
		name   string
		before func(p *process)
		found  bllead.Stored
		want   time.Duration
	}{
		{"named as standby", func(*process) {}, record(3, "x", "a"), lease + margin + holdLimit},
		{"no standby named", func(*process) {}, record(3, "x", ""), lease + margin + holdLimit},
		{"no lead named", func(*process) {}, bllead.Stored{Record: bllead.Record{Term: 3}, Revision: 30}, lease + margin + holdLimit},
		{"called as standby, lead may run", called, record(3, "x", "a"), lease + margin + holdLimit},
		{"called as standby, lead terminated", func(p *process) {
			called(p)
			p.send(bllead.Identified{Asked: "x_run", Incarnation: "x_again"})
		}, record(4, "x", "a"), lease + margin},
		{"a later term was heard of", func(p *process) {
			called(p)
			p.send(bllead.Identified{Asked: "x_run", Incarnation: "x_again"})
			p.send(bllead.LeadResponded{Term: 5})
		}, record(4, "x", "a"), lease + margin + holdLimit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := follower(t)
			c.before(p)
			found := restoredAs(c.found, 1)
			p.now += time.Second
			if p.read(found, c.want) {
				t.Fatalf("acquires the lease: got at %v, want no sooner than after %v", p.now, c.want)
			}
			if !p.read(found, 2*time.Second) {
				t.Errorf("acquires the lease: got never, want after %v", c.want)
			}
		})
	}
}

// TestUnreadableRecordGivesNoQuickTakeover guards against a takeover by a record that
// another writer made unreadable, while the lead that it named goes on without the store.
func TestUnreadableRecordGivesNoQuickTakeover(t *testing.T) {
	for _, era := range []blplatform.Era{0, 1} {
		p := newFreshProcess(t)
		revision := blplatform.NewRevision(era, 40)
		found := bllead.Stored{Record: bllead.Record{Term: bllead.TermBound(revision)}, Revision: revision}
		if p.read(found, lease+margin+holdLimit) {
			t.Errorf("era %d: acquires the lease: got at %v, want no sooner than after %v", era, p.now, lease+margin+holdLimit)
			continue
		}
		if !p.read(found, 2*time.Second) {
			t.Errorf("era %d: acquires the lease: got never, want after %v", era, lease+margin+holdLimit)
		}
	}
}

// TestTermAfterRestoreExceedsLostOnes guards against a term that an earlier era has used
// already, since the record that held it is lost.
func TestTermAfterRestoreExceedsLostOnes(t *testing.T) {
	p := newProcess(t)
	p.send(bllead.RecordRead{SentAt: p.instant(), Stored: bllead.Stored{
		Record: bllead.Record{Term: 3, Era: 2}, Revision: blplatform.NewRevision(2, 7),
	}})
	p.send(bllead.LeaseAcquired{
		SentAt: p.instant(), Claim: p.claim, Lease: "lease_1", LeaseRevision: blplatform.NewRevision(2, 8),
		Stored: bllead.Stored{Record: bllead.Record{Term: 3, Era: 2}, Revision: blplatform.NewRevision(2, 7)},
	})
	write, ok := effect[bllead.WriteRecord](p)
	if floor := bllead.TermFloor(2); !ok || write.Record.Term <= floor || write.Record.Era != 2 {
		t.Errorf("record: got term %d of era %d, want more than %d of era 2", write.Record.Term, write.Record.Era, floor)
	}
}

// claimAt returns the record that the process writes once it has the lease's key at the
// given revision and has then read the record.
func (p *process) claimAt(lease uint64, stored bllead.Stored) bllead.Record {
	p.t.Helper()
	if !p.read(stored, 10*time.Second) {
		p.t.Fatalf("acquires the lease: got never, want within 10 s")
	}
	p.send(bllead.LeaseAcquired{SentAt: p.instant(), Claim: p.claim, Lease: "lease_1", LeaseRevision: lease, Stored: stored})
	write, ok := effect[bllead.WriteRecord](p)
	if !ok {
		p.t.Fatalf("effects: got %v, want WriteRecord", p.effects)
	}
	return write.Record
}

// TestTermsRiseAfterAnUnreadableRecordIsLost guards against a term that falls where the
// term of an unreadable record, or of those after it, was lost in a restore.
func TestTermsRiseAfterAnUnreadableRecordIsLost(t *testing.T) {
	const (
		// number is the store's number of the unreadable record, beyond the terms of an era.
		number = 500_000
		// lost is the number of writes that the restore loses.
		lost = 300
	)
	revision := blplatform.NewRevision
	unreadable := bllead.Stored{Record: bllead.Record{Term: bllead.TermBound(revision(1, number))}, Revision: revision(1, number)}
	before := newFreshProcess(t).claimAt(revision(1, number+1), unreadable)
	readable := func(era blplatform.Era) bllead.Stored {
		return bllead.Stored{
			Record:   bllead.Record{Term: bllead.TermFloor(1) + 1, Era: 1, Lead: host("x")},
			Revision: revision(era, number-lost-1),
		}
	}
	cases := []struct {
		name  string
		era   blplatform.Era
		found bllead.Stored
	}{
		{"restored to a readable record", 2, readable(2)},
		{"restored twice", 3, readable(3)},
		{"restored to no record", 2, bllead.Stored{}},
		{"restored to an unreadable record", 2, bllead.Stored{
			Record: bllead.Record{Term: bllead.TermBound(revision(2, number-lost))}, Revision: revision(2, number-lost),
		}},
		{"unreadable again in the same era", 1, bllead.Stored{
			Record: bllead.Record{Term: bllead.TermBound(revision(1, number+3))}, Revision: revision(1, number+3),
		}},
		{"removed in the same era", 1, bllead.Stored{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lease := revision(c.era, number+4)
			if c.era > 1 {
				lease = revision(c.era, number-lost+1)
			}
			if got := newFreshProcess(t).claimAt(lease, c.found).Term; got <= before.Term {
				t.Errorf("term of a process without memory: got %d, want more than %d", got, before.Term)
			}
		})
	}
}

// newFreshProcess returns a process that has just started, with a hold limit.
func newFreshProcess(t *testing.T) *process {
	t.Helper()
	p := newProcess(t)
	p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: holdLimit})
	return p
}

// TestLeaseOfEarlierEraGivesNoTerm guards against a lease that is acquired just before
// the store is restored, and a record that is read after. The lease doesn't exist any
// more, so that another process may acquire it.
func TestLeaseOfEarlierEraGivesNoTerm(t *testing.T) {
	p := newProcess(t)
	p.send(bllead.RecordRead{SentAt: p.instant(), Stored: record(4, "x", "")})
	p.send(bllead.LeaseAcquired{
		SentAt: p.instant(), Claim: p.claim, Lease: "lease_1", LeaseRevision: 50,
		Stored: bllead.Stored{Record: bllead.Record{Term: 8200, Era: 1}, Revision: blplatform.NewRevision(1, 9)},
	})
	if got, want := p.state.Role(), bllead.RoleFollower; got != want {
		t.Errorf("role: got %s, want %s", got, want)
	}
}

// leaseGone tells the lead that the restored store doesn't know its lease.
func (p *process) leaseGone(found bllead.Stored) {
	p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1", Lost: true, Read: true, Stored: found})
}

// TestLeadWritesItsRecordAgainAfterRestore guards against a lead that gives way to an
// older record of a restored store, though it has authority and knows the later one.
func TestLeadWritesItsRecordAgainAfterRestore(t *testing.T) {
	older := bllead.Stored{Record: bllead.Record{Term: 1, Lead: host("a"), WriteID: "earlier"}, Revision: blplatform.NewRevision(1, 1)}
	later := bllead.Stored{Record: bllead.Record{Term: 8200, Lead: host("c"), Era: 1}, Revision: blplatform.NewRevision(1, 9)}
	cases := []struct {
		name  string
		found bllead.Stored
		want  bool
	}{
		{"older record of the same term", older, true},
		{"no record", bllead.Stored{}, true},
		{"record of a later term", later, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.lead()
			p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("b"), host("c")}})
			p.leaseGone(c.found)
			if !c.want {
				if p.holds() {
					t.Error("authority: got true, want false")
				}
				return
			}
			if !p.holds() || p.state.Authority(p.instant()).MayChange {
				t.Fatal("lead whose lease is gone: got no authority or permission to write, want authority alone")
			}
			p.send(bllead.Tick{})
			if _, ok := effect[bllead.AcquireLease](p); !ok {
				t.Fatalf("effects: got %v, want AcquireLease", p.effects)
			}
			p.send(bllead.LeaseAcquired{
				SentAt: p.instant(), Claim: p.claim, Lease: "lease_2", LeaseRevision: blplatform.NewRevision(1, 9), Stored: c.found,
			})
			if !p.holds() {
				t.Error("authority: got false, want true")
			}
			write, ok := effect[bllead.WriteRecord](p)
			if !ok || write.Record.Term != 1 || write.Record.Era != 1 || write.Base != c.found.Revision {
				t.Errorf("record written again: got %t %+v, want term 1, era 1", ok, write)
			}
		})
	}
}

// TestClaimOfAnotherRecordGivesNoTerm guards against a process that leads in the term of
// another one: its own record is written, but the store has shown a later one meanwhile,
// or the answer doesn't tell its era.
func TestClaimOfAnotherRecordGivesNoTerm(t *testing.T) {
	const era = 1
	revision := func(number uint64) uint64 { return blplatform.NewRevision(era, number) }
	ended := bllead.Stored{Record: bllead.Record{Term: bllead.TermFloor(era) + 4, Era: era, Lead: host("x")}, Revision: revision(40)}
	later := bllead.Stored{Record: bllead.Record{Term: bllead.TermFloor(era+1) + 1, Era: era + 1, Lead: host("x")}, Revision: blplatform.NewRevision(era+1, 40)}
	cases := []struct {
		name string
		// read is a record that is read before the answer to the write.
		read bllead.Stored
		// written is the revision in that answer.
		written uint64
		want    bllead.Role
	}{
		{"written", ended, revision(41), bllead.RoleLeading},
		{"written before a later record", later, revision(41), bllead.RoleFollower},
		{"answer without an era", ended, 41, bllead.RoleFollower},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.send(bllead.RecordRead{SentAt: p.instant(), Stored: ended})
			p.send(bllead.LeaseAcquired{SentAt: p.instant(), Claim: p.claim, Lease: "lease_1", LeaseRevision: revision(50), Stored: ended})
			write, ok := effect[bllead.WriteRecord](p)
			if !ok {
				t.Fatalf("effects: got %v, want WriteRecord", p.effects)
			}
			p.send(bllead.RecordRead{SentAt: p.instant(), Stored: c.read})
			p.send(bllead.RecordWritten{
				WriteID: write.Record.WriteID, Outcome: blplatform.Written,
				Current: bllead.Stored{Record: write.Record, Revision: c.written},
			})
			if got := p.state.Role(); got != c.want {
				t.Errorf("role: got %s in term %d, want %s", got, p.state.Authority(p.instant()).Term, c.want)
			}
		})
	}
}

// TestLeaseNumberGivenOutAgainIsNoLease guards against a lead that renews the lease of
// another process, to which the restored store has given the number of the lost one.
func TestLeaseNumberGivenOutAgainIsNoLease(t *testing.T) {
	cases := []struct {
		name string
		// mine is set where the restored store holds this lead's own lease.
		mine bool
	}{{"own lease restored", true}, {"lease of another process", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.lead()
			read := bllead.RecordRead{
				Stored:     bllead.Stored{Record: p.state.Record(), Revision: blplatform.NewRevision(1, 1)},
				LeaseClaim: "c_run#1", LeaseHolder: "c_run", LeaseRevision: blplatform.NewRevision(1, 9),
			}
			if c.mine {
				read.LeaseClaim, read.LeaseHolder = p.claim, "a_run"
			}
			until := p.state.Authority(p.instant()).Until
			p.now += lease / 4
			p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1", Era: 1})
			if got := p.state.Authority(p.instant()).Until; got != until {
				t.Errorf("authority before the claim is known: got until %v, want %v", got, until)
			}
			if _, ok := effect[bllead.ReadRecord](p); !ok {
				t.Fatalf("effects: got %v, want ReadRecord", p.effects)
			}
			read.SentAt = p.instant()
			p.send(read)
			p.send(bllead.Tick{})
			if _, renews := effect[bllead.RenewLease](p); renews != c.mine {
				t.Errorf("renews the lease: got %t, want %t", renews, c.mine)
			}
			p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1", Era: 1})
			if got := p.state.Authority(p.instant()); got.MayChange != c.mine || got.Until > until != c.mine {
				t.Errorf("authority after the next renewal: got %+v, want one that is extended and may change the store: %t", got, c.mine)
			}
		})
	}
}

// TestLargeFleetReplacesALostLead guards against a fleet without a lead for good: its
// followers read the record so seldom that they never know how long the lease is absent.
func TestLargeFleetReplacesALostLead(t *testing.T) {
	p := newProcess(t)
	p.state = p.state.WithTiming(bllead.Timing{Lease: 1500 * time.Millisecond, GrantTTL: 2 * time.Second, ClockMargin: margin, HoldLimit: holdLimit})
	p.send(bllead.NodesCounted{Nodes: 195})
	p.send(bllead.RecordRead{SentAt: p.instant(), Stored: record(4, "x", "b"), LeaseHolder: "x_run", LeaseRevision: 50})
	found := restoredAs(record(3, "y", "b"), 1)
	for end := p.now + 30*time.Second; p.now < end; p.now += tick {
		p.send(bllead.Tick{})
		if _, ok := effect[bllead.ReadRecord](p); !ok {
			continue
		}
		p.send(bllead.RecordRead{SentAt: p.instant(), Stored: found})
		if _, ok := effect[bllead.AcquireLease](p); ok {
			return
		}
	}
	t.Error("acquires the lease: got never, want once the hold limit has passed")
}
