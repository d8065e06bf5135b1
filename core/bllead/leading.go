package bllead

import (
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// expire moves a lead whose lease has expired to holding, and ends the role of a
// holding lead that may not go on.
func expire(s State, now bltimer.Instant) (State, []Effect) {
	if !s.leads() {
		return s, nil
	}
	if s.Role() == RoleLeading && !now.Before(s.leaseUntil) {
		s = s.withEvent(eventHold)
	}
	if s.Role() == RoleHolding && !s.mayHold(now) {
		return stepDown(s, now)
	}
	return s, nil
}

func leadTick(s State, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	if s = s.withIsolation(now); s.isolated(now) {
		return releaseLead(s, now)
	}
	if s.shouldTransferLead(now) {
		s.backoffUntil = now.Add(takeoverBackoff)
		return transferToStandby(s, now)
	}
	s, effects = renew(s, effects, now)
	s, effects = rewriteRecord(s, effects, now)
	s, effects = askStandby(s, effects, now)
	s, effects = probeCandidate(s, effects, now)
	return updateStandby(s, effects, now)
}

// mayHold reports whether the lead may go on without the lease. A lead with an
// unresolved write of the record may not, because that write may have appointed
// a standby that is alive.
func (s State) mayHold(now bltimer.Instant) bool {
	if s.timing.HoldLimit > 0 && !now.Before(s.leaseUntil.Add(s.timing.HoldLimit)) {
		return false
	}
	// A takeover after a restore counts the limit from the new era, so that a lead that
	// has renewed its lease in it goes on only once its record shows that.
	recorded := s.stored.Record.Era >= s.leaseEra
	return s.writing == nil && recorded && (now.Before(s.promiseUntil) || s.mayHoldAlone())
}

func stepDown(s State, now bltimer.Instant) (State, []Effect) {
	if s.leads() {
		s.ledTerm, s.ledUntil = s.stored.Record.Term, now
	}
	s = s.withEvent(eventLose)
	effects := []Effect{EndLease{Lease: s.lease}}
	s.lease = ""
	s.leaseUntil = 0
	s.unansweredSince = 0
	s.promiseUntil = 0
	s.leadContactAt = 0
	return s, effects
}

func renew(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	if now.Sub(s.renewedAt) < s.timing.renewInterval() {
		return s, effects
	}
	s.renewedAt = now
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
	if s.lease == "" {
		s = s.withClaim()
		return s, append(effects, AcquireLease{Claim: s.claim})
	}
	return s, append(effects, RenewLease{Lease: s.lease})
}

// leaseRegained moves a holding lead back to leading once the store answers again
// and the record is still at the revision that this lead knows, or was restored to an
// earlier one, which the lead then writes again. Otherwise the lead steps down.
func leaseRegained(s State, m LeaseAcquired, now bltimer.Instant) (State, []Effect) {
	if m.Claim != s.claim || !m.Failed && s.isEarlierEra(m.LeaseRevision) {
		return releaseStaleLease(s, m)
	}
	if m.Failed {
		return s, nil
	}
	unchanged := m.Stored.Revision == s.found.Revision
	s = s.withEraOf(m.LeaseRevision, now).withStored(m.Stored, now)
	if s.isEarlierEra(m.LeaseRevision) && !s.replaced() {
		return s, []Effect{EndLease{Lease: m.Lease}}
	}
	s.lease, s.leaseEra = m.Lease, s.era
	if s.replaced() || !unchanged && !s.isBestCopy() {
		return stepDown(s, now)
	}
	s.leaseUntil = m.SentAt.Add(s.timing.Lease - s.timing.ClockMargin)
	s.unansweredSince = 0
	return rewriteRecord(s.withEvent(eventResume), nil, now)
}

func leaseRenewed(s State, m LeaseRenewed, now bltimer.Instant) (State, []Effect) {
	s.renewalFailed = s.renewalFailed || m.Failed
	if m.Failed || m.Lease != s.lease {
		return s, nil
	}
	if m.Lost {
		s = s.withReadAfterLoss(m, now)
		if s.leads() && s.replaced() {
			return stepDown(s, now)
		}
		gone := s.leaseEra < s.era || s.lease == ""
		s.lease = ""
		if gone {
			return s, nil
		}
		s.leaseUntil = min(s.leaseUntil, now)
		return s, nil
	}
	s.storeContactAt = now
	s.unansweredSince = 0
	if blplatform.FromEarlierEra(blplatform.NewRevision(s.era, 1), m.Era) {
		// The lease may be another process's that was given the same number again. The
		// claim in the lease's key tells.
		return s, []Effect{ReadRecord{}}
	}
	if s.Role() == RoleHolding {
		s = s.withEvent(eventResume)
	}
	s.leaseUntil = max(s.leaseUntil, m.SentAt.Add(s.timing.Lease-s.timing.ClockMargin))
	if !m.SentAt.Before(s.eraSince) {
		s.leaseEra = s.era
	}
	if s.renewalFailed {
		return s, []Effect{ReadRecord{}}
	}
	return s, nil
}

// withReadAfterLoss returns the state after the store didn't know the lease. Where it
// was restored, no other process can have ended the lease, and this lead acts until its
// lease has expired by its own clock. It acquires another one at once.
func (s State) withReadAfterLoss(m LeaseRenewed, now bltimer.Instant) State {
	if !m.Read {
		return s
	}
	if m.Stored.Revision == 0 && s.found.Revision != 0 {
		s.lease = ""
	}
	s = s.withStored(m.Stored, now)
	s.renewedAt = 0
	return s
}

// recordReadByLead handles a read of the record by a lead, which makes one when the store
// answers again: the store may have been restored meanwhile. A lease that was restored
// with its key is kept.
func recordReadByLead(s State, m RecordRead, now bltimer.Instant) (State, []Effect) {
	s.renewalFailed = false
	if s.replaced() {
		return stepDown(s, now)
	}
	if s.leaseEra < s.era && m.LeaseClaim != s.claim {
		s.lease = ""
	}
	return s, nil
}

// resign transfers the lead to the standby when the process shuts down, so that
// the takeover doesn't wait for the lease to expire.
func resign(s State, now bltimer.Instant) (State, []Effect) {
	s.leaving = true
	if s.Role() == RoleFollower {
		return s, nil
	}
	if s.Role() == RoleLeading && s.writing == nil && s.timing.HoldLimit > 0 {
		return releaseLeadToStandby(s, now)
	}
	return transferToStandby(s, now)
}
