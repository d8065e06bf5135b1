package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
)

// mayTakeOver reports whether this process may start to acquire the lease: it has
// lost contact with the lead, is eligible by mayLead, and is not held back by a
// promise that it gave, an unresolved write, or a delay.
func (s State) mayTakeOver(now bltimer.Instant) bool {
	if now.Before(s.promisedUntil) || s.writing != nil || !s.leadTimedOut(now) || now.Before(max(s.takeoverNotBefore(), s.standbyFirstUntil(), s.backoffUntil)) {
		return false
	}
	return s.mayLead(now)
}

// mayLead reports whether this process is eligible to lead. It is if the record
// doesn't exist, names no lead, no standby or names this process, if the lead has
// asked it to take over, or if the hold limit has passed. Where the store was restored
// since the record was written, none of this holds. Otherwise lead and standby
// must both have terminated, or the lead alone where the hold is bounded. A lead
// without a standby can't go on without its lease: nobody gives it a promise.
func (s State) mayLead(now bltimer.Instant) bool {
	if s.restored() {
		return s.mayLeadAfterRestore(now)
	}
	record := s.found.Record
	asked := s.resigned != "" && s.resignedTerm == record.Term && s.resigned.Holder() == record.Lead.Incarnation
	if asked || s.found.Revision == 0 || record.Lead.IsZero() || record.Names(s.self.Incarnation) || s.holdLimitPassed(now) {
		return true
	}
	if record.Standby.IsZero() {
		return true
	}
	if !s.hasEnded(record.Lead.Incarnation) {
		return false
	}
	// Where the hold is bounded, a terminated lead is enough: only a lead continues
	// without the store, never its standby.
	return s.timing.HoldLimit > 0 || s.hasEnded(record.Standby.Incarnation)
}

// withLeaseAbsence tracks since when reads have found no lease. Between two reads
// that are further apart than the duration of a lease there may have been one, so
// the absence then starts anew.
func (s State) withLeaseAbsence(absent bool, at bltimer.Instant) State {
	if !absent {
		s.leaseAbsentSince = 0
		return s
	}
	if s.leaseAbsentSince == 0 || at.Sub(s.leaseAbsentAt) > s.timing.Lease {
		s.leaseAbsentSince = max(at, s.eraSince, 1)
	}
	s.leaseAbsentAt = at
	return s
}

// leaseAbsentFor reports whether reads have shown no lease for longer than length. The last
// of them was sent so recently that no lease can have been held and have lapsed since.
func (s State) leaseAbsentFor(length time.Duration, now bltimer.Instant) bool {
	absent := s.leaseAbsentSince != 0 && s.leaseAbsentAt.Sub(s.leaseAbsentSince) > length
	return absent && now.Sub(s.leaseAbsentAt) <= s.timing.Lease
}

// holdLimitPassed reports whether the lease has been absent for so long that no
// earlier lead can still act without the store.
func (s State) holdLimitPassed(now bltimer.Instant) bool {
	limit := s.timing.HoldLimit
	return limit > 0 && s.leaseAbsentFor(limit+s.timing.Lease+s.timing.ClockMargin, now)
}

// maxCapacityDelay is the takeover delay of a process with no capacity when any
// process may take over.
const maxCapacityDelay = 300 * time.Millisecond

// takeoverNotBefore returns the earliest time at which this process may take over.
// For a process that the record doesn't name, the delay grows as the capacity of
// its host falls, so that larger hosts tend to take over first.
func (s State) takeoverNotBefore() bltimer.Instant {
	if s.self.Capacity == 0 || s.stored.Record.Names(s.self.Incarnation) {
		return 0
	}
	return s.startedAt.Add(maxCapacityDelay * time.Duration(max(fullCapacity-s.self.Capacity, 0)) / fullCapacity)
}

// standbyPriority is how long other processes leave the takeover to the standby after
// the lead has terminated.
const standbyPriority = time.Second

// standbyFirstUntil returns until when this process leaves the takeover to the
// standby, or zero. A process that has just started would otherwise take over before
// the standby notices the loss, however small its host is.
func (s State) standbyFirstUntil() bltimer.Instant {
	record := s.stored.Record
	endedAt, ended := s.ended.Get(record.Lead.Incarnation)
	if !ended || record.Names(s.self.Incarnation) || record.Standby.IsZero() || s.hasEnded(record.Standby.Incarnation) {
		return 0
	}
	return endedAt.Add(standbyPriority)
}

// fullCapacity is the capacity of a whole core, in percent.
const fullCapacity = 100
