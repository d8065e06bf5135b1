package blrollout

import (
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// publish tells the ownership duty what has changed for nodes.
func (s Rollouts[J]) publish(now bltimer.Instant) (Rollouts[J], []Effect) {
	if s.published.Step == 0 && !s.mayBegin(now) {
		return s, nil
	}
	next := blassign.AdmissionChanged{Term: s.authority.Term, Step: s.published.Step}
	for _, r := range s.services.All() {
		f := s.fleetOf(r)
		next.Held = append(next.Held, s.heldOf(r, f)...)
		next.Allowances = append(next.Allowances, s.allowancesOf(r, f)...)
	}
	if next.Step == 0 || !slices.Equal(next.Held, s.published.Held) {
		next.Step++
	}
	for _, r := range s.services.All() {
		if held := s.heldOf(r, s.fleetOf(r)); r.heldStep == 0 || !slices.Equal(held, r.held) {
			r.held, r.heldStep, r.confirmedAt = held, next.Step, 0
			s = s.withRollout(r)
		}
	}
	if next.Step == s.published.Step && slices.Equal(next.Allowances, s.published.Allowances) {
		return s, nil
	}
	s.published = next
	return s, []Effect{Publish{Admission: next}}
}

// mayBegin reports whether a new lead knows enough of all orders to tell nodes. Until then
// they keep to what the earlier lead told.
func (s Rollouts[J]) mayBegin(now bltimer.Instant) bool {
	if !s.hasOrder() {
		return false
	}
	if now.Sub(s.termAt) >= 2*s.heartbeat()+reportDelay {
		return true
	}
	for _, r := range s.services.All() {
		known := r.stored.loaded && (r.isFinal() || s.settled(r, s.fleetOf(r), now))
		if r.order.Target != "" && !known {
			return false
		}
	}
	return true
}

func (s Rollouts[J]) hasOrder() bool {
	for _, r := range s.services.All() {
		if r.order.Target != "" {
			return true
		}
	}
	return false
}

// heldOf returns the upstreams that get no new requests, sorted.
func (s Rollouts[J]) heldOf(r rollout, f fleet) []blvalue.Incarnation {
	if r.order.Target == "" {
		return nil
	}
	if !r.ordered && len(f.target)+len(f.others) == 0 {
		// The view no longer has the upstreams of a service without an order.
		return r.held
	}
	var held []blvalue.Incarnation
	for _, u := range f.target {
		if !s.serves(r, u) && !r.unknown() {
			held = append(held, u.Upstream.Incarnation)
		}
	}
	for _, u := range f.others {
		// Of an owner whose node hasn't reported in this term only the name is known.
		if u.Upstream.Incarnation != "" && s.holdsOther(r, f, u) {
			held = append(held, u.Upstream.Incarnation)
		}
	}
	slices.Sort(held)
	return held
}

// unknown reports whether this lead can't tell how far the roll-out has got, since it has
// not read the record yet. For upstreams of the version nodes keep to what the earlier lead
// told: the order may be completed, so that no other upstream is left to serve.
func (r rollout) unknown() bool {
	return !r.stored.loaded && r.stored.record.Order.Target == "" && r.step == StepCanaries
}

// serves reports whether an upstream of the version may get requests.
func (s Rollouts[J]) serves(r rollout, u blassign.RolloutUpstream) bool {
	switch r.step {
	case StepCanaries, StepPartial:
		_, ok := r.serving.Get(u.Upstream.Incarnation)
		return ok || r.unrivaled
	case StepReleased, StepHolding, StepCompleted, StepEnded:
		return true
	case StepWithdrawn:
	}
	return false
}

// holdsOther reports whether an upstream of another version gets no requests. A completed
// order holds none where no upstream of its version is left to serve. Once the end is
// verified, it holds none that joins later: the platform may replace upstreams without an
// order.
func (s Rollouts[J]) holdsOther(r rollout, f fleet, u blassign.RolloutUpstream) bool {
	switch r.step {
	case StepHolding:
		return true
	case StepCompleted:
		return s.working(f.target) > 0 && (!r.verified || slices.Contains(r.held, u.Upstream.Incarnation))
	case StepEnded:
		return false
	case StepCanaries, StepPartial, StepReleased, StepWithdrawn:
	}
	_, superseded := r.superseded.Get(u.Upstream.Version)
	return superseded
}

// passedRequests is more than a node can send while a version that has passed is released.
// The allowance still expires, since the version may yet be rolled back. It no longer does
// once the other versions are held: without a lead nothing would serve.
const passedRequests = 1 << 40

// allowancesOf returns the allowances of the upstreams of a version. Those that are held
// have one of nothing, which replaces an earlier one without a limit.
func (s Rollouts[J]) allowancesOf(r rollout, f fleet) []blvalue.Allowance {
	if !r.ordered {
		return nil
	}
	var allowances []blvalue.Allowance
	for _, u := range f.target {
		allowance := blvalue.Allowance{
			Incarnation: u.Upstream.Incarnation, Node: u.Node.Incarnation, Order: r.order.Revision, TTL: s.allowanceTTL(),
		}
		switch {
		case !s.serves(r, u) && r.unknown():
			continue
		case !s.serves(r, u):
		case r.step == StepPartial || r.step == StepReleased:
			allowance.Requests = passedRequests
		case r.step != StepCanaries || r.unrivaled:
			allowance.Unlimited = true
		default:
			allowance.Requests, _ = r.budget.grants.Get(grantKey(u))
		}
		allowances = append(allowances, allowance)
	}
	return allowances
}

// allowanceTTL returns how long an allowance lasts at a node without contact to the lead:
// for one lost heartbeat, but so that a bad version gets no more requests in time.
func (s Rollouts[J]) allowanceTTL() time.Duration {
	ttl := 2*s.heartbeat() + reportDelay
	if limit := s.config.Plan.Exposure.RollbackTime / 2; limit > 0 {
		ttl = min(ttl, limit)
	}
	return ttl
}
