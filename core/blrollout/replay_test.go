package blrollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/blrollout"
)

// started returns a fleet with an established lead at the time of the order.
func started(o simOptions) *fleetSim {
	sim := newFleetSim(o)
	sim.elect()
	sim.runUntil(orderAt)
	sim.writeOrder(newVersion)
	return sim
}

// endedAfter returns how long after the order its end was reported, or zero.
func (sim *fleetSim) endedAfter() time.Duration {
	if len(sim.store.finals) == 0 {
		return 0
	}
	return sim.store.finalAt - orderAt
}

// exposureLimit returns how many requests a bad version may get.
func (sim *fleetSim) exposureLimit() int { return sim.total/10 + 50 }

// lateExposure returns how long after its 50th bad answer the version got a request.
func (sim *fleetSim) lateExposure() time.Duration {
	const bad = 50
	if len(sim.badAt) < bad {
		return 0
	}
	return sim.lastExposedAt - sim.badAt[bad-1]
}

func large(heartbeat, duration time.Duration) simOptions {
	return simOptions{old: 53, added: 53, rate: 1500, heartbeat: heartbeat, duration: duration}
}

func small(rate float64, heartbeat, duration time.Duration) simOptions {
	return simOptions{old: 5, added: 5, rate: rate, heartbeat: heartbeat, duration: duration}
}

func failing(part float64) behaviour {
	return func(*simNode, string, time.Duration) (float64, float64) { return part, 1 }
}

func slow(part float64) behaviour {
	return func(n *simNode, _ string, _ time.Duration) (float64, float64) {
		if n.sim.random.Float64() < part {
			return 0, 8
		}
		return 0, 1
	}
}

func late(after time.Duration, then behaviour) behaviour {
	return func(n *simNode, class string, now time.Duration) (float64, float64) {
		if now < after {
			return healthy(n, class, now)
		}
		return then(n, class, now)
	}
}

func oneClass(class string, then behaviour) behaviour {
	return func(n *simNode, c string, now time.Duration) (float64, float64) {
		if c != class {
			return healthy(n, c, now)
		}
		return then(n, c, now)
	}
}

// underLoad is bad while at least so many requests run.
func underLoad(running int, then behaviour) behaviour {
	return func(n *simNode, class string, now time.Duration) (float64, float64) {
		if n.running < running {
			return healthy(n, class, now)
		}
		return then(n, class, now)
	}
}

// oneHost is bad at the first host of the version only.
func oneHost(then behaviour) behaviour {
	return func(n *simNode, class string, now time.Duration) (float64, float64) {
		if n.index != n.sim.old {
			return healthy(n, class, now)
		}
		return then(n, class, now)
	}
}

// uneven is behaviour b on hosts whose speeds differ permanently by a factor of three, and
// that are three times slower for a fifth of the time.
func uneven(b behaviour) behaviour {
	speeds := []float64{0.7, 0.8, 1, 1, 1.1, 1.3, 1.6, 2.2}
	const slowPeriod, periods = 400 * time.Millisecond, 5
	return func(n *simNode, class string, now time.Duration) (float64, float64) {
		failing, slowness := b(n, class, now)
		slowness *= speeds[n.index*7%len(speeds)]
		if (now/slowPeriod+time.Duration(n.index*3))%periods == 0 {
			slowness *= 3
		}
		return failing, slowness
	}
}

// TestReplays replays roll-outs of good and bad versions in a large and a small fleet.
func TestReplays(t *testing.T) {
	t.Parallel()
	versions := []struct {
		name string
		b    behaviour
		bad  bool
	}{
		{"good on uneven hosts", uneven(healthy), false},
		{"failing on uneven hosts", uneven(failing(0.45)), true},
		{"slow on uneven hosts", uneven(slow(0.45)), true},
		{"good", healthy, false},
		{"failing", failing(0.45), true},
		{"slow", slow(0.45), true},
		{"failing late", late(4*time.Second, failing(0.45)), true},
		{"slow late", late(4*time.Second, slow(0.45)), true},
		{"failing in a class", oneClass("write", failing(0.45)), true},
		{"slow in a class", oneClass("read", slow(0.45)), true},
		{"failing in a rare class", oneClass("upload", failing(0.45)), true},
		{"failing under load", underLoad(3, failing(0.45)), true},
		{"slow host", oneHost(slow(0.5)), false},
		{"failing host", oneHost(failing(0.5)), false},
	}
	for _, size := range []string{"large", "small"} {
		for _, timing := range [][2]time.Duration{{500, 12}, {1200, 12}, {1200, 16}} {
			for _, v := range versions {
				if size == "large" && timing == [2]time.Duration{1200, 12} && v.bad {
					// What differs from the other timings is when a good version completes.
					continue
				}
				if v.name == "slow on uneven hosts" && size == "small" {
					// Too few answers to tell, see docs/design/rollouts.md.
					continue
				}
				heartbeat, duration := timing[0]*time.Millisecond, timing[1]*time.Second
				name := fmt.Sprintf("%s/%s/%v/%v", size, v.name, heartbeat, duration)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					o := large(heartbeat, duration)
					if size == "small" {
						o = small(150, heartbeat, duration)
					}
					o.version, o.seed = v.b, 5
					if strings.Contains(v.name, "uneven") {
						o.others = uneven(healthy)
					}
					sim := started(o)
					sim.runUntil(orderAt + duration + time.Second)
					want := blrollout.PhaseCompleted
					if v.bad {
						want = blrollout.PhaseRolledBack
					}
					t.Logf("%s after %v, exposed %d of %d\n%s", sim.store.status.Phase, sim.endedAfter(), sim.exposed, sim.total, strings.Join(sim.decided, "\n"))
					if got := sim.store.status.Phase; got != want {
						t.Errorf("status: got %s, want %s", got, want)
					}
					if got := sim.endedAfter(); got > duration {
						t.Errorf("end: got after %v, want within %v", got, duration)
					}
					if v.bad && sim.exposed > sim.exposureLimit() {
						t.Errorf("exposed: got %d, want at most %d", sim.exposed, sim.exposureLimit())
					}
					if v.bad && sim.lateExposure() > 5*time.Second {
						t.Errorf("last request after the 50th bad answer: got %v, want at most 5s", sim.lateExposure())
					}
					if len(sim.violations) > 0 {
						t.Errorf("violations: got %v, want none", sim.violations)
					}
				})
			}
		}
	}
}
