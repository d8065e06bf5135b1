package bllead

import (
	"fmt"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// resendInDoubtWrite resends a write of the record whose outcome is in doubt.
// This is idempotent: the first write that takes effect changes the revision that
// the compare-and-swap expects.
func resendInDoubtWrite(s State, now bltimer.Instant) (State, []Effect) {
	if !s.inDoubt || now.Sub(s.writeTriedAt) < s.timing.renewInterval() {
		return s, nil
	}
	s.writeTriedAt = now
	return s, []Effect{*s.writing}
}

// withWrite returns the state with a write of the record under way. The write may
// appoint another standby, which has promised nothing, so an earlier promise ends.
func (s State) withWrite(record Record) (State, WriteRecord) {
	s.promiseUntil = 0
	s.writeSeq++
	record.Era = s.era
	record.WriteID = fmt.Sprintf("%s.%d", s.self.Incarnation, s.writeSeq)
	write := WriteRecord{Base: s.found.Revision, Record: record}
	s.writing = &write
	s.inDoubt = false
	return s, write
}

func (s State) withoutWrite() State {
	s.writing = nil
	s.inDoubt = false
	return s
}

func recordWritten(s State, m RecordWritten, now bltimer.Instant) (State, []Effect) {
	if s.writing == nil || s.writing.Record.WriteID != m.WriteID {
		return s, nil
	}
	switch m.Outcome {
	case blplatform.Written:
		return recordAccepted(s.withoutWrite().withStored(m.Current, now), now)
	case blplatform.Conflicted:
		return recordConflicted(s.withoutWrite().withStored(m.Current, now), now)
	case blplatform.NotSent:
		if s.inDoubt {
			return s, nil
		}
		return recordNotSent(s.withoutWrite(), now)
	case blplatform.Unresolved:
		s.inDoubt = true
		s.writeTriedAt = now
	}
	return s, nil
}

func recordNotSent(s State, now bltimer.Instant) (State, []Effect) {
	if s.Role() == RoleClaiming {
		return stepDown(s, now)
	}
	return s, nil
}

// recordAccepted makes a process lead whose claim is written, unless the latest known
// record is another one: the term would be that of its lead.
func recordAccepted(s State, now bltimer.Instant) (State, []Effect) {
	s.standbyContactAt = now
	s.promiseUntil = 0
	if s.Role() != RoleClaiming {
		return s, nil
	}
	if !now.Before(s.leaseUntil) || s.restored() || s.replaced() {
		return stepDown(s, now)
	}
	s = s.withEvent(eventGain)
	// With a slow store little of the lease may be left, so it is renewed at once.
	s.renewedAt = 0
	s.leadSince = now
	return s, nil
}

// recordConflicted ends the role of a process whose write lost to another write of
// the record. A lead whose write met a restored record writes it again instead.
func recordConflicted(s State, now bltimer.Instant) (State, []Effect) {
	if s.Role() == RoleFollower || s.isBestCopy() {
		return s, nil
	}
	return stepDown(s, now)
}
