package blrollout_test

import (
	"strings"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/blvalue"
)

func defaultSmall() simOptions {
	o := small(150, 500*time.Millisecond, 12*time.Second)
	o.seed = 3
	return o
}

// final returns the statuses other than running that were stored.
func (sim *fleetSim) final() string { return strings.Join(sim.store.finals, ", ") }

// TestOrders checks the orders that don't go the usual way.
func TestOrders(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		modify func(o *simOptions)
		run    func(sim *fleetSim)
		want   string
		// within is how long after the order the first end may be stored.
		within time.Duration
	}{
		{"nobody runs the version", func(o *simOptions) { o.added = 0 }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 13*time.Second)
		}, "v2 rolled_back", 13 * time.Second},
		{"everybody runs the version", func(o *simOptions) { o.old, o.startAfter = 0, -time.Minute }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 2*time.Second)
		}, "v2 completed", time.Second},
		{"everybody runs the version, with the platform's freshness", func(o *simOptions) {
			o.old, o.startAfter, o.freshness = 0, -time.Minute, platformFreshness
		}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 2*time.Second)
		}, "v2 completed", time.Second},
		{"the version never answers", func(o *simOptions) { o.startAfter = time.Hour }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 13*time.Second)
		}, "v2 rolled_back", 13 * time.Second},
		{"the version starts late", func(o *simOptions) { o.startAfter = 4 * time.Second }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 13*time.Second)
		}, "v2 completed", 12 * time.Second},
		{"hardly any request", func(o *simOptions) { o.rate = 4 }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 14*time.Second)
		}, "v2 completed", 13 * time.Second},
		{"the version is gone after it has passed", func(*simOptions) {}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 8500*time.Millisecond)
			for _, n := range sim.nodes[sim.old:] {
				n.stopped = true
			}
			sim.runUntil(orderAt + 12*time.Second)
		}, "v2 rolled_back", 9 * time.Second},
		{"removed while it runs", func(*simOptions) {}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 3*time.Second)
			sim.order.Target = ""
			sim.configChanged()
			sim.runUntil(orderAt + 14*time.Second)
		}, "v2 rolled_back", 4 * time.Second},
		{"removed while no lead is there", func(*simOptions) {}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 3*time.Second)
			sim.depose()
			sim.order.Target = ""
			sim.configChanged()
			sim.elect()
			sim.runUntil(orderAt + 14*time.Second)
		}, "v2 rolled_back", 6 * time.Second},
		{"written again while it runs", func(*simOptions) {}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 3*time.Second)
			sim.writeOrder(newVersion)
			sim.runUntil(orderAt + 14*time.Second)
		}, "v2 completed", 12 * time.Second},
		{"written again after its end", func(o *simOptions) { o.version = failing(0.5) }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 10*time.Second)
			sim.writeOrder(newVersion)
			sim.runUntil(orderAt + 24*time.Second)
		}, "v2 rolled_back", 10 * time.Second},
		{"tried again with more time after a rollback", func(o *simOptions) {
			o.version = func(n *simNode, class string, now time.Duration) (float64, float64) {
				if now < 20*time.Second {
					return 0.5, 1
				}
				return healthy(n, class, now)
			}
		}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 20*time.Second)
			sim.duration = 14 * time.Second
			sim.writeOrder(newVersion)
			sim.runUntil(orderAt + 34*time.Second)
		}, "v2 rolled_back, v2 completed", 34 * time.Second},
		{"superseded by the old version", func(*simOptions) {}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 3*time.Second)
			sim.writeOrder(oldVersion)
			sim.runUntil(orderAt + 20*time.Second)
		}, "v1 completed", 8 * time.Second},
		{"superseded by the old version, and the lead is killed", func(o *simOptions) { o.freshness = platformFreshness }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 3*time.Second)
			sim.writeOrder(oldVersion)
			sim.runUntil(orderAt + 4*time.Second)
			sim.elect()
			sim.runUntil(orderAt + 20*time.Second)
		}, "v1 completed", 7 * time.Second},
		{"everybody runs the version, and the lead is killed", func(o *simOptions) {
			o.old, o.startAfter, o.freshness = 0, -time.Minute, platformFreshness
		}, func(sim *fleetSim) {
			sim.runUntil(orderAt + 40*time.Millisecond)
			sim.elect()
			sim.runUntil(orderAt + 14*time.Second)
		}, "v2 completed", 4 * time.Second},
		{"the store is restored while it runs", func(*simOptions) {}, func(sim *fleetSim) {
			copied := sim.store.copy()
			sim.runUntil(orderAt + 4*time.Second)
			sim.store.restore(copied)
			sim.runUntil(orderAt + 14*time.Second)
		}, "v2 completed", 12 * time.Second},
		{"the store is restored after the end", func(o *simOptions) { o.version = failing(0.5) }, func(sim *fleetSim) {
			sim.runUntil(orderAt + 2*time.Second)
			copied := sim.store.copy()
			sim.runUntil(orderAt + 11*time.Second)
			sim.store.restore(copied)
			sim.runUntil(orderAt + 20*time.Second)
		}, "v2 rolled_back, v2 rolled_back", 13 * time.Second},
		{"the store is out from the first second on", func(*simOptions) {}, func(sim *fleetSim) {
			sim.runUntil(orderAt + time.Second)
			sim.store.down = true
			sim.runUntil(orderAt + 14*time.Second)
			sim.store.down = false
			sim.runUntil(orderAt + 16*time.Second)
		}, "v2 completed", 16 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := defaultSmall()
			c.modify(&o)
			sim := started(o)
			c.run(sim)
			t.Log(strings.Join(sim.decided, "\n"), sim.store.record)
			if got := sim.final(); got != c.want {
				t.Errorf("ends: got %q, want %q", got, c.want)
			}
			if got := sim.endedAfter(); got > c.within {
				t.Errorf("end: got after %v, want within %v", got, c.within)
			}
			if len(sim.violations) > 0 {
				t.Errorf("violations: got %v, want none", sim.violations)
			}
		})
	}
}

