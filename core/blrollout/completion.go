package blrollout

import (
	"slices"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// withConfirmation records when all nodes were first known to have the directory with
// what the roll-out holds.
func (r rollout) withConfirmation(confirmed uint64, now bltimer.Instant) rollout {
	switch {
	case r.heldStep == 0 || confirmed < r.heldStep:
		r.confirmedAt = 0
	case r.confirmedAt == 0:
		r.confirmedAt = now
	}
	return r
}

// mayComplete reports whether the operator may stop the other versions: no node sends
// them requests any more, none of them runs one, and none may be using a partition.
func (s Rollouts[J]) mayComplete(r rollout, f fleet, now bltimer.Instant) bool {
	return r.step == StepHolding && r.ordered && s.othersIdle(r, f, now)
}

// completedBy returns the decision, for the log, if a write of the record has completed an
// order.
func (s Rollouts[J]) completedBy(m RecordWritten) []Effect {
	r, ok := s.services.Get(m.Service)
	written := ok && m.Outcome == blplatform.Written && m.Term == s.authority.Term && m.WriteID == r.stored.record.WriteID
	if !written || r.stored.record.Phase != PhaseCompleted {
		return nil
	}
	return []Effect{s.decided(r, s.fleetOf(r), string(PhaseCompleted), r.reason)}
}

// withVerification verifies that the other versions of a completed order are idle. A lead
// that finds the order completed in the record may have passed on requests to them before
// it read that.
func (s Rollouts[J]) withVerification(r rollout, f fleet, now bltimer.Instant) rollout {
	r.verified = r.verified || r.step == StepCompleted && s.othersIdle(r, f, now)
	return r
}

// knowsOthers reports whether an upstream that this lead hasn't heard of can't run a request
// any more: this lead knows as many as the writer of the record did, or the longest request
// has ended that was sent before its term.
func (s Rollouts[J]) knowsOthers(r rollout, f fleet, now bltimer.Instant) bool {
	known := knownRuns(f.others)
	timing := s.config.Plan.Timing
	return known >= r.stored.record.Others && (known > 0 || r.stored.record.Phase == PhaseCompleted || s.knowsRivals(r, f, now)) ||
		now.Sub(s.termAt) >= timing.Freshness+timing.ClockMargin+s.config.Plan.Limits.RequestTimeout
}

func (s Rollouts[J]) othersIdle(r rollout, f fleet, now bltimer.Instant) bool {
	if s.working(f.target) == 0 || !s.settled(r, f, now) || !s.knowsOthers(r, f, now) {
		return false
	}
	for _, u := range f.others {
		if !r.isIdle(u) {
			return false
		}
	}
	return true
}

// isIdle reports whether an upstream is held, all nodes know it, and its node has reported
// since that it runs nothing. The report must not have been under way when the last node
// confirmed, since that node may have passed on a request until then.
func (r rollout) isIdle(u blassign.RolloutUpstream) bool {
	if u.Partitions > 0 || !slices.Contains(r.held, u.Upstream.Incarnation) || r.confirmedAt == 0 {
		return false
	}
	report, ok := r.results.Get(grantKey(u))
	return ok && report.results.Running == 0 && !report.at.Before(r.confirmedAt.Add(reportDelay))
}
