package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// followerTick reads the record when contact with the lead is lost, and asks for
// the incarnations that answer at the addresses of lead and standby.
func followerTick(s State, now bltimer.Instant) (State, []Effect) {
	if s.leaving || !s.leadTimedOut(now) {
		return s, nil
	}
	if now.Sub(s.storeReadAt) < s.readInterval() && s.storeReadAt != 0 {
		return s, nil
	}
	s.storeReadAt = now
	effects := []Effect{ReadRecord{}}
	for _, host := range []blvalue.Host{s.stored.Record.Lead, s.stored.Record.Standby} {
		if !host.IsZero() && host.Incarnation != s.self.Incarnation && !s.hasEnded(host.Incarnation) {
			effects = append(effects, Identify{Host: host})
		}
	}
	return s, effects
}

func (s State) readInterval() time.Duration {
	interval := followerReadInterval
	switch {
	case s.watchesLead():
		return standbyReadInterval
	case s.hasEnded(s.stored.Record.Lead.Incarnation):
		interval = leadEndedReadInterval
	}
	interval = min(interval*time.Duration(max(s.nodes, nodesPerReadInterval))/nodesPerReadInterval, maxReadInterval)
	if s.leaseAbsentSince != 0 {
		// Reads that are further apart than a lease never add up to an absence.
		interval = min(interval, s.timing.Lease*absentReadPercent/percent)
	}
	return interval
}

const (
	// absentReadPercent is the longest interval between reads while the lease is absent,
	// in percent of the duration of a lease.
	absentReadPercent = 75
	percent           = 100
)

// leadTimedOut reports whether contact with the lead has been lost for too long:
// half a lease for the standby, which the lead calls four times per lease. Other
// processes learn of the lead from the answers to their heartbeats, and wait for
// the time to live of a grant, or half of it where the hold is bounded.
func (s State) leadTimedOut(now bltimer.Instant) bool {
	timeout := s.timing.GrantTTL
	if s.timing.HoldLimit > 0 {
		timeout /= 2
	}
	if s.watchesLead() {
		timeout = s.timing.Lease / 2
	}
	return s.leadContactAt == 0 || now.Sub(s.leadContactAt) > timeout
}

// claimingTick gives up a claim whose lease has expired. A write without an answer
// stays unresolved until the store reports its outcome.
func claimingTick(s State, now bltimer.Instant) (State, []Effect) {
	if now.Before(s.leaseUntil) {
		return s, nil
	}
	return s.withEvent(eventLose), nil
}

func recordRead(s State, m RecordRead, now bltimer.Instant) (State, []Effect) {
	if m.Failed || s.isEarlierEra(max(m.Stored.Revision, m.LeaseRevision)) {
		return s, nil
	}
	s.storeContactAt = now
	if s.startedAt == 0 {
		s.startedAt = max(m.SentAt, 1)
	}
	s = s.withEraOf(m.LeaseRevision, now).withStored(m.Stored, now).withLeaseAbsence(m.LeaseHolder == "", m.SentAt)
	for _, incarnation := range m.Lost {
		s = s.withEnded(incarnation, now)
	}
	s = s.withOwnEarlierRunsEnded(now)
	if s.leads() {
		return recordReadByLead(s, m, now)
	}
	if s.Role() != RoleFollower || s.leaving {
		return s, nil
	}
	free := m.LeaseHolder == "" || s.hasEnded(m.LeaseHolder) || m.LeaseClaim != "" && m.LeaseClaim == s.resigned
	if !free || !s.mayTakeOver(now) {
		return s.postponement(now)
	}
	s = s.withEvent(eventAcquire)
	s.acquireSentAt = now
	s = s.withClaim()
	return s, []Effect{AcquireLease{Revision: m.LeaseRevision, Claim: s.claim}}
}

// withOwnEarlierRunsEnded marks earlier incarnations of this host as terminated.
func (s State) withOwnEarlierRunsEnded(now bltimer.Instant) State {
	for _, host := range []blvalue.Host{s.stored.Record.Lead, s.stored.Record.Standby} {
		if host.Name == s.self.Name && host.Incarnation != s.self.Incarnation {
			s = s.withEnded(host.Incarnation, now)
		}
	}
	return s
}

func leaseAcquired(s State, m LeaseAcquired, now bltimer.Instant) (State, []Effect) {
	if s.Role() == RoleHolding || s.leads() && s.lease == "" {
		return leaseRegained(s, m, now)
	}
	if s.Role() != RoleAcquiring || m.Claim != s.claim {
		return releaseStaleLease(s, m)
	}
	if m.Failed {
		return s.withEvent(eventLose), nil
	}
	s = s.withEraOf(m.LeaseRevision, now).withStored(m.Stored, now)
	// The store may have been restored between the lease and the read of the record.
	earlier := s.isEarlierEra(m.LeaseRevision)
	leaseUntil := m.SentAt.Add(s.timing.Lease - s.timing.ClockMargin)
	if earlier || !s.mayLead(now) || !now.Before(leaseUntil) || now.Before(s.promisedUntil) {
		return s.withEvent(eventLose), []Effect{EndLease{Lease: m.Lease}}
	}
	s = s.withEvent(eventClaim)
	s.lease, s.leaseEra = m.Lease, s.era
	s.leaseUntil = leaseUntil
	s.priorExpiredAt = now
	record := Record{Term: s.nextTerm(m.LeaseRevision), Lead: s.self, Standby: s.chooseStandby("")}
	var write WriteRecord
	s, write = s.withWrite(record)
	return s, []Effect{write}
}

// releaseStaleLease revokes a lease from an attempt that has been superseded. The
// failure of a superseded attempt doesn't affect a lease that is held.
func releaseStaleLease(s State, m LeaseAcquired) (State, []Effect) {
	if m.Failed || m.Lease == s.lease {
		return s, nil
	}
	return s, []Effect{EndLease{Lease: m.Lease}}
}

// identified marks a process as terminated when another incarnation answered at its
// address. An answer that arrives late says nothing about an incarnation that the
// record names only since.
func identified(s State, m Identified, now bltimer.Instant) (State, []Effect) {
	before := s.ended.Len()
	if m.Incarnation != m.Asked && m.Incarnation != "" {
		s = s.withEnded(m.Asked, now)
	}
	if s.ended.Len() == before || s.Role() != RoleFollower || s.leaving {
		return s, nil
	}
	s.storeReadAt = now
	return s, []Effect{ReadRecord{}}
}

func leadResponded(s State, m LeadResponded, now bltimer.Instant) State {
	s.heardTerm = max(s.heardTerm, m.Term)
	if m.Term >= s.stored.Record.Term {
		s.leadContactAt = now
	}
	return s
}
