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

const (
	lease  = 500 * time.Millisecond
	ttl    = 900 * time.Millisecond
	margin = 30 * time.Millisecond
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

func TestTakeOver(t *testing.T) {
	cases := []struct {
		name string
		read bllead.RecordRead
		want bool
	}{
		{"no record", bllead.RecordRead{}, true},
		{"named as standby, lease absent", bllead.RecordRead{Stored: record(3, "x", "a")}, true},
		{"named as standby, lease held", bllead.RecordRead{Stored: record(3, "x", "a"), LeaseHolder: "x_run"}, false},
		{"named as lead", bllead.RecordRead{Stored: record(3, "a", "x")}, true},
		{"not named", bllead.RecordRead{Stored: record(3, "x", "y")}, false},
		{"only the lead lost", bllead.RecordRead{Stored: record(3, "x", "y"), Lost: []blvalue.Incarnation{"x_run"}}, false},
		{"only the standby lost", bllead.RecordRead{Stored: record(3, "x", "y"), Lost: []blvalue.Incarnation{"y_run"}}, false},
		{"both lost", bllead.RecordRead{Stored: record(3, "x", "y"), Lost: []blvalue.Incarnation{"x_run", "y_run"}}, true},
		{"store read failed", bllead.RecordRead{Stored: record(3, "x", "a"), Failed: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.send(c.read)
			if _, got := effect[bllead.AcquireLease](p); got != c.want {
				t.Errorf("takes over: got %t, want %t", got, c.want)
			}
		})
	}
}

func TestTakeOverOnceLeadAndStandbyTerminated(t *testing.T) {
	p := newProcess(t)
	p.send(bllead.RecordRead{Stored: record(3, "x", "y"), LeaseHolder: "x_run"})
	p.send(bllead.Identified{Address: "x", Incarnation: "x_again"})
	p.send(bllead.RecordRead{Stored: record(3, "x", "y")})
	if _, got := effect[bllead.AcquireLease](p); got {
		t.Error("takes over when only the lead has terminated: got true, want false")
	}
	p.send(bllead.Identified{Address: "y", Incarnation: "y_run"})
	p.send(bllead.RecordRead{Stored: record(3, "x", "y")})
	if _, got := effect[bllead.AcquireLease](p); got {
		t.Error("takes over when the standby answers: got true, want false")
	}
	p.send(bllead.Identified{Address: "y", Incarnation: "y_again"})
	p.send(bllead.RecordRead{Stored: record(3, "x", "y")})
	if _, got := effect[bllead.AcquireLease](p); !got {
		t.Error("takes over when both have terminated: got false, want true")
	}
}

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

func TestPromisePreventsTakeover(t *testing.T) {
	p := newProcess(t)
	p.send(bllead.StandbyAsked{Term: 3, Standby: "a_run", WantPromise: true, Reply: blring.NewReply[bllead.StandbyAnswer]()})
	p.now += lease
	p.send(bllead.RecordRead{Stored: record(3, "x", "a")})
	if _, got := effect[bllead.AcquireLease](p); got {
		t.Error("takes over while its promise is valid: got true, want false")
	}
	p.now += margin
	p.send(bllead.RecordRead{Stored: record(3, "x", "a")})
	if _, got := effect[bllead.AcquireLease](p); !got {
		t.Error("takes over after its promise expired: got false, want true")
	}
}

func TestNewLeadWaitsForEarlierGrantsToExpire(t *testing.T) {
	p := newProcess(t)
	p.lead()
	seen := p.instant()
	p.now += 100 * time.Millisecond
	p.send(bllead.Tick{})
	authority := p.state.Authority(p.instant())
	if got, want := authority.SettledAt(ttl+margin), seen.Add(ttl+margin); got != want {
		t.Errorf("settled at: got %v, want %v", got, want)
	}
}

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
			p.now += c.since
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

func TestTakeOverAfterTheLeadTerminated(t *testing.T) {
	lost := []blvalue.Incarnation{"x_run"}
	cases := []struct {
		name  string
		limit time.Duration
		lost  []blvalue.Incarnation
		want  bool
	}{
		{"lead terminated, hold bounded", time.Minute, lost, true},
		{"lead terminated, hold not bounded", 0, lost, false},
		{"lead may be alive", time.Minute, []blvalue.Incarnation{"y_run"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: c.limit})
			p.send(bllead.RecordRead{Stored: record(3, "x", "y"), Lost: c.lost})
			if _, got := effect[bllead.AcquireLease](p); got != c.want {
				t.Errorf("takes over: got %t, want %t", got, c.want)
			}
		})
	}
}

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
