package blrollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"bergamotlead/core/blrollout"
	"bergamotlead/core/blvalue"
)

// stream draws the results of one class, period by period.
type stream struct {
	random *rand.Rand
	// canaries is the number of upstreams of the version with perSecond results each.
	canaries, perSecond int
	// failing and slow are the parts of the version's requests that fail and that take
	// eight times as long, from the period from on. othersFailing is the one of the others.
	failing, slow, othersFailing float64
	from                         int
	// oneBad makes only the first canary bad.
	oneBad bool
}

const (
	usualBucket = 8
	slowBucket  = usualBucket + 3
	// othersPerSecond is the number of results of the others in a class.
	othersPerSecond = 400
)

func (s stream) draw(count int, failing, slow float64) blrollout.Counts {
	var c blrollout.Counts
	for range count {
		c.Answered++
		if s.random.Float64() < failing {
			c.Failed++
		}
		bucket := usualBucket
		if s.random.Float64() < slow {
			bucket = slowBucket
		}
		c.Latency[bucket]++
	}
	return c
}

// judge returns the period at which the version was found bad, and the one at which it
// was first found good, or zero.
func (s stream) judge(periods int) (bad, good int) {
	c := blrollout.Comparison{Several: true}
	for i := range s.canaries {
		c.Version = append(c.Version, blrollout.Subject{
			Upstream: blvalue.Incarnation(fmt.Sprint(i)), Domain: blvalue.DomainName(fmt.Sprint(i % 2)),
		})
	}
	for period := 1; period <= periods; period++ {
		c.Others = append(c.Others, s.draw(othersPerSecond, s.othersFailing, 0.01))
		for i := range c.Version {
			failing, slow := s.failing, s.slow
			if period <= s.from || s.oneBad && i > 0 {
				failing, slow = s.othersFailing, 0.01
			}
			c.Version[i].Slots = append(c.Version[i].Slots, s.draw(s.perSecond, failing, slow))
		}
		verdict := blrollout.SequentialTest{}.Judge(c)
		if verdict.Bad {
			return period, good
		}
		if verdict.Good && good == 0 {
			good = period
		}
	}
	return 0, good
}

// TestErrorProbabilities measures how often a good version is found bad, and a bad one
// good, in one class of a roll-out of 12 periods. docs/design/rollouts.md has the figures.
func TestErrorProbabilities(t *testing.T) {
	t.Parallel()
	const trials, periods = 3000, 12
	cases := []struct {
		name    string
		s       stream
		bad     bool
		maxRate float64
	}{
		{"as good as the others", stream{failing: 0.005, slow: 0.01, othersFailing: 0.005}, false, 0},
		{"others fail often", stream{failing: 0.1, slow: 0.01, othersFailing: 0.1}, false, 0.0005},
		{"at the limit of what is good", stream{failing: 0.0275, slow: 0.055, othersFailing: 0.005}, false, 0.005},
		{"one canary of four fails", stream{failing: 0.5, slow: 0.01, othersFailing: 0.005, oneBad: true}, false, 0.001},
		{"one canary of four slow", stream{failing: 0.005, slow: 0.5, othersFailing: 0.005, oneBad: true}, false, 0.001},
		{"fails 40 %", stream{failing: 0.4, slow: 0.01, othersFailing: 0.005}, true, 0},
		{"slow 40 %", stream{failing: 0.005, slow: 0.4, othersFailing: 0.005}, true, 0},
		{"fails 27 %", stream{failing: 0.27, slow: 0.01, othersFailing: 0.005}, true, 0.01},
		{"fails 40 % from the fifth period on", stream{failing: 0.4, slow: 0.01, othersFailing: 0.005, from: 4}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.s.random, c.s.canaries, c.s.perSecond = rand.New(rand.NewPCG(7, 3)), 4, 8
			wrong, latest := 0, 0
			for range trials {
				bad, good := c.s.judge(periods)
				latest = max(latest, bad)
				if c.bad && bad == 0 || c.bad && c.s.from == 0 && good != 0 || !c.bad && bad != 0 {
					wrong++
				}
			}
			t.Logf("wrong: %d of %d, found bad after at most %d periods", wrong, trials, latest)
			if rate := float64(wrong) / trials; rate > c.maxRate {
				t.Errorf("wrong decisions: got %v, want at most %v", rate, c.maxRate)
			}
		})
	}
}
