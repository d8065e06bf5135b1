package blassign

import (
	"slices"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// allowanceNudgeInterval is the minimum interval between nudges because of raised
// allowances, which change with each request of the service. A hold, a release and an
// unlimited allowance nudge nodes at once.
const allowanceNudgeInterval = 200 * time.Millisecond

// admission is what the roll-out duty of this lead has decided in this term.
type admission struct {
	// seen is set once the duty has decided anything.
	seen       bool
	held       bltable.Table[blvalue.Incarnation, bool]
	allowances bltable.Table[blvalue.Incarnation, blvalue.Allowance]
	// steps are the latest confirmed step and those after it.
	steps []admissionStep
	// inherited is the directory of the earlier lead.
	inherited []Entry
	nudgedAt  bltimer.Instant
}

// admissionStep is a step of AdmissionChanged with the directory version that carries it.
type admissionStep struct {
	step    uint64
	version uint64
}

func (a admission) lastStep() uint64 {
	if len(a.steps) == 0 {
		return 0
	}
	return a.steps[len(a.steps)-1].step
}

func (a admission) withStep(step, version uint64) admission {
	a.steps = append(slices.Clone(a.steps), admissionStep{step: step, version: version})
	return a
}

// confirmed returns the latest step that a directory of the given version carries.
func (a admission) confirmed(version uint64) uint64 {
	step := uint64(0)
	for _, s := range a.steps {
		if s.version <= version {
			step = s.step
		}
	}
	return step
}

// withoutStepsBefore returns the admission without the steps before the given one.
func (a admission) withoutStepsBefore(step uint64) admission {
	if len(a.steps) > 0 && a.steps[0].step < step {
		a.steps = slices.DeleteFunc(slices.Clone(a.steps), func(s admissionStep) bool { return s.step < step })
	}
	return a
}

// isHeld reports whether a roll-out holds the upstream back. What the roll-out duty hasn't
// decided yet, because the upstream is new or the term has just begun, stays as it was in
// the directory; an upstream of the target version that wasn't there is held.
func (s State[P]) isHeld(upstream blvalue.Upstream) bool {
	if held, ok := s.admission.held.Get(upstream.Incarnation); ok {
		return held
	}
	if _, ok := s.admission.allowances.Get(upstream.Incarnation); ok {
		return false
	}
	order, ok := s.config.Plan.RolloutOf(upstream.Service)
	targeted := ok && order.Target == upstream.Version
	if s.admission.seen && !targeted {
		return false
	}
	if held, known := s.wasHeld(upstream); known {
		return held
	}
	return targeted
}

// wasHeld reports whether the upstream is held in the directory, or was in that of the
// earlier lead, and whether it is known there.
func (s State[P]) wasHeld(upstream blvalue.Upstream) (held, known bool) {
	if entry, ok := s.entries.Get(upstream.Name); ok && entry.Upstream.Incarnation == upstream.Incarnation {
		return entry.Held, true
	}
	position := slices.IndexFunc(s.admission.inherited, func(e Entry) bool {
		return e.Upstream.Incarnation == upstream.Incarnation
	})
	if position < 0 {
		return false, false
	}
	return s.admission.inherited[position].Held, true
}

// admissionChanged adopts a decision of the roll-out duty.
func (s State[P]) admissionChanged(m AdmissionChanged, now bltimer.Instant) (State[P], []Effect) {
	if m.Term == 0 || m.Term != s.authority.Term || m.Step < s.admission.lastStep() {
		return s, nil
	}
	earlier := s.admission
	s.admission.seen = true
	s.admission.held = bltable.Table[blvalue.Incarnation, bool]{}
	for _, incarnation := range m.Held {
		s.admission.held = s.admission.held.With(incarnation, true)
	}
	s.admission.allowances = bltable.Table[blvalue.Incarnation, blvalue.Allowance]{}
	for _, allowance := range m.Allowances {
		s.admission.allowances = s.admission.allowances.With(allowance.Incarnation, allowance)
	}
	before := s.version
	s = s.withHeldEntries()
	if m.Step > earlier.lastStep() {
		// The version rises with each step, so that only nodes that report again
		// confirm it.
		s.version++
		s.admission = s.admission.withStep(m.Step, s.version)
	}
	if s.version != before {
		return s, []Effect{Nudge{Nodes: s.peers(now)}}
	}
	return s.nudgeAllowed(earlier, now)
}

func (s State[P]) withHeldEntries() State[P] {
	for _, entry := range s.entries.All() {
		if entry.Gone {
			continue
		}
		changed := entry.Entry
		changed.Held = s.isHeld(entry.Upstream)
		s = s.withEntry(changed)
	}
	return s
}

// nudgeAllowed asks the nodes whose allowances have changed to report.
func (s State[P]) nudgeAllowed(earlier admission, now bltimer.Instant) (State[P], []Effect) {
	rested := now.Sub(s.admission.nudgedAt) >= allowanceNudgeInterval
	var nodes []blvalue.Host
	for _, entry := range s.entries.All() {
		allowance, ok := s.admission.allowances.Get(entry.Upstream.Incarnation)
		before, _ := earlier.allowances.Get(entry.Upstream.Incarnation)
		raised := allowance.Requests > before.Requests && rested
		if ok && !entry.Gone && (raised || allowance.Unlimited != before.Unlimited || allowance.Order != before.Order) {
			nodes = append(nodes, entry.Node)
		}
	}
	if len(nodes) == 0 {
		return s, nil
	}
	s.admission.nudgedAt = now
	return s, []Effect{Nudge{Nodes: nodes}}
}

// allowancesFor returns the allowances of the node that sent the heartbeat.
func (s State[P]) allowancesFor(m Heartbeat) []blvalue.Allowance {
	var list []blvalue.Allowance
	for _, upstream := range m.Upstreams {
		allowance, ok := s.admission.allowances.Get(upstream.Incarnation)
		if ok && allowance.Node == m.Node.Incarnation {
			list = append(list, allowance)
		}
	}
	return list
}

// confirmedStep returns the latest step of AdmissionChanged by whose directory no held
// upstream gets a request any more. All nodes that are up must have it. Of those that have
// been silent, only the nodes beside held upstreams matter, since each node refuses
// requests for its own held upstreams, and partitions are granted for a time.
func (s State[P]) confirmedStep(now bltimer.Instant) uint64 {
	if !s.priorGrantsExpired(now) || s.members.Len() == 0 || s.unreportedMayRun(now) {
		return 0
	}
	version := s.version
	for _, member := range s.members.All() {
		switch {
		case !s.mustConfirm(member, now):
		case member.Directory.Term != s.authority.Term:
			return 0
		default:
			version = min(version, member.Directory.Version)
		}
	}
	return s.admission.confirmed(version)
}

// mustConfirm reports whether the node is up or may still send requests to a held upstream
// beside it.
func (s State[P]) mustConfirm(member Member, now bltimer.Instant) bool {
	timing := s.config.Plan.Timing
	if now.Sub(member.LastHeartbeatAt) <= timing.GrantTTL+timing.ClockMargin {
		return true
	}
	return s.mayAdmit(member, now) && slices.ContainsFunc(member.Upstreams, s.runsWithoutGrant)
}

// runsWithoutGrant reports whether the upstream is held and of a service whose requests
// need no grant. Once the roll-out duty has decided, only those count that it names: an
// upstream of the target version that it no longer knows is refused requests by its node,
// which has no allowance, and would hold up the completion for as long as a node is fresh.
func (s State[P]) runsWithoutGrant(upstream blvalue.Upstream) bool {
	held, _ := s.admission.held.Get(upstream.Incarnation)
	if !s.admission.seen {
		held = s.isHeld(upstream)
	}
	return held && s.config.Plan.Services[upstream.Service].Kind != blconfig.ServiceExclusive
}

// unreportedMayRun reports whether a node that only the earlier lead knew may still send
// requests to a held upstream beside it.
func (s State[P]) unreportedMayRun(now bltimer.Instant) bool {
	if !now.Before(s.authority.SettledAt(s.freshness())) {
		return false
	}
	return slices.ContainsFunc(s.admission.inherited, func(e Entry) bool {
		_, reported := s.members.Get(e.Node.Name)
		return !reported && s.runsWithoutGrant(e.Upstream)
	})
}
