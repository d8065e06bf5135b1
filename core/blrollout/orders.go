package blrollout

import (
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// withOrders takes over the orders of the configuration. A lead also reads the records
// of services without an order: the order may have been removed while it ran.
func (s Rollouts[J]) withOrders(now bltimer.Instant) Rollouts[J] {
	plan := s.config.Plan
	if s.authority.Term == 0 {
		return s
	}
	if plan.Exposure.Share > 0 {
		for name, order := range plan.Rollouts {
			s = s.withOrder(name, order, now)
		}
		for name := range plan.Services {
			if _, ok := s.services.Get(name); !ok {
				s = s.withRollout(newRollout(blconfig.RolloutOrder{Service: name}, false, now))
			}
		}
	}
	for name, r := range s.services.All() {
		if _, ok := plan.Rollouts[name]; !ok {
			r.ordered = false
			s = s.withRollout(r)
		}
	}
	return s
}

func (s Rollouts[J]) withOrder(name blvalue.ServiceName, order blconfig.RolloutOrder, now bltimer.Instant) Rollouts[J] {
	order.Service = name
	r, ok := s.services.Get(name)
	switch {
	case !ok:
		return s.withRollout(newRollout(order, true, now))
	case order.Revision < r.order.Revision:
		return s
	case r.order.Target == "" && !r.recorded():
		next := newRollout(order, true, now)
		next.stored = r.stored
		return s.withRollout(next.withRecord(r.stored.record, now))
	case sameRollout(r.order, order, r.ended()):
		r.order, r.ordered = order, true
		if r.ended() {
			r = r.withRecord(r.stored.record, now)
		}
		return s.withRollout(r)
	}
	return s.withRollout(r.supersededBy(order, now))
}

func newRollout(order blconfig.RolloutOrder, ordered bool, now bltimer.Instant) rollout {
	return rollout{order: order, ordered: ordered, knownAt: now, orderedAt: now, step: StepCanaries, stepAt: now}
}

// ended reports whether the end of the order is recorded.
func (r rollout) ended() bool {
	return r.recorded() && r.stored.record.Phase != PhaseRunning
}

// supersededBy returns the roll-out of another order. The record and a write of it that
// is under way stay, since the next record replaces them.
func (r rollout) supersededBy(order blconfig.RolloutOrder, now bltimer.Instant) rollout {
	next := newRollout(order, true, now)
	next.stored, next.held, next.heldStep = r.stored, r.held, r.heldStep
	next.superseded = r.superseded.Without(order.Target)
	if !r.ended() || r.stored.record.Phase == PhaseRolledBack {
		next.superseded = withVersion(next.superseded, r.order.Target, order.Target)
	}
	return next
}

func withVersion(versions bltable.Table[string, bool], version, target string) bltable.Table[string, bool] {
	if version == "" || version == target {
		return versions
	}
	return versions.With(version, true)
}

// sameRollout reports whether order b continues the roll-out of order a. That is so for
// the same target while it runs, and after a restore of the store, which gives orders
// other revisions. Once it has ended, only the order itself and a repetition without a
// change continue it.
func sameRollout(a, b blconfig.RolloutOrder, ended bool) bool {
	if a.Target != b.Target {
		return false
	}
	restored := blplatform.RevisionEra(a.Revision) != blplatform.RevisionEra(b.Revision)
	return !ended || restored || a.Revision == b.Revision || a.Duration == b.Duration
}

// continues reports whether a record is that of an order.
func continues(record Record, order blconfig.RolloutOrder) bool {
	return sameRollout(record.Order, order, record.Phase != PhaseRunning)
}
