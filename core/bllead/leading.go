package bllead

import (
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// lapse ends a lease, or a role, that has run out.
func lapse(s State, now bltimer.Instant) (State, []Effect) {
	if !s.leads() {
		return s, nil
	}
	if s.Role() == RoleLeading && !now.Before(s.leaseUntil) {
		s = s.withEvent(eventHold)
	}
	if s.Role() == RoleHolding && !s.mayHold(now) {
		return stepDown(s)
	}
	return s, nil
}

func leadTick(s State, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	if s = s.withHush(now); s.unheard(now) {
		return vacate(s, now)
	}
	if s.yields(now) {
		s.shyUntil = now.Add(shyFor)
		return callStandby(s)
	}
	s, effects = renew(s, effects, now)
	s, effects = askStandby(s, effects, now)
	s, effects = probeFresh(s, effects, now)
	return nameStandby(s, effects, now)
}

// mayHold reports whether the lead may go on without the lease. A lead with an
// unresolved write of the record may not: the standby it may have named is
// alive.
func (s State) mayHold(now bltimer.Instant) bool {
	if s.timing.HoldLimit > 0 && !now.Before(s.leaseUntil.Add(s.timing.HoldLimit)) {
		return false
	}
	return s.writing == nil && (now.Before(s.promiseUntil) || s.alone())
}

func stepDown(s State) (State, []Effect) {
	s = s.withEvent(eventLose)
	effects := []Effect{EndLease{Lease: s.lease}}
	s.lease = ""
	s.leaseUntil = 0
	s.promiseUntil = 0
	s.leadHeard = 0
	return s, effects
}

func renew(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	if now.Sub(s.renewedAt) < s.timing.renewEvery() {
		return s, effects
	}
	s.renewedAt = now
	if s.lease == "" {
		s = s.withClaim()
		return s, append(effects, AcquireLease{Claim: s.claim})
	}
	return s, append(effects, RenewLease{Lease: s.lease})
}

// leaseRegained ends a hold: the store answers again and the record stands as
// this lead wrote it.
func leaseRegained(s State, m LeaseAcquired) (State, []Effect) {
	if m.Claim != s.claim {
		return answeredLate(s, m)
	}
	if m.Failed {
		return s, nil
	}
	if m.Stored.Revision != s.stored.Revision {
		s = s.withStored(m.Stored)
		s.lease = m.Lease
		return stepDown(s)
	}
	s.lease = m.Lease
	s.leaseUntil = m.SentAt.Add(s.timing.Lease - s.timing.Margin)
	return s.withEvent(eventResume), nil
}

func leaseRenewed(s State, m LeaseRenewed, now bltimer.Instant) (State, []Effect) {
	if m.Failed || m.Lease != s.lease {
		return s, nil
	}
	if m.Lost {
		s.lease = ""
		s.leaseUntil = min(s.leaseUntil, now)
		return s, nil
	}
	s.storeHeard = now
	if s.Role() == RoleHolding {
		s = s.withEvent(eventResume)
	}
	s.leaseUntil = max(s.leaseUntil, m.SentAt.Add(s.timing.Lease-s.timing.Margin))
	return s, nil
}

// resign gives the lead up, so that the standby takes over at once.
func resign(s State, now bltimer.Instant) (State, []Effect) {
	s.leaving = true
	if s.Role() == RoleFollower {
		return s, nil
	}
	if s.Role() == RoleLeading && s.writing == nil && s.timing.HoldLimit > 0 {
		return vacateTo(s, now)
	}
	return callStandby(s)
}

// callStandby gives the lead up and asks the standby to take over.
func callStandby(s State) (State, []Effect) {
	standby, ok := s.standby()
	if !ok {
		return stepDown(s)
	}
	return callSuccessor(s, standby)
}

// callSuccessor gives the lead up and asks another process to take over. Nobody
// can go on without the store once this lead has given up, so that any process
// may.
func callSuccessor(s State, successor blvalue.Host) (State, []Effect) {
	call := AskStandby{Term: s.stored.Record.Term, Standby: successor, Resigned: s.claim}
	s, effects := stepDown(s)
	return s, append(effects, call)
}
