package blrollout

import (
	"time"

	"bergamotlead/core/bltimer"
)

// Step is how far a roll-out has got, in more detail than its phase.
type Step string

// The steps.
const (
	// StepCanaries means that a few upstreams of the version get limited traffic.
	StepCanaries Step = "canaries"
	// StepPartial means that the version has passed and a part of its upstreams is
	// released.
	StepPartial Step = "partial"
	// StepReleased means that all upstreams of all versions get traffic.
	StepReleased Step = "released"
	// StepHolding means that only the version gets traffic.
	StepHolding Step = "holding"
	// StepCompleted means that the record says so.
	StepCompleted Step = "completed"
	// StepEnded means that the order is gone and its end recorded. Nothing is held.
	StepEnded Step = "ended"
	// StepWithdrawn means that the version gets no traffic. The record follows.
	StepWithdrawn Step = "withdrawn"
)

// The parts of the duration at which a roll-out goes on, in percent.
const (
	percent = 100
	// passPercent is the age from which on a version may pass. Some versions turn bad
	// only after some seconds.
	passPercent = 50
	// earliestPassPercent bounds how far that is brought forward where heartbeats are
	// slow.
	earliestPassPercent = 35
	// underLoadPercent is how long a version has to have answered requests to pass.
	underLoadPercent = 20
	// holdPercent is the age by which the other versions are held, and finishPercent the
	// age by which the order is to be completed.
	holdPercent   = 66
	finishPercent = 90
	// forcedPercent is the age at which a version is passed or not by the data there is.
	// earliestForcedPercent bounds how far that is brought forward where heartbeats are
	// slow, so that the order can be completed by its deadline.
	forcedPercent         = 80
	earliestForcedPercent = 62
	// maxStepsPerDuration and minStepsPerDuration bound the time between two steps of a
	// release. Longer ones show more of the version under load.
	maxStepsPerDuration = 16
	minStepsPerDuration = 10
	// partialShare is one in how many upstreams are released first.
	partialShare = 3
	// rotationAnswers is the number of answers after which a single canary is replaced.
	rotationAnswers = 12
	// confirmingHeartbeats is how many heartbeats of a node it takes at most until it is
	// known to have a directory and to run no request of before: it receives the
	// directory, confirms it, and reports once all nodes have.
	confirmingHeartbeats = 3
)

func part(duration time.Duration, percentage int) time.Duration {
	return duration * time.Duration(percentage) / percent
}

// schedule holds the ages at which a roll-out goes on.
type schedule struct {
	pass, hold time.Duration
	// forced is when the data there is decides, and last when it does even if the version
	// is contested.
	forced, last time.Duration
	// confirming is how long it takes at most until the others are known to be idle.
	confirming time.Duration
	// step is the time between two steps of a release, and shortest the one of a release
	// that began late.
	step, shortest time.Duration
}

func (s Rollouts[J]) schedule(duration time.Duration) schedule {
	confirming := confirmingHeartbeats*s.heartbeat() + 2*reportDelay
	shortest, longest := duration/maxStepsPerDuration, duration/minStepsPerDuration
	hold := min(part(duration, holdPercent), part(duration, finishPercent)-confirming)
	pass := max(min(part(duration, passPercent), hold-2*shortest), part(duration, earliestPassPercent))
	step := min(max((hold-pass)/2, shortest), longest)
	forced := min(part(duration, forcedPercent), max(part(duration, earliestForcedPercent), duration-confirming-shortest))
	last := max(forced, min(part(duration, forcedPercent), duration-confirming))
	return schedule{
		pass: pass, hold: hold, forced: forced, last: last, confirming: confirming, step: step, shortest: shortest,
	}
}

// advanceSteps goes on with the steps of a roll-out.
func (s Rollouts[J]) advanceSteps(r rollout, f fleet, now bltimer.Instant) (rollout, []Effect) {
	r = s.withAlone(r.withConfirmation(s.view.ConfirmedStep, now), f, now)
	if r.isFinal() || r.order.Target == "" || r.stored.foreign || r.completing() {
		return r, nil
	}
	if !r.ordered {
		if s.config.Revision < r.order.Revision || !r.stored.loaded {
			return r, nil
		}
		return s.withdraw(r, f, "the order was removed", now)
	}
	if !r.stored.loaded || r.stored.record.Order.Revision > r.order.Revision || !s.settled(r, f, now) {
		// The record is unknown or of a later order than the configuration.
		return r, nil
	}
	e := s.evaluate(r, f)
	if e.bad {
		return s.withdraw(r, f, e.reason, now)
	}
	if r.step == StepCanaries {
		return s.advanceCanaries(r, f, e, now)
	}
	return s.advanceRelease(r, f, now)
}

// isFinal reports whether the step is one of an order that has ended for this lead.
func (r rollout) isFinal() bool {
	return r.step == StepCompleted || r.step == StepEnded || r.step == StepWithdrawn
}

// completing reports whether the record may say in the store that the order is completed
// without this lead knowing.
func (r rollout) completing() bool {
	if !r.stored.loaded && r.step == StepHolding {
		return true
	}
	return r.stored.writing != nil && r.stored.writing.Record.Phase == PhaseCompleted &&
		continues(r.stored.writing.Record, r.order)
}

// withAlone records since when no version that served before the order is left but the
// target itself.
func (s Rollouts[J]) withAlone(r rollout, f fleet, now bltimer.Instant) rollout {
	r.sawOld = r.sawOld || len(f.old) > 0
	switch {
	case len(f.old) > 0 || len(f.target) == 0:
		r.aloneSince = 0
	case r.aloneSince == 0:
		r.aloneSince = now
	}
	r.unrivaled = r.aloneSince != 0 && !r.sawOld && s.knowsRivals(r, f, now)
	return r
}

