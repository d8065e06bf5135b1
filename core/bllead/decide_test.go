package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// TestLeadFaults checks which faults end the lead's authority, and which end its
// permission to write to the store.
func TestLeadFaults(t *testing.T) {
	promise := func(p *process, standby string, promised bool) {
		p.send(bllead.StandbyAnswered{
			SentAt: p.instant(), Asked: host(standby).Incarnation,
			Answer: bllead.StandbyAnswer{Incarnation: host(standby).Incarnation, Promised: promised},
		})
	}
	cases := []struct {
		name   string
		after  func(p *process)
		holds  bool
		change bool
	}{
		{"lease renewed", func(p *process) {
			p.now += 300 * time.Millisecond
			p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
			p.now += 300 * time.Millisecond
			p.send(bllead.Tick{})
		}, true, true},
		{"paused past the lease", func(p *process) {
			p.now += lease
			p.send(bllead.Tick{})
		}, false, false},
		{"renewal answered after a pause past the lease", func(p *process) {
			sentAt := p.instant()
			p.now += lease
			p.send(bllead.LeaseRenewed{SentAt: sentAt, Lease: "lease_1"})
		}, false, false},
		{"store down, standby promises", func(p *process) {
			p.now += 300 * time.Millisecond
			promise(p, "b", true)
			p.now += 300 * time.Millisecond
			p.send(bllead.Tick{})
		}, true, false},
		{"store down, standby refuses", func(p *process) {
			p.now += 300 * time.Millisecond
			promise(p, "b", false)
			p.now += 300 * time.Millisecond
			p.send(bllead.Tick{})
		}, false, false},
		{"store down, promise from a process that isn't the standby", func(p *process) {
			p.now += 300 * time.Millisecond
			promise(p, "c", true)
			p.now += 300 * time.Millisecond
			p.send(bllead.Tick{})
		}, false, false},
		{"store down, promise expired", func(p *process) {
			p.now += 300 * time.Millisecond
			promise(p, "b", true)
			p.now += lease
			p.send(bllead.Tick{})
		}, false, false},
		{"store down, standby restarted", func(p *process) {
			p.now += 300 * time.Millisecond
			p.send(bllead.StandbyAnswered{
				SentAt: p.instant(), Asked: host("b").Incarnation, Answer: bllead.StandbyAnswer{Incarnation: "b_again"},
			})
			p.now += 10 * time.Second
			p.send(bllead.Tick{})
		}, true, false},
		{"lease acquired again, then a superseded attempt fails", func(p *process) {
			p.now += 300 * time.Millisecond
			promise(p, "b", true)
			p.now += 300 * time.Millisecond
			p.send(bllead.Tick{})
			p.send(bllead.LeaseAcquired{SentAt: p.instant(), Claim: p.claim, Lease: "lease_2", Stored: p.stored()})
			p.send(bllead.LeaseAcquired{SentAt: p.instant(), Failed: true})
			p.send(bllead.Tick{})
		}, true, true},
		{"lease ended by the store", func(p *process) {
			p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1", Lost: true})
			p.send(bllead.Tick{})
		}, false, false},
		{"unresolved write of the record, then store down", func(p *process) {
			p.now += 300 * time.Millisecond
			p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
			p.now += 300 * time.Millisecond
			p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
			p.now += 300 * time.Millisecond
			p.send(bllead.LeaseRenewed{SentAt: p.instant(), Lease: "lease_1"})
			p.now += 200 * time.Millisecond
			p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("c")}})
			p.send(bllead.Tick{})
			write, ok := effect[bllead.WriteRecord](p)
			if !ok {
				p.t.Fatalf("effects with an unresponsive standby: got %v, want WriteRecord", p.effects)
			}
			p.send(bllead.RecordWritten{WriteID: write.Record.WriteID, Outcome: blplatform.Unresolved})
			promise(p, "b", true)
			p.now += 300 * time.Millisecond
			p.send(bllead.Tick{})
		}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.lead()
			c.after(p)
			if got := p.holds(); got != c.holds {
				t.Errorf("authority: got %t, want %t", got, c.holds)
			}
			if got := p.holds() && p.state.Authority(p.instant()).MayChange; got != c.change {
				t.Errorf("may change: got %t, want %t", got, c.change)
			}
		})
	}
}

