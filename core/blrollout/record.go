package blrollout

import (
	"fmt"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// recordRetryInterval is the interval between attempts to read a record, or to resolve
// a write of it.
const recordRetryInterval = 300 * time.Millisecond

// storedRecord is the record of a service with what is known about its writes.
type storedRecord struct {
	record Record
	// loaded is set once the store has told the record in the present term.
	loaded  bool
	triedAt bltimer.Instant
	// writing is the write whose outcome isn't known yet, or nil, and inDoubt is set when
	// its answer was lost.
	writing *WriteRecord
	inDoubt bool
	// rewrite is set when the store was restored and lacks a part of the record.
	rewrite bool
	// foreign is set when a lead of a later term has written the record.
	foreign bool
}

// withEarlierEra returns the roll-out after a restore of the store: the record and the
// status have to be compared with what is there, and no write of the earlier era counts
// as under way.
func (r rollout) withEarlierEra() rollout {
	r.stored.loaded, r.stored.writing, r.stored.inDoubt = false, nil, false
	r.stored.triedAt = 0
	r.status = statusWrite{}
	return r
}

func (s Rollouts[J]) recordLoaded(m RecordLoaded) Rollouts[J] {
	r, ok := s.services.Get(m.Service)
	if !ok || m.Term != s.authority.Term || m.Failed || r.stored.loaded ||
		blplatform.FromEarlierEra(m.Record.Revision, s.authority.Era) {
		return s
	}
	r.stored.loaded, r.stored.triedAt = true, 0
	r = s.withFoundRecord(r, m.Record)
	r.inherited = r.inherited || r.recorded() && m.Record.Term < s.authority.Term
	if r.order.Target == "" {
		r.order = r.stored.record.Order
		r.order.Service = m.Service
		if r.stored.record.Phase != PhaseRunning {
			r.step = StepEnded
		}
	}
	return s.withRollout(r.withRecord(r.stored.record, r.knownAt))
}

// withRecord returns the roll-out with the step that follows from the record of a lead.
func (r rollout) withRecord(record Record, now bltimer.Instant) rollout {
	r.superseded = withVersion(r.superseded, record.Superseded, r.order.Target)
	if record.Order.Target == "" {
		return r
	}
	if !r.recorded() {
		r.superseded = r.superseded.Without(record.Order.Target)
		if record.Phase != PhaseCompleted {
			r.superseded = withVersion(r.superseded, record.Order.Target, r.order.Target)
		}
		return r
	}
	if record.Phase == PhaseRunning {
		return r
	}
	r.reason = record.Reason
	switch {
	case !r.ordered && r.step == StepEnded:
	case record.Phase == PhaseCompleted:
		r = r.withStep(StepCompleted, now)
	case record.Phase == PhaseRolledBack:
		r = r.withStep(StepWithdrawn, now)
	}
	return r
}

// withFoundRecord compares the record that the store holds with the one that this lead
// knows. After a restore the store may hold an older one, which takes nothing back.
func (s Rollouts[J]) withFoundRecord(r rollout, found Record) rollout {
	known := r.stored.record
	r.stored.record, r.stored.rewrite, r.stored.foreign = found, false, found.Term > s.authority.Term
	if known.Order.Target == "" || r.stored.foreign {
		return r
	}
	kept := found
	switch {
	case found.Order.Target == "" || !continues(found, known.Order):
		if found.Order.Revision <= known.Order.Revision {
			kept = known
		}
	case known.Phase != PhaseRunning && found.Term <= known.Term:
		kept = known
	default:
		kept.Reserved = max(known.Reserved, found.Reserved)
	}
	kept.Revision = found.Revision
	r.stored.record, r.stored.rewrite = kept, kept != found
	return r
}

// advanceRecord reads the record, resolves a write of it or makes the one that is due.
func (s Rollouts[J]) advanceRecord(r rollout, f fleet, now bltimer.Instant) (Rollouts[J], rollout, []Effect) {
	waits := r.stored.triedAt != 0 && now.Sub(r.stored.triedAt) < recordRetryInterval
	switch {
	case r.stored.foreign || r.stored.writing != nil && !r.stored.inDoubt:
		return s, r, nil
	case !r.stored.loaded && !waits:
		r.stored.triedAt = now
		return s, r, []Effect{LoadRecord{Term: s.authority.Term, Service: r.order.Service}}
	case r.stored.inDoubt && !waits:
		r.stored.triedAt = now
		return s, r, []Effect{*r.stored.writing}
	case !r.stored.loaded || r.stored.inDoubt || !s.authority.MayChange:
		return s, r, nil
	}
	record, due := s.dueRecord(r, f, now)
	if !due || waits {
		return s, r, nil
	}
	s.writes++
	record.Term, record.Others = s.authority.Term, s.othersToRecord(f, now)
	record.WriteID = fmt.Sprintf("%d.%d", s.authority.Term, s.writes)
	write := WriteRecord{Service: r.order.Service, Base: r.stored.record.Revision, Record: record}
	r.stored.writing, r.stored.triedAt = &write, now
	r.budget.writtenAt = now
	return s, r, []Effect{write}
}

// unknownOthers is recorded as the number of other upstreams by a lead that nodes haven't had
// time to report to. It is more than any fleet has, so that no lead takes the ones it knows
// for all.
const unknownOthers = 1 << 30

func (s Rollouts[J]) othersToRecord(f fleet, now bltimer.Instant) int {
	if !s.heardNodes(now) {
		return unknownOthers
	}
	return len(f.others)
}

// dueRecord returns the record that the store should hold, and whether it has to be
// written.
func (s Rollouts[J]) dueRecord(r rollout, f fleet, now bltimer.Instant) (Record, bool) {
	record, due := r.stored.record, r.stored.rewrite
	if r.ordered && !r.recorded() {
		if r.stored.record.Order.Revision > r.order.Revision {
			// The configuration is older than the record.
			return record, false
		}
		record = s.newRecord(r)
		due = true
	}
	if record.Order.Target == "" || record.Phase != PhaseRunning {
		return record, due && record.Order.Target != ""
	}
	switch {
	case r.step == StepWithdrawn:
		record.Phase, record.Reason, due = PhaseRolledBack, r.reason, true
	case s.mayComplete(r, f, now):
		record.Phase, record.Reason, due = PhaseCompleted, r.reason, true
	default:
		due = due || record.Others == unknownOthers && s.heardNodes(now)
		if reserved, raise := s.dueReserve(r, record, f, now); raise {
			record.Reserved, due = reserved, true
		}
	}
	return record, due
}

// newRecord returns the first record of an order.
func (s Rollouts[J]) newRecord(r rollout) Record {
	record := Record{Order: r.order, Phase: PhaseRunning, Revision: r.stored.record.Revision}
	previous := r.stored.record
	if previous.Phase != PhaseCompleted && previous.Order.Target != r.order.Target {
		record.Superseded = previous.Order.Target
	}
	return record
}

func (s Rollouts[J]) recordWritten(m RecordWritten, now bltimer.Instant) Rollouts[J] {
	r, ok := s.services.Get(m.Service)
	if !ok || m.Term != s.authority.Term || r.stored.writing == nil || r.stored.writing.Record.WriteID != m.WriteID {
		return s
	}
	before, write := r.stored.record, *r.stored.writing
	switch m.Outcome {
	case blplatform.Written:
		r.stored.writing, r.stored.inDoubt, r.stored.rewrite = nil, false, false
		r.stored.triedAt = 0
		r.stored.record = write.Record
		r.stored.record.Revision = m.Current.Revision
		r = r.withReserved(before, write.Record)
		r.verified = r.verified || r.step == StepHolding && write.Record.Phase == PhaseCompleted && r.recorded()
		return s.withRollout(r.withRecord(r.stored.record, now))
	case blplatform.Conflicted:
		r.stored.writing, r.stored.inDoubt = nil, false
		r = s.withFoundRecord(r, m.Current)
		return s.withRollout(r.withRecord(r.stored.record, now))
	case blplatform.NotSent:
		if !r.stored.inDoubt {
			r.stored.writing, r.stored.triedAt = nil, now
		}
	case blplatform.Unresolved:
		r.stored.inDoubt, r.stored.triedAt = true, now
	}
	return s.withRollout(r)
}
