package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// followerTick reads the store when no lead is heard, and asks who answers at
// the addresses of lead and standby.
func followerTick(s State, now bltimer.Instant) (State, []Effect) {
	if s.leaving || !s.missesLead(now) {
		return s, nil
	}
	if now.Sub(s.storeSent) < s.readEvery() && s.storeSent != 0 {
		return s, nil
	}
	s.storeSent = now
	effects := []Effect{ReadRecord{}}
	for _, host := range []blvalue.Host{s.stored.Record.Lead, s.stored.Record.Standby} {
		if !host.IsZero() && host.Incarnation != s.self.Incarnation && !s.hasEnded(host.Incarnation) {
			effects = append(effects, Identify{Address: host.Address})
		}
	}
	return s, effects
}

func (s State) readEvery() time.Duration {
	switch {
	case s.standsBy():
		return standbyReadEvery
	case s.hasEnded(s.stored.Record.Lead.Incarnation):
		return endedReadEvery
	}
	return followerReadEvery
}

// missesLead reports whether no lead was heard for too long: half a lease for
// the standby, which the lead calls four times in a lease, and the life of a
// grant for others, which hear of it by their heartbeats.
func (s State) missesLead(now bltimer.Instant) bool {
	patience := s.timing.GrantTTL
	if s.timing.HoldLimit > 0 {
		patience /= 2
	}
	if s.standsBy() {
		patience = s.timing.Lease / 2
	}
	return s.leadHeard == 0 || now.Sub(s.leadHeard) > patience
}

// claimingTick gives up a claim whose lease has run out. A write without an
// answer stays unresolved until the store has told what became of it.
func claimingTick(s State, now bltimer.Instant) (State, []Effect) {
	if now.Before(s.leaseUntil) {
		return s, nil
	}
	return s.withEvent(eventLose), nil
}

func recordRead(s State, m RecordRead, now bltimer.Instant) (State, []Effect) {
	if m.Failed {
		return s, nil
	}
	s.storeHeard = now
	if s.startedAt == 0 {
		s.startedAt = max(m.SentAt, 1)
	}
	s = s.withStored(m.Stored).withAbsence(m.LeaseHolder == "", m.SentAt)
	for _, lost := range m.Lost {
		s = s.withEnded(lost)
	}
	s = s.withOwnPast()
	if s.Role() != RoleFollower || s.leaving {
		return s, nil
	}
	free := m.LeaseHolder == "" || s.hasEnded(m.LeaseHolder) || m.LeaseClaim != "" && m.LeaseClaim == s.resigned
	if !free || !s.mayTakeOver(now) {
		return s, nil
	}
	s = s.withEvent(eventAcquire)
	s.acquiringAt = now
	s.lapsedAt = now
	s = s.withClaim()
	return s, []Effect{AcquireLease{Revision: m.LeaseRevision, Claim: s.claim}}
}

// withOwnPast records that earlier runs of this host have ended.
func (s State) withOwnPast() State {
	for _, host := range []blvalue.Host{s.stored.Record.Lead, s.stored.Record.Standby} {
		if host.Name == s.self.Name && host.Incarnation != s.self.Incarnation {
			s = s.withEnded(host.Incarnation)
		}
	}
	return s
}

// mayTakeOver reports whether this process may lead next: it is named in the
// record, or both that are have ended, or there is no record; and no promise
// of its own runs.
func (s State) mayTakeOver(now bltimer.Instant) bool {
	if now.Before(s.promisedUntil) || s.writing != nil || !s.missesLead(now) || now.Before(max(s.eagerAt(), s.shyUntil)) {
		return false
	}
	return s.mayLead(now)
}

// withAbsence keeps since when the store has shown no lease. Between two reads
// that are further apart than a lease lasts there may have been one.
func (s State) withAbsence(absent bool, at bltimer.Instant) State {
	if !absent {
		s.absentSince = 0
		return s
	}
	if s.absentSince == 0 || at.Sub(s.absentAt) > s.timing.Lease {
		s.absentSince = max(at, 1)
	}
	s.absentAt = at
	return s
}