// alone reports whether there is nothing to compare the version with and no other one that
// is known to serve well. If there was, it may only be missing from the view for a moment.
func (s Rollouts[J]) alone(r rollout, now bltimer.Instant) bool {
	return r.unrivaled || r.aloneSince != 0 && r.sawOld && now.Sub(r.aloneSince) >= 2*s.heartbeat()
}

func (s Rollouts[J]) advanceCanaries(r rollout, f fleet, e evaluation, now bltimer.Instant) (rollout, []Effect) {
	age, times := r.age(now), s.schedule(r.order.Duration)
	switch {
	case s.alone(r, now):
		return s.pass(r, f, StepHolding, "no other version is left", now)
	case age >= times.forced && e.answered > 0 && (!e.contestedInUsual || age >= times.last):
		return s.decideNow(r, f, e, now)
	case age >= r.order.Duration && len(f.target) == 0:
		return s.withdraw(r, f, "no upstream of the version", now)
	case age >= r.order.Duration:
		return s.withdraw(r, f, "no answer of the version", now)
	}
	// A lead that took the roll-out over doesn't know since when the version has answered.
	underLoad := r.inherited || now.Sub(r.answeredAt) >= part(r.order.Duration, underLoadPercent)
	if !e.good || age < times.pass || !underLoad {
		return s.withCanaries(r, f, e, now)
	}
	step := StepPartial
	if age >= times.hold-times.step {
		step = StepReleased
	}
	return s.pass(r, f, step, "as good as the other versions in each class", now)
}

// decideNow passes the version or not by the data there is. If the order couldn't be
// completed in time otherwise, the others are held at once.
func (s Rollouts[J]) decideNow(r rollout, f fleet, e evaluation, now bltimer.Instant) (rollout, []Effect) {
	if e.doubtful {
		return s.withdraw(r, f, e.reason+", and there was no time to see more", now)
	}
	step := StepReleased
	times := s.schedule(r.order.Duration)
	if r.age(now)+times.shortest+times.confirming > r.order.Duration && s.hasCapacity(f) {
		step = StepHolding
	}
	return s.pass(r, f, step, "no evidence against the version", now)
}

// withCanaries chooses the canaries. One that looks bad alone is replaced, so that another
// one confirms the evidence or not. So is a single one, which must not decide.
func (s Rollouts[J]) withCanaries(r rollout, f fleet, e evaluation, now bltimer.Instant) (rollout, []Effect) {
	before := r.serving
	count := s.canaryCount(f)
	_, suspected := r.serving.Get(e.suspect)
	switch {
	case s.working(f.target) <= 1:
	case suspected:
		r.aside = e.suspect
	case r.aside == "" && count == 1 && len(f.target) >= severalUpstreams && e.answered >= rotationAnswers &&
		r.budget.available() >= minAhead:
		r.aside = firstKey(r.serving)
	}
	r = s.withServing(r, f, count, now)
	if !sameKeys(before, r.serving) {
		return r, []Effect{s.decided(r, f, string(StepCanaries), "")}
	}
	return r, nil
}

func (s Rollouts[J]) pass(r rollout, f fleet, step Step, reason string, now bltimer.Instant) (rollout, []Effect) {
	r = r.withStep(step, now)
	r.reason = reason
	if step == StepPartial {
		count := max((len(f.target)+partialShare-1)/partialShare, s.canaryCount(f))
		r = s.withServing(r, f, count, now)
	}
	return r, []Effect{s.decided(r, f, "passed", reason), s.decided(r, f, string(step), "")}
}

// withdraw ends a roll-out for nodes at once. The record and the status follow.
func (s Rollouts[J]) withdraw(r rollout, f fleet, reason string, now bltimer.Instant) (rollout, []Effect) {
	r = r.withStep(StepWithdrawn, now)
	r.reason = reason
	return r, []Effect{s.decided(r, f, string(PhaseRolledBack), reason)}
}

// advanceRelease releases the rest of the version, and then holds the others once the
// version has the capacity or there is no more time.
func (s Rollouts[J]) advanceRelease(r rollout, f fleet, now bltimer.Instant) (rollout, []Effect) {
	if s.working(f.target) == 0 {
		return s.withdraw(r, f, "no upstream of the version takes work any more", now)
	}
	times := s.schedule(r.order.Duration)
	wait := times.step
	if r.age(now) >= times.hold {
		wait = times.shortest
	}
	if now.Sub(r.stepAt) < wait {
		return r, nil
	}
	switch r.step {
	case StepPartial:
		r = r.withStep(StepReleased, now)
	case StepReleased:
		if !s.hasCapacity(f) && r.age(now) < part(r.order.Duration, holdPercent) {
			return r, nil
		}
		r = r.withStep(StepHolding, now)
	case StepCanaries, StepHolding, StepCompleted, StepEnded, StepWithdrawn:
		return r, nil
	}
	return r, []Effect{s.decided(r, f, string(r.step), "")}
}

// hasCapacity reports whether the version has at least three quarters of the slots that
// the others have, without those in cold start.
func (s Rollouts[J]) hasCapacity(f fleet) bool {
	const enough, of = 3, 4
	warm, others := 0, 0
	for _, u := range f.target {
		if s.takesWork(u) && !u.Upstream.Cold {
			warm += max(u.Upstream.Slots, 1)
		}
	}
	for _, u := range f.old {
		if s.takesWork(u) {
			others += max(u.Upstream.Slots, 1)
		}
	}
	return warm*of >= others*enough
}

func (s Rollouts[J]) decided(r rollout, f fleet, decision, reason string) Effect {
	return Decided{Service: r.order.Service, Order: r.order, Decision: decision, Reason: reason, Results: s.versionResults(r, f)}
}
