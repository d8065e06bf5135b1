package blrollout

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// State is the state of the roll-out duty with the default statistics.
type State = Rollouts[SequentialTest]

// Rollouts is the immutable state of the roll-out duty, with statistics J.
type Rollouts[J Judge] struct {
	judge     J
	authority bllead.Authority
	config    blconfig.Accepted
	view      blassign.RolloutView
	// termAt is when this process learned that it leads.
	termAt   bltimer.Instant
	services bltable.Table[blvalue.ServiceName, rollout]
	// writes numbers the writes of records within a term.
	writes uint64
	// published is the latest admission. Its step is zero before the first one.
	published blassign.AdmissionChanged
}

// rollout is what the lead knows of the latest order of one service.
type rollout struct {
	order blconfig.RolloutOrder
	// ordered is set while the configuration holds the order.
	ordered bool
	// knownAt is when this lead learned of the order, and orderedAt the earliest time
	// at which a node or this lead did.
	knownAt   bltimer.Instant
	orderedAt bltimer.Instant

	stored  storedRecord
	status  statusWrite
	results bltable.Table[string, reported]
	samples bltable.Table[string, sample]
	budget  budget

	step   Step
	stepAt bltimer.Instant
	// serving holds the upstreams of the version that were released before all were.
	serving bltable.Table[blvalue.Incarnation, bltimer.Instant]
	// aside is a canary that looks bad alone, while others are tried.
	aside blvalue.Incarnation
	// superseded holds the targets of earlier orders that didn't complete.
	superseded bltable.Table[string, bool]
	// answeredAt is when the version's first answer was reported, or zero.
	answeredAt bltimer.Instant
	// sawOld is set once upstreams of a version that served before the order were seen,
	// and aloneSince is since when there are none, or zero.
	sawOld     bool
	aloneSince bltimer.Instant
	// unrivaled is set while all upstreams are of the version, and were since the order.
	unrivaled bool
	// held is what the latest admission holds of this service, and heldStep its step.
	held     []blvalue.Incarnation
	heldStep uint64
	// confirmedAt is when all nodes had heldStep, or zero.
	confirmedAt bltimer.Instant
	// verified is set once this lead has seen that the other versions of a completed order
	// are idle.
	verified bool
	// inherited is set when an earlier lead began the roll-out.
	inherited bool
	reason    string
}

// New returns the state of a process that is not the lead.
func New() State {
	return NewWith(SequentialTest{})
}

// NewWith returns the state of a process that is not the lead, with the given
// statistics.
func NewWith[J Judge](judge J) Rollouts[J] {
	return Rollouts[J]{judge: judge}
}

// Busy reports whether ticks are needed: as lead, while a roll-out runs or a write is
// due.
func (s Rollouts[J]) Busy() bool {
	if s.authority.Term == 0 {
		return false
	}
	for _, r := range s.services.All() {
		if r.busy() {
			return true
		}
	}
	return false
}

func (r rollout) busy() bool {
	return !r.stored.loaded || r.stored.writing != nil || r.stored.rewrite || r.running() || r.statusDue() ||
		r.step == StepCompleted && !r.verified
}

// running reports whether the order has no recorded end yet.
func (r rollout) running() bool {
	return r.ordered && !r.recorded() || r.recorded() && r.stored.record.Phase == PhaseRunning
}

// recorded reports whether the record in the store is that of the order.
func (r rollout) recorded() bool {
	return r.stored.record.Order.Target != "" && continues(r.stored.record, r.order)
}

func (r rollout) age(now bltimer.Instant) time.Duration {
	return now.Sub(r.orderedAt)
}

func (s Rollouts[J]) withRollout(r rollout) Rollouts[J] {
	s.services = s.services.With(r.order.Service, r)
	return s
}

func (r rollout) withStep(step Step, now bltimer.Instant) rollout {
	r.step, r.stepAt, r.confirmedAt = step, now, 0
	return r
}
