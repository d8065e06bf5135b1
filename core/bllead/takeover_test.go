package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

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
		{"no standby named", bllead.RecordRead{Stored: record(3, "x", "")}, true},
		{"no standby named, lease held", bllead.RecordRead{Stored: record(3, "x", ""), LeaseHolder: "x_run"}, false},
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
	p.send(bllead.Identified{Asked: "x_run", Incarnation: "x_again"})
	p.send(bllead.RecordRead{Stored: record(3, "x", "y")})
	if _, got := effect[bllead.AcquireLease](p); got {
		t.Error("takes over when only the lead has terminated: got true, want false")
	}
	p.send(bllead.Identified{Asked: "y_run", Incarnation: "y_run"})
	p.send(bllead.RecordRead{Stored: record(3, "x", "y")})
	if _, got := effect[bllead.AcquireLease](p); got {
		t.Error("takes over when the standby answers: got true, want false")
	}
	p.send(bllead.Identified{Asked: "y_run", Incarnation: "y_again"})
	p.send(bllead.RecordRead{Stored: record(3, "x", "y")})
	if _, got := effect[bllead.AcquireLease](p); !got {
		t.Error("takes over when both have terminated: got false, want true")
	}
}

// TestLateIdentityOfEarlierRunEndsNobody guards against an answer of an earlier run
// of the lead's host that arrives once the record names the later run. It made the
// running lead count as terminated, and its standby replace it at once.
func TestLateIdentityOfEarlierRunEndsNobody(t *testing.T) {
	p := newProcess(t)
	p.send(bllead.RecordRead{Stored: record(3, "x", "a"), LeaseHolder: "x_run"})
	p.send(bllead.Identified{Asked: "x_earlier", Incarnation: "x_before"})
	p.send(bllead.RecordRead{Stored: record(3, "x", "a"), LeaseHolder: "x_run"})
	if _, got := effect[bllead.AcquireLease](p); got {
		t.Error("takes over while the lead's lease is held: got true, want false")
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

func TestTakeOverAfterTheLeadTerminated(t *testing.T) {
	const standbyPriority = time.Second
	lost := []blvalue.Incarnation{"x_run"}
	cases := []struct {
		name  string
		limit time.Duration
		lost  []blvalue.Incarnation
		// first is whether the process takes over at once, and later whether it does
		// when the standby had its time.
		first, later bool
	}{
		{"lead terminated, hold bounded", time.Minute, lost, false, true},
		{"lead and standby terminated, hold bounded", time.Minute, []blvalue.Incarnation{"x_run", "y_run"}, true, true},
		{"lead terminated, hold not bounded", 0, lost, false, false},
		{"lead may be alive", time.Minute, []blvalue.Incarnation{"y_run"}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess(t)
			p.state = p.state.WithTiming(bllead.Timing{Lease: lease, GrantTTL: ttl, ClockMargin: margin, HoldLimit: c.limit})
			p.send(bllead.RecordRead{Stored: record(3, "x", "y"), Lost: c.lost})
			_, first := effect[bllead.AcquireLease](p)
			if first != c.first {
				t.Errorf("takes over at once: got %t, want %t", first, c.first)
			}
			p.now += standbyPriority
			p.send(bllead.RecordRead{Stored: record(3, "x", "y"), Lost: c.lost})
			_, later := effect[bllead.AcquireLease](p)
			if got := first || later; got != c.later {
				t.Errorf("takes over once the standby had its time: got %t, want %t", got, c.later)
			}
		})
	}
}
