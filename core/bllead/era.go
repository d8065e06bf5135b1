package bllead

import (
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

const (
	// termsPerEraBits is the number of bits for the terms that begin in one era of the
	// store. The era is above them, so that a term exceeds those of earlier eras even
	// where the records that held them are lost.
	termsPerEraBits = 13
	// MaxTerm is the highest term. Upstreams compare fences as numbers in JSON, in which
	// higher ones are not exact.
	MaxTerm = 1<<29 - 1
	// maxTermBound leaves terms for the takeovers that follow.
	maxTermBound = MaxTerm - 1<<termsPerEraBits
	// standbyMemory is how long before a new era of the store was seen a process must have
	// been called as standby, or have been lead, to rely on that.
	standbyMemory = 4 * time.Second
)

// TermFloor returns a term that each term beginning in the era exceeds.
func TermFloor(era blplatform.Era) uint64 {
	return uint64(era) << termsPerEraBits
}

// TermBound returns a term that none of those that began by the revision exceeds, since
// each took at least one write. It leaves terms for later takeovers: a store whose numbers
// are beyond all terms doesn't tell how many have begun.
func TermBound(revision uint64) uint64 {
	return min(TermFloor(blplatform.RevisionEra(revision))+blplatform.RevisionNumber(revision), maxTermBound)
}

// nextTerm returns the term of a takeover in the present era of the store, given the
// revision of the lease's key. Where the store holds no record of that era, a later one may
// have been lost. Its term is not above that of its revision, and the restore that lost it
// is taken to have lost fewer writes than an era has terms.
func (s State) nextTerm(leaseRevision uint64) uint64 {
	known := max(s.knownTerm(), s.found.Record.Term, TermFloor(s.era))
	if s.found.Revision == 0 || s.restored() {
		known = max(known, TermBound(s.found.Revision), TermBound(leaseRevision))
	}
	return known + 1
}

// knownTerm returns the latest term that this process knows of, from the store or from
// other processes.
func (s State) knownTerm() uint64 {
	return max(s.stored.Record.Term, s.heardTerm)
}

// withEraOf returns the state after an answer of the store that holds the revision. What
// earlier reads say of the lease's absence is void in a later era. A lease of the lead
// may be lost, or have been restored, which the next renewal tells.
func (s State) withEraOf(revision uint64, now bltimer.Instant) State {
	era := blplatform.RevisionEra(revision)
	if revision == 0 || s.eraSince != 0 && era <= s.era {
		return s
	}
	s.eraChanged = s.eraChanged || s.eraSince != 0
	s.era, s.eraSince = era, max(now, 1)
	s.leaseAbsentSince = 0
	s.renewedAt = 0
	return s
}

// hasLease reports whether the lead has a lease that exists in the present era.
func (s State) hasLease() bool {
	return s.lease != "" && s.leaseEra >= s.era
}

// isEarlierEra reports whether an answer with the revision was given before the store
// was restored.
func (s State) isEarlierEra(revision uint64) bool {
	return revision != 0 && blplatform.RevisionEra(revision) < s.era
}

// withStored returns the state after the store reported its record. The latest known
// record is kept where the store reports an earlier one after it was restored.
func (s State) withStored(stored Stored, now bltimer.Instant) State {
	if stored.Revision == 0 {
		return s.withoutFound(now)
	}
	s = s.withEraOf(stored.Revision, now)
	if stored.Revision < s.found.Revision {
		return s
	}
	s.found = stored
	if !stored.before(s.stored) {
		s.stored = stored
	}
	return s
}

// withoutFound returns the state after the store reported that there is no record. No
// process removes it, so that one that existed was lost in a restore.
func (s State) withoutFound(now bltimer.Instant) State {
	if s.found.Revision != 0 {
		s.found = Stored{}
		s.eraChanged = true
		s.eraSince = max(now, 1)
		s.leaseAbsentSince = 0
	}
	return s
}

// restored reports whether the record in the store was written before the store was
// restored, or was lost then. A later one may have been lost, so that it says nothing
// about who may be lead. Nor does one that can't be read; where the hold isn't bounded, no
// wait would tell, and it counts as one that names nobody.
func (s State) restored() bool {
	if s.found.Revision == 0 {
		return s.eraChanged
	}
	return s.found.Record.Era < s.era || s.found.isUnreadable() && s.timing.HoldLimit > 0
}

// replaced reports whether the latest known record names another lead.
func (s State) replaced() bool {
	return s.stored.Record.Lead.Incarnation != s.self.Incarnation
}

// isBestCopy reports whether this lead knows a later record than the restored store,
// and may write it again instead of giving way to the stored one.
func (s State) isBestCopy() bool {
	return s.leads() && s.restored() && !s.replaced() && s.found.Record.Term <= s.stored.Record.Term
}

// mayLeadAfterRestore reports whether this process is eligible to lead while the store
// holds a record of an earlier era, or none. A lead of that era may act until its lease
// has expired by its own clock, and then for as long as its standby promises. It has
// stopped when the lease has been absent for the hold limit in the new era. A process may
// know it earlier.
func (s State) mayLeadAfterRestore(now bltimer.Instant) bool {
	expired := s.leaseAbsentFor(s.timing.Lease+s.timing.ClockMargin, now)
	return s.holdLimitPassed(now) || expired && s.remembersLead()
}

// remembersLead reports whether this process knows by its own memory that no other one
// leads: it was the lead of the latest known term itself until shortly before the store
// was restored, or that lead called it as its standby and has resigned or terminated
// since. While that lead may run, it may have appointed another standby.
func (s State) remembersLead() bool {
	known := s.knownTerm()
	if s.standbyTerm != 0 && s.standbyTerm >= known {
		resigned := s.resigned != "" && s.resignedTerm >= known
		ended := s.stored.Record.Term >= known && s.hasEnded(s.stored.Record.Lead.Incarnation)
		return (resigned || ended) && s.eraSince.Sub(s.standbyCalledAt) < standbyMemory
	}
	return s.ledTerm != 0 && s.ledTerm >= known && s.eraSince.Sub(s.ledUntil) < standbyMemory
}

// postponement returns the effect that informs of a takeover that waits because of a
// restored store, once for each era.
func (s State) postponement(now bltimer.Instant) (State, []Effect) {
	if !s.restored() || s.mayLead(now) || s.postponedAt == s.eraSince {
		return s, nil
	}
	s.postponedAt = s.eraSince
	return s, []Effect{TakeoverPostponed{Era: s.era, Term: s.knownTerm()}}
}

// rewriteRecord writes the known record of this lead again when the one in the store is
// of an earlier era than the lease.
func rewriteRecord(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	current := s.writing != nil && s.writing.Record.Era >= s.era
	if current || !s.hasLease() || s.stored.Record.Era >= s.leaseEra || s.leaving {
		return s, effects
	}
	if s.rewrittenAt != 0 && now.Sub(s.rewrittenAt) < s.timing.renewInterval() {
		return s, effects
	}
	s.rewrittenAt = max(now, 1)
	s, write := s.withWrite(s.stored.Record)
	write.Again = true
	s.writing = &write
	return s, append(effects, write)
}
