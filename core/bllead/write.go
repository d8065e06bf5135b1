package bllead

import (
	"fmt"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// resolve sends a write of the record again whose outcome is in doubt. The
// same write can't take effect twice, since its base moves with the first.
func resolve(s State, now bltimer.Instant) (State, []Effect) {
	if !s.doubtful || now.Sub(s.writtenAt) < s.timing.renewEvery() {
		return s, nil
	}
	s.writtenAt = now
	return s, []Effect{*s.writing}
}

func (s State) withWrite(record Record) (State, WriteRecord) {
	s.writeSeq++
	record.WriteID = fmt.Sprintf("%s.%d", s.self.Incarnation, s.writeSeq)
	write := WriteRecord{Base: s.stored.Revision, Record: record}
	s.writing = &write
	s.doubtful = false
	return s, write
}

func (s State) withoutWrite() State {
	s.writing = nil
	s.doubtful = false
	return s
}

func recordWritten(s State, m RecordWritten, now bltimer.Instant) (State, []Effect) {
	if s.writing == nil || s.writing.Record.WriteID != m.WriteID {
		return s, nil
	}
	switch m.Outcome {
	case blplatform.Written:
		return recordStands(s.withoutWrite().withStored(m.Current), now)
	case blplatform.Conflicted:
		return recordRefused(s.withoutWrite().withStored(m.Current))
	case blplatform.NotSent:
		if s.doubtful {
			return s, nil
		}
		return recordNotSent(s.withoutWrite())
	case blplatform.Unresolved:
		s.doubtful = true
		s.writtenAt = now
	}
	return s, nil
}

func recordNotSent(s State) (State, []Effect) {
	if s.Role() == RoleClaiming {
		return stepDown(s)
	}
	return s, nil
}

func recordStands(s State, now bltimer.Instant) (State, []Effect) {
	s.standbyHeard = now
	s.promiseUntil = 0
	if s.Role() != RoleClaiming {
		return s, nil
	}
	if !now.Before(s.leaseUntil) {
		return stepDown(s)
	}
	s = s.withEvent(eventGain)
	s.renewedAt = now
	s.gainedAt = now
	return s, nil
}

// recordRefused ends a role whose record another process has replaced.
func recordRefused(s State) (State, []Effect) {
	if s.Role() == RoleFollower {
		return s, nil
	}
	return stepDown(s)
}
