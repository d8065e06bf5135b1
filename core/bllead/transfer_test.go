package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func TestLeadThatLostTheStoreTransfersToItsStandby(t *testing.T) {
	answered := bllead.StandbyAnswer{Incarnation: host("b").Incarnation, StoreAnswers: true}
	cases := []struct {
		name  string
		since time.Duration
		want  bool
	}{
		{"store answers the lead as well", 0, false},
		{"store has not answered the lead", lease * 3 / 4, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.lead()
			// The lead renews its lease at ticks; the store answers none of the
			// renewals.
			for end := p.now + c.since; p.now < end; p.now += tick {
				p.send(bllead.Tick{})
			}
			p.send(bllead.StandbyAnswered{SentAt: p.instant(), Asked: host("b").Incarnation, Answer: answered})
			call, ok := effect[bllead.AskStandby](p)
			if got := ok && call.Resigned == p.claim; got != c.want {
				t.Errorf("transfers to the standby: got %t, want %t", got, c.want)
			}
			if got := p.holds(); got == c.want {
				t.Errorf("holds: got %t, want %t", got, !c.want)
			}
		})
	}
}

func TestStandbyReplacesOnlyTheResignedLease(t *testing.T) {
	cases := []struct {
		name string
		read bllead.RecordRead
		want bool
	}{
		{"resigned lease", bllead.RecordRead{LeaseHolder: "x_run", LeaseClaim: "x_run#1"}, true},
		{"later lease of the same process", bllead.RecordRead{LeaseHolder: "x_run", LeaseClaim: "x_run#2"}, false},
		{"lease of another process", bllead.RecordRead{LeaseHolder: "y_run", LeaseClaim: "y_run#1"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.send(bllead.StandbyAsked{
				Term: 3, Lead: host("x"), Standby: "a_run", Resigned: "x_run#1", Reply: blring.NewReply[bllead.StandbyAnswer](),
			})
			c.read.Stored, c.read.LeaseRevision = record(3, "x", "a"), 7
			p.send(c.read)
			acquire, got := effect[bllead.AcquireLease](p)
			if got != c.want || got && acquire.Revision != 7 {
				t.Errorf("acquires the lease: got %t at %d, want %t", got, acquire.Revision, c.want)
			}
		})
	}
}

func TestHoldingLeadTransfersToANodeThatReachesTheStore(t *testing.T) {
	cases := []struct {
		name   string
		answer bllead.StandbyAnswer
		want   bool
	}{
		{"node reaches the store", bllead.StandbyAnswer{Incarnation: "c_run", StoreAnswers: true}, true},
		{"node doesn't reach the store either", bllead.StandbyAnswer{Incarnation: "c_run"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: time.Minute})
			p.lead()
			p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("b"), host("c")}, Known: 2, Active: 2, Candidate: host("c")})
			p.send(bllead.StandbyAnswered{
				SentAt: p.instant() + bltimer.Instant(lease/2), Asked: "b_run",
				Answer: bllead.StandbyAnswer{Incarnation: "b_run", Promised: true},
			})
			p.now += lease
			p.send(bllead.Tick{})
			if got, want := p.state.Role(), bllead.RoleHolding; got != want {
				t.Fatalf("role: got %s, want %s", got, want)
			}
			probed := false
			for _, e := range p.effects {
				ask, ok := e.(bllead.AskStandby)
				probed = probed || ok && ask.Probe && ask.Standby == host("c")
			}
			if !probed {
				t.Fatalf("effects: got %v, want a probe of c", p.effects)
			}
			p.send(bllead.StandbyAnswered{SentAt: p.instant(), Asked: "c_run", Answer: c.answer})
			call, ok := effect[bllead.AskStandby](p)
			if got := ok && call.Resigned == p.claim && call.Standby == host("c"); got != c.want {
				t.Errorf("transfers to the node: got %t, want %t", got, c.want)
			}
			if got := p.holds(); got == c.want {
				t.Errorf("holds: got %t, want %t", got, !c.want)
			}
		})
	}
}

func TestProcessAskedToTakeOverNeedNotBeNamedInTheRecord(t *testing.T) {
	cases := []struct {
		name string
		term uint64
		want bool
	}{{"term of the lead that asked", 3, true}, {"later term", 4, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.send(bllead.StandbyAsked{
				Term: 3, Lead: host("x"), Standby: "a_run", Resigned: "x_run#1", Reply: blring.NewReply[bllead.StandbyAnswer](),
			})
			p.send(bllead.RecordRead{Stored: record(c.term, "x", "y")})
			if _, got := effect[bllead.AcquireLease](p); got != c.want {
				t.Errorf("takes over: got %t, want %t", got, c.want)
			}
		})
	}
}

func TestResigningLeadLetsAnyProcessTakeOver(t *testing.T) {
	p := newProcess(t)
	p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: time.Minute})
	p.lead()
	p.send(bllead.Resign{})
	write, ok := effect[bllead.WriteRecord](p)
	if !ok || !write.Record.Lead.IsZero() || !write.Record.Standby.IsZero() {
		t.Errorf("record: got %+v, want one without lead and standby", write.Record)
	}
	call, ok := effect[bllead.AskStandby](p)
	if !ok || call.Resigned == "" || call.Standby != host("b") {
		t.Errorf("call: got %+v, want one to the standby", call)
	}
	if p.holds() {
		t.Error("holds: got true, want false")
	}
}

// TestSlowStoreKeepsTheLead guards against a store that answers slowly, but each call
// within its time-out, and makes the lead go back and forth between lead and standby.
func TestSlowStoreKeepsTheLead(t *testing.T) {
	const latency = lease / 6
	p := newProcess(t)
	p.send(bllead.PeersSeen{Peers: []blvalue.Host{host("a"), host("b")}})
	p.send(bllead.RecordRead{})
	// Three calls acquire the lease, and a fourth one writes the record.
	sentAt := p.instant()
	p.now += 3 * latency
	p.send(bllead.LeaseAcquired{SentAt: sentAt, Claim: p.claim, Lease: "lease_1"})
	write, _ := effect[bllead.WriteRecord](p)
	p.now += latency
	p.send(bllead.RecordWritten{
		WriteID: write.Record.WriteID, Outcome: blplatform.Written, Current: bllead.Stored{Record: write.Record, Revision: 1},
	})
	var renewals []time.Duration
	for end := p.now + 10*lease; p.now < end; p.now += tick {
		p.send(bllead.Tick{})
		if _, ok := effect[bllead.RenewLease](p); ok {
			renewals = append(renewals, p.now)
		}
		if call, ok := effect[bllead.AskStandby](p); ok {
			p.send(bllead.StandbyAnswered{
				SentAt: p.instant(), Asked: call.Standby.Incarnation,
				Answer: bllead.StandbyAnswer{Incarnation: call.Standby.Incarnation, StoreAnswers: true},
			})
		}
		if len(renewals) > 0 && p.now >= renewals[0]+latency {
			p.send(bllead.LeaseRenewed{SentAt: bltimer.Instant(renewals[0]), Lease: "lease_1"})
			renewals = renewals[1:]
		}
		if got, want := p.state.Role(), bllead.RoleLeading; got != want {
			t.Fatalf("role after %s: got %s, want %s", p.now-(end-10*lease), got, want)
		}
	}
}
