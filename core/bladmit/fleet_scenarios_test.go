package bladmit_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blvalue"
)

// falseRefusals returns the number of requests that a single bucket for the whole
// fleet admits beyond those that the fleet admitted, summed over the accounts.
func (f *quotaFleet) falseRefusals() int {
	count := 0
	for i, allowed := range f.allowed {
		count += max(allowed-len(f.admitted[i]), 0)
	}
	return count
}

// unanswered returns the number of requests that were neither admitted nor refused.
func (f *quotaFleet) unanswered() int {
	count := f.asked - f.refused
	for _, times := range f.admitted {
		count -= len(times)
	}
	return count
}

// waiting returns the number of requests that arrived less than the longest wait
// before the end of the replay and are unanswered.
func (f *quotaFleet) waiting() int {
	count := 0
	for _, request := range f.pending {
		if !request.answered && f.now-request.at <= maxWait+fleetTick {
			count++
		}
	}
	return count
}

// excess returns by how many requests the fullest window of any account exceeds
// the users' bound.
func (f *quotaFleet) excess() float64 {
	worst := 0.0
	for i, times := range f.admitted {
		account := f.plan.Accounts[accountName(i)]
		rate := float64(account.Rate)
		allowed := (rate*quotaWindow.Seconds()+rate)*(1+quotaExcess) + quotaSlack
		first := 0
		for last := range times {
			for times[last]-times[first] >= quotaWindow {
				first++
			}
			worst = max(worst, float64(last-first+1)-allowed)
		}
	}
	return worst
}

// fleetScenario is a load pattern with faults.
type fleetScenario struct {
	name  string
	surge func(account int, now time.Duration) float64
	fault func(f *quotaFleet)
}

const (
	fleetFaultAt = 4 * time.Second
	fleetLength  = 11 * time.Second
	// takeover is how long the fleet is without a lead.
	takeover = 1500 * time.Millisecond
)

// someFarAboveTheirLimits returns the factor of an account's requests when one
// account in twenty sends 7.5 times its usual ones.
func someFarAboveTheirLimits(account int, now time.Duration) float64 {
	if account%20 == 3 && now > fleetFaultAt {
		return 7.5
	}
	return 1
}

func fleetScenarios() []fleetScenario {
	return []fleetScenario{
		{name: "calm", fault: func(*quotaFleet) {}},
		{name: "lead lost", fault: func(f *quotaFleet) { f.loseLead(takeover) }},
		{
			name: "lead lost while accounts are far above their limits", fault: func(f *quotaFleet) { f.loseLead(takeover) },
			surge: someFarAboveTheirLimits,
		},
		{name: "all restarted", fault: func(f *quotaFleet) { f.restart(takeover) }},
		{
			name: "accounts far above their limits", fault: func(*quotaFleet) {},
			surge: someFarAboveTheirLimits,
		},
	}
}

// TestRequestsWithinTheRateAreRefusedInALargeFleet replays the ordinary requests of
// 140 accounts at fleets in which each node sees few requests of each account.
// Nodes used to borrow whole tokens for demands of a twentieth of a token, so that
// the loans of all nodes used up the bursts and requests within the rate were
// refused.
func TestRequestsWithinTheRateAreRefusedInALargeFleet(t *testing.T) {
	t.Parallel()
	const maxFalseShare = 0.01
	for _, nodes := range []int{195, 710} {
		for _, scenario := range fleetScenarios() {
			t.Run(fmt.Sprintf("%d nodes, %s", nodes, scenario.name), func(t *testing.T) {
				t.Parallel()
				f := newQuotaFleet(nodes, uint64(nodes))
				if scenario.surge != nil {
					f.surge = scenario.surge
				}
				f.run(fleetFaultAt)
				scenario.fault(f)
				f.run(fleetLength)
				share := float64(f.falseRefusals()) / float64(f.asked)
				t.Logf("%d asked, %d refused, %d of them falsely (%.2f %%), %.0f exchanges/s with the lead, %.0f with delegates, excess %.0f",
					f.asked, f.refused, f.falseRefusals(), 100*share, float64(f.exchanges)/fleetLength.Seconds(),
					float64(f.asks)/fleetLength.Seconds(), f.excess())
				if share > maxFalseShare {
					t.Errorf("share of false refusals: got %.4f, want at most %.4f", share, maxFalseShare)
				}
				if got, want := f.unanswered(), f.waiting(); got != want {
					t.Errorf("requests without an answer: got %d, want the %d that wait", got, want)
				}
				if got := f.excess(); got > 0 {
					t.Errorf("requests beyond rate and burst in a window: got %.1f, want 0", got)
				}
			})
		}
	}
}

// TestDomainCutOffStaysWithinTheRate cuts a failure domain off from the lead and from
// the delegates of the other domains, while some accounts send far more than their
// limits through all domains. The fallback of the delegates in the domain must not
// exceed the users' bound together with what the lead lends outside.
func TestDomainCutOffStaysWithinTheRate(t *testing.T) {
	t.Parallel()
	for _, domain := range []blvalue.DomainName{"0", "3"} {
		f := newQuotaFleet(195, 7)
		f.surge = someFarAboveTheirLimits
		f.run(fleetFaultAt)
		f.cut = domain
		f.run(fleetLength)
		t.Logf("domain %s: %d asked, %d refused, excess %.0f", domain, f.asked, f.refused, f.excess())
		if got := f.excess(); got > 0 {
			t.Errorf("requests beyond rate and burst in a window: got %.1f, want 0", got)
		}
	}
}