// holdIsOver reports whether no earlier lead can go on without the store.
func (s State) holdIsOver(now bltimer.Instant) bool {
	limit := s.timing.HoldLimit
	return limit > 0 && s.absentSince != 0 && now.Sub(s.absentSince) > limit+s.timing.Lease+s.timing.Margin
}

// capacityDelay is how long a process without any capacity waits before it takes
// over where all others may as well.
const capacityDelay = 300 * time.Millisecond

// eagerAt returns when this process may take over. One that the record doesn't
// name waits the longer the less capacity its host has.
func (s State) eagerAt() bltimer.Instant {
	if s.self.Capacity == 0 || s.stored.Record.Names(s.self.Incarnation) {
		return 0
	}
	return s.startedAt.Add(capacityDelay * time.Duration(max(fullCapacity-s.self.Capacity, 0)) / fullCapacity)
}

// fullCapacity is a whole core.
const fullCapacity = 100

func (s State) mayLead(now bltimer.Instant) bool {
	called := s.resigned != "" && s.resignedTerm == s.stored.Record.Term &&
		s.resigned.Holder() == s.stored.Record.Lead.Incarnation
	if called || s.stored.Revision == 0 || s.stored.Record.Lead.IsZero() || s.stored.Record.Names(s.self.Incarnation) || s.holdIsOver(now) {
		return true
	}
	record := s.stored.Record
	if !s.hasEnded(record.Lead.Incarnation) {
		return false
	}
	// Only a lead goes on without the store, never its standby.
	return s.timing.HoldLimit > 0 || record.Standby.IsZero() || s.hasEnded(record.Standby.Incarnation)
}

func leaseAcquired(s State, m LeaseAcquired, now bltimer.Instant) (State, []Effect) {
	if s.Role() == RoleHolding {
		return leaseRegained(s, m)
	}
	if s.Role() != RoleAcquiring || m.Claim != s.claim {
		return answeredLate(s, m)
	}
	if m.Failed {
		return s.withEvent(eventLose), nil
	}
	s = s.withStored(m.Stored)
	leaseUntil := m.SentAt.Add(s.timing.Lease - s.timing.Margin)
	if !s.mayLead(now) || !now.Before(leaseUntil) || now.Before(s.promisedUntil) {
		return s.withEvent(eventLose), []Effect{EndLease{Lease: m.Lease}}
	}
	s = s.withEvent(eventClaim)
	s.lease = m.Lease
	s.leaseUntil = leaseUntil
	record := Record{Term: s.stored.Record.Term + 1, Lead: s.self, Standby: s.chooseStandby("")}
	var write WriteRecord
	s, write = s.withWrite(record)
	return s, []Effect{write}
}

// answeredLate gives a lease back that this process no longer asks for. That
// another attempt failed takes nothing from one that succeeded.
func answeredLate(s State, m LeaseAcquired) (State, []Effect) {
	if m.Failed || m.Lease == s.lease {
		return s, nil
	}
	return s, []Effect{EndLease{Lease: m.Lease}}
}

// identified records that a process has ended when another one answers at its
// address.
func identified(s State, m Identified, now bltimer.Instant) (State, []Effect) {
	before := s.ended.Len()
	for _, host := range []blvalue.Host{s.stored.Record.Lead, s.stored.Record.Standby} {
		if host.Address == m.Address && host.Incarnation != m.Incarnation && m.Incarnation != "" {
			s = s.withEnded(host.Incarnation)
		}
	}
	if s.ended.Len() == before || s.Role() != RoleFollower || s.leaving {
		return s, nil
	}
	s.storeSent = now
	return s, []Effect{ReadRecord{}}
}

func leadHeard(s State, m LeadHeard, now bltimer.Instant) State {
	if m.Term >= s.stored.Record.Term {
		s.leadHeard = now
	}
	return s
}
