package bldeliver_test

import (
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// sharedHost is a host whose other workloads slow its upstream down for slowLength at the
// beginning of each slowCycle. The zero value is a host without such workloads.
type sharedHost struct {
	slowdown float64
	// reports returns what the upstream reports, or is nil if it reports nothing.
	reports func(slow bool) int
}

const (
	slowCycle  = 2 * time.Second
	slowLength = 400 * time.Millisecond
)

func (h sharedHost) slow(at time.Duration) bool {
	return h.slowdown > 1 && at%slowCycle < slowLength
}

// end returns when work ends that begins at a time and takes usual at the usual pace.
func (h sharedHost) end(at, usual time.Duration) time.Duration {
	const step = time.Millisecond
	if h.slowdown <= 1 {
		return at + usual
	}
	for usual > 0 {
		done := step
		if h.slow(at) {
			done = time.Duration(float64(step) / h.slowdown)
		}
		usual -= done
		at += step
	}
	return at
}

func (h sharedHost) report(at time.Duration) blvalue.UpstreamReport {
	if h.reports == nil {
		return blvalue.UpstreamReport{}
	}
	return blvalue.UpstreamReport{WorkPercent: h.reports(h.slow(at))}
}

func truthful(slow bool) int {
	if slow {
		return 300
	}
	return 100
}

// TestSlowPeriods replays a host on which work takes three times as long for a fifth of the
// time, near the capacity that this leaves. With reports, requests that can't be in time
// during a slow period are refused, for which the caller's node tries another upstream;
// without them they were answered late. False reports must cost nothing.
func TestSlowPeriods(t *testing.T) {
	const load, tolerance = 0.75, 0.02
	events := arrivals(5, load)
	blind := simulateDeliveryOn(sharedHost{slowdown: 3}, events)
	cases := map[string]struct {
		reports   func(slow bool) int
		fewerLate bool
	}{
		"true reports":    {reports: truthful, fewerLate: true},
		"reversed":        {reports: func(slow bool) int { return truthful(!slow) }},
		"always slow":     {reports: func(bool) int { return 300 }},
		"beyond measure":  {reports: func(slow bool) int { return 100 * truthful(slow) }, fewerLate: true},
		"always as usual": {reports: func(bool) int { return 100 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := simulateDeliveryOn(sharedHost{slowdown: 3, reports: c.reports}, events)
			t.Logf("in time %.3f of %.3f without reports, late %d of %d, refused %d of %d",
				got.total(), blind.total(), got.late(), blind.late(), got.refused, blind.refused)
			if got.total() < blind.total()-tolerance {
				t.Errorf("answered in time: got %.3f, want no less than %.3f without reports", got.total(), blind.total())
			}
			if c.fewerLate && got.late() >= blind.late() {
				t.Errorf("answered late: got %d, want fewer than %d without reports", got.late(), blind.late())
			}
		})
	}
}

// late returns the number of requests that were answered after their latency goal.
func (s *served) late() int {
	late := -s.refused
	for class := range s.all {
		late += s.all[class] - s.inGoal[class]
	}
	return late
}

// TestWorkPace checks for which time a report of a slow period counts, and that it does so
// only where the measured latencies bear it out.
func TestWorkPace(t *testing.T) {
	const usual = 100 * time.Millisecond
	at := func(d time.Duration) bltimer.Instant { return bltimer.Instant(time.Minute + d) }
	slow, normal := blvalue.UpstreamReport{WorkPercent: 300}, blvalue.UpstreamReport{WorkPercent: 100}
	measured := func(slowLatency time.Duration) bldeliver.WorkPace {
		var w bldeliver.WorkPace
		for range 8 {
			w = w.WithLatency(normal, usual, usual).WithLatency(slow, slowLatency, usual)
		}
		return w
	}
	tests := map[string]struct {
		pace bldeliver.WorkPace
		now  time.Duration
		want time.Duration
	}{
		"no report":              {measured(3 * usual), 0, usual},
		"slow":                   {measured(3*usual).WithReport(slow, at(0)), 0, 3 * usual},
		"end of the slow period": {measured(3*usual).WithReport(slow, at(0)), 250 * time.Millisecond, 200 * time.Millisecond},
		"old report":             {measured(3*usual).WithReport(slow, at(0)), 400 * time.Millisecond, usual},
		"slow period goes on":    {measured(3*usual).WithReport(slow, at(0)).WithReport(slow, at(300*time.Millisecond)), 400 * time.Millisecond, usual},
		"usual again":            {measured(3*usual).WithReport(slow, at(0)).WithReport(normal, at(time.Millisecond)), 0, usual},
		"not borne out":          {measured(usual).WithReport(slow, at(0)), 0, usual},
		"faster when slow":       {measured(usual/2).WithReport(slow, at(0)), 0, usual},
		"bounded":                {measured(30*usual).WithReport(slow, at(0)), 0, 4 * usual},
		"too few measured":       {bldeliver.WorkPace{}.WithLatency(slow, 3*usual, usual).WithReport(slow, at(0)), 0, usual},
		"missing report":         {measured(3*usual).WithReport(slow, at(0)).WithReport(blvalue.UpstreamReport{}, at(time.Millisecond)), 0, 3 * usual},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.pace.Stretched(usual, at(test.now)).Round(time.Microsecond); got != test.want {
				t.Errorf("duration of work: got %v, want %v", got, test.want)
			}
		})
	}
}