func TestInDoubtWriteStaysUnresolvedAndIsResent(t *testing.T) {
	p := newProcess(t)
	p.send(bllead.RecordRead{})
	p.send(bllead.LeaseAcquired{SentAt: p.instant(), Claim: p.claim, Lease: "lease_1"})
	write, _ := effect[bllead.WriteRecord](p)
	p.send(bllead.RecordWritten{WriteID: write.Record.WriteID, Outcome: blplatform.Unresolved})
	p.send(bllead.RecordWritten{WriteID: write.Record.WriteID, Outcome: blplatform.NotSent})
	if !p.state.Unresolved() {
		t.Error("unresolved after not_sent on an in-doubt write: got false, want true")
	}
	p.now += 200 * time.Millisecond
	p.send(bllead.Tick{})
	resent, ok := effect[bllead.WriteRecord](p)
	if !ok || resent.Record.WriteID != write.Record.WriteID || resent.Base != write.Base {
		t.Errorf("resent write: got %+v, want %+v", resent, write)
	}
}

func TestStandbyPromises(t *testing.T) {
	cases := []struct {
		name   string
		before func(p *process)
		asked  bllead.StandbyAsked
		want   bool
	}{
		{"asked with matching term and incarnation", func(*process) {}, bllead.StandbyAsked{Term: 3, Standby: "a_run", WantPromise: true}, true},
		{"not asked for a promise", func(*process) {}, bllead.StandbyAsked{Term: 3, Standby: "a_run"}, false},
		{"asked as another incarnation", func(*process) {}, bllead.StandbyAsked{Term: 3, Standby: "a_old", WantPromise: true}, false},
		{"asked by the lead of an older term", func(p *process) {
			p.send(bllead.RecordRead{Stored: record(4, "x", "y"), LeaseHolder: "x_run"})
			p.now += lease
		}, bllead.StandbyAsked{Term: 3, Standby: "a_run", WantPromise: true}, false},
		{"store reachable from the standby", func(p *process) {
			p.send(bllead.RecordRead{Stored: record(3, "x", "a"), LeaseHolder: "x_run"})
		}, bllead.StandbyAsked{Term: 3, Standby: "a_run", WantPromise: true}, false},
		{"taking over", func(p *process) {
			p.send(bllead.RecordRead{Stored: record(3, "x", "a")})
		}, bllead.StandbyAsked{Term: 3, Standby: "a_run", WantPromise: true}, false},
		{"with an unresolved takeover", func(p *process) {
			p.send(bllead.RecordRead{Stored: record(3, "x", "a")})
			p.send(bllead.LeaseAcquired{SentAt: p.instant(), Claim: p.claim, Lease: "lease_1", Stored: record(3, "x", "a")})
			write, _ := effect[bllead.WriteRecord](p)
			p.send(bllead.RecordWritten{WriteID: write.Record.WriteID, Outcome: blplatform.Unresolved})
			p.now += 2 * time.Second
			p.send(bllead.Tick{})
		}, bllead.StandbyAsked{Term: 3, Standby: "a_run", WantPromise: true}, false},
		{"leaving", func(p *process) { p.send(bllead.Resign{}) }, bllead.StandbyAsked{Term: 3, Standby: "a_run", WantPromise: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			c.before(p)
			c.asked.Reply = blring.NewReply[bllead.StandbyAnswer]()
			p.send(c.asked)
			answer, ok := effect[bllead.AnswerStandby](p)
			if !ok || answer.Answer.Promised != c.want {
				t.Errorf("promised: got %+v, want %t", answer.Answer, c.want)
			}
		})
	}
}
