package blrollout

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// View is what operators see of the roll-out of a service.
type View struct {
	Service blvalue.ServiceName
	Target  string
	// Phase is what the store holds. It is empty until it is known.
	Phase    Phase
	Step     Step
	Age      time.Duration
	Duration time.Duration
	// Canaries lists the upstreams of the version that were released first.
	Canaries []blvalue.Incarnation
	// Aside is a canary that was replaced because it looked bad alone, or empty.
	Aside blvalue.Incarnation
	// Requests is the number of requests of the service since the order, and Exposed
	// those of them that the version got.
	Requests uint64
	Exposed  uint64
	// Reserved is the number of requests reserved in the store for allowances, Allowed
	// the part that this lead has allowed, and Limit the number that may be reserved.
	Reserved uint64
	Allowed  uint64
	Limit    uint64
	Results  []VersionResults
	Reason   string
}

// Views returns the roll-outs that have an order or are being ended, by service.
func (s Rollouts[J]) Views(now bltimer.Instant) []View {
	var views []View
	for name, r := range s.services.All() {
		if r.order.Target == "" || !r.ordered && !r.busy() {
			continue
		}
		requests, exposed := r.sent()
		view := View{
			Service: name, Target: r.order.Target, Step: r.step, Age: r.age(now), Duration: r.order.Duration,
			Aside: r.aside, Requests: requests, Exposed: exposed, Reserved: r.stored.record.Reserved,
			Allowed: r.budget.charged, Limit: s.exposureLimit(requests), Results: s.versionResults(r, s.fleetOf(r)),
			Reason: r.reason,
		}
		if r.recorded() {
			view.Phase = r.stored.record.Phase
		}
		for incarnation := range r.serving.All() {
			view.Canaries = append(view.Canaries, incarnation)
		}
		views = append(views, view)
	}
	return views
}

// versionResults sums the results by class, of the version and of all others.
func (s Rollouts[J]) versionResults(r rollout, f fleet) []VersionResults {
	var sums []VersionResults
	for class, c := range s.comparisons(r, f).All() {
		if class == allClasses {
			continue
		}
		others, version := total(c.Others), versionTotal(c)
		bound, ok := slowBound(others)
		for _, side := range []struct {
			target bool
			counts Counts
		}{{false, others}, {true, version}} {
			sum := VersionResults{Target: side.target, Class: class, Answered: side.counts.Answered, Failed: side.counts.Failed}
			if ok {
				sum.Slow = side.counts.slowerThan(bound)
			}
			sums = append(sums, sum)
		}
	}
	return sums
}