// TestRepeatedReportsChangeNothing checks that a report that arrives again counts once.
func TestRepeatedReportsChangeNothing(t *testing.T) {
	t.Parallel()
	sim := started(defaultSmall())
	sim.runUntil(orderAt + 4*time.Second)
	l := sim.lead()
	before := l.state.Views(sim.instant())
	for range 3 {
		for _, n := range sim.nodes {
			if reported := l.lastResults[n.index]; len(reported) > 0 {
				l.send(blrollout.ResultsSeen{Reported: l.reported(n, reported)})
			}
		}
	}
	after := l.state.Views(sim.instant())
	if got, want := after[0].Requests, before[0].Requests; got != want {
		t.Errorf("requests: got %d, want %d", got, want)
	}
	for i, want := range before[0].Results {
		if got := after[0].Results[i]; got != want {
			t.Errorf("results: got %+v, want %+v", got, want)
		}
	}
}

// TestDomainThatIsOutDoesNotDecide checks that canaries in a failure domain that operators
// take out are replaced, and what they did there doesn't count.
func TestDomainThatIsOutDoesNotDecide(t *testing.T) {
	t.Parallel()
	o := large(500*time.Millisecond, 12*time.Second)
	o.rate, o.seed = 600, 9
	failsInDomain := func(n *simNode, class string, now time.Duration) (float64, float64) {
		if n.host.Domain == "d1" && now > 3*time.Second {
			return 0.6, 1
		}
		return healthy(n, class, now)
	}
	o.version, o.others = failsInDomain, failsInDomain
	sim := started(o)
	sim.runUntil(orderAt + 3*time.Second)
	sim.out = map[blvalue.DomainName]blconfig.DomainState{"d1": blconfig.DomainOut}
	sim.configChanged()
	sim.runUntil(orderAt + 5*time.Second)
	for _, canary := range sim.lead().state.Views(sim.instant())[0].Canaries {
		for _, n := range sim.nodes {
			if n.upstream.Incarnation == canary && n.host.Domain == "d1" {
				t.Errorf("canary: got %s in d1, want one in another domain", canary)
			}
		}
	}
	sim.runUntil(orderAt + 14*time.Second)
	if got, want := sim.final(), "v2 completed"; got != want {
		t.Errorf("ends: got %q, want %q: %v", got, want, sim.decided)
	}
}

// TestCanariesAreSpreadOverDomains checks the choice of the first canaries.
func TestCanariesAreSpreadOverDomains(t *testing.T) {
	t.Parallel()
	sim := started(large(500*time.Millisecond, 12*time.Second))
	sim.runUntil(orderAt + 2*time.Second)
	domains := map[blvalue.DomainName]int{}
	for _, canary := range sim.lead().state.Views(sim.instant())[0].Canaries {
		for _, n := range sim.nodes {
			if n.upstream.Incarnation == canary {
				domains[n.host.Domain]++
			}
		}
	}
	// Upstreams join one after another, so that not all domains have one at the first choice.
	if got, want := len(domains), 3; got < want {
		t.Errorf("domains of canaries: got %v, want at least %d", domains, want)
	}
}
