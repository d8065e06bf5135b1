package bllead

import (
	"fmt"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// standbySilence is how long a standby may be silent before the lead names
	// another.
	standbySilence = time.Second
	// followerReadEvery is how often a process without a lead reads the record.
	followerReadEvery = 400 * time.Millisecond
	// standbyReadEvery is how often a standby without a lead reads the record.
	standbyReadEvery = 50 * time.Millisecond
	// acquireTimeout ends an attempt to take the lease that got no answer.
	acquireTimeout = 2 * time.Second
)

// Decide computes the next state and the effects of one message. Authority
// that ran out before the message ends before the message is looked at.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	known := s.stored
	s, lapsed := lapse(s, now)
	next, effects := decide(s, message, now)
	effects = append(lapsed, effects...)
	if next.stored != known {
		effects = append(effects, RecordSeen{Record: next.stored.Record})
	}
	return announce(next, effects, now)
}

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

func decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Tick:
		return tick(s, now)
	case RecordRead:
		return recordRead(s, m, now)
	case LeaseAcquired:
		return leaseAcquired(s, m, now)
	case LeaseRenewed:
		return leaseRenewed(s, m, now)
	case RecordWritten:
		return recordWritten(s, m, now)
	case StandbyAsked:
		return standbyAsked(s, m, now)
	case StandbyAnswered:
		return standbyAnswered(s, m, now)
	case Identified:
		return identified(s, m), nil
	case LeadHeard:
		return leadHeard(s, m, now), nil
	case PeersSeen:
		s.peers = m.Peers
		return s, nil
	case TimingChanged:
		return s.WithTiming(m.Timing), nil
	case Resign:
		return resign(s)
	}
	return s, nil
}

// announce tells the ownership duty when the authority has changed.
func announce(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	authority := s.Authority(now)
	if authority == s.announced {
		return s, effects
	}
	s.announced = authority
	return s, append(effects, AuthorityChanged{Authority: authority})
}

func tick(s State, now bltimer.Instant) (State, []Effect) {
	s, resolving := resolve(s, now)
	s, effects := roleTick(s, now)
	return s, append(resolving, effects...)
}

// resolve sends a write of the record again whose outcome is in doubt. The
// same write can't take effect twice, since its base moves with the first.
func resolve(s State, now bltimer.Instant) (State, []Effect) {
	if !s.doubtful || now.Sub(s.writtenAt) < s.timing.renewEvery() {
		return s, nil
	}
	s.writtenAt = now
	return s, []Effect{*s.writing}
}

func roleTick(s State, now bltimer.Instant) (State, []Effect) {
	switch s.Role() {
	case RoleFollower:
		return followerTick(s, now)
	case RoleAcquiring:
		if now.Sub(s.acquiringAt) > acquireTimeout {
			return s.withEvent(eventLose), nil
		}
		return s, nil
	case RoleClaiming:
		return claimingTick(s, now)
	case RoleLeading, RoleHolding:
		return leadTick(s, now)
	}
	return s, nil
}

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
	if s.standsBy() {
		return standbyReadEvery
	}
	return followerReadEvery
}

// missesLead reports whether no lead was heard for too long: half a lease for
// the standby, which the lead calls four times in a lease, and the life of a
// grant for others, which hear of it by their heartbeats.
func (s State) missesLead(now bltimer.Instant) bool {
	patience := s.timing.GrantTTL
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

func leadTick(s State, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	s, effects = renew(s, effects, now)
	s, effects = askStandby(s, effects, now)
	return nameStandby(s, effects, now)
}

// mayHold reports whether the lead may go on without the lease. A lead with an
// unresolved write of the record may not: the standby it may have named is
// alive.
func (s State) mayHold(now bltimer.Instant) bool {
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
		return s, append(effects, AcquireLease{})
	}
	return s, append(effects, RenewLease{Lease: s.lease})
}

// askStandby keeps the standby informed, and asks for its promise as soon as
// the lease has missed a renewal.
func askStandby(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	standby, ok := s.standby()
	if !ok || now.Sub(s.askedAt) < s.timing.renewEvery() {
		return s, effects
	}
	s.askedAt = now
	missed := s.leaseUntil.Sub(now) < s.timing.Lease-2*s.timing.renewEvery()
	return s, append(effects, AskStandby{
		Term: s.stored.Record.Term, Standby: standby, WantPromise: missed && s.writing == nil,
	})
}

// nameStandby writes a record with another standby when there is none that
// answers. It needs the store.
func nameStandby(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	if s.writing != nil || !now.Before(s.leaseUntil) || s.leaving {
		return s, effects
	}
	current, ok := s.standby()
	if ok && now.Sub(s.standbyHeard) < standbySilence {
		return s, effects
	}
	chosen := s.chooseStandby(current.Incarnation)
	if chosen.IsZero() {
		return s, effects
	}
	var write WriteRecord
	s, write = s.withWrite(s.stored.Record.WithStandby(chosen, ""))
	s.standbyHeard = now
	return s, append(effects, write)
}

// chooseStandby returns a peer in another failure domain, or else any peer.
func (s State) chooseStandby(silent blvalue.Incarnation) blvalue.Host {
	var found blvalue.Host
	for _, peer := range s.peers {
		if peer.Incarnation == s.self.Incarnation || peer.Incarnation == silent || s.hasEnded(peer.Incarnation) {
			continue
		}
		if peer.Domain != s.self.Domain {
			return peer
		}
		if found.IsZero() {
			found = peer
		}
	}
	return found
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

func recordRead(s State, m RecordRead, now bltimer.Instant) (State, []Effect) {
	if m.Failed {
		return s, nil
	}
	s.storeHeard = now
	s = s.withStored(m.Stored)
	for _, lost := range m.Lost {
		s = s.withEnded(lost)
	}
	if s.Role() != RoleFollower || s.leaving {
		return s, nil
	}
	if m.LeaseHolder != "" || !s.mayTakeOver(now) {
		return s, nil
	}
	s = s.withEvent(eventAcquire)
	s.acquiringAt = now
	s.lapsedAt = now
	return s, []Effect{AcquireLease{}}
}

// mayTakeOver reports whether this process may lead next: it is named in the
// record, or both that are have ended, or there is no record; and no promise
// of its own runs.
func (s State) mayTakeOver(now bltimer.Instant) bool {
	if now.Before(s.promisedUntil) || s.writing != nil || !s.missesLead(now) {
		return false
	}
	return s.mayLead()
}

func (s State) mayLead() bool {
	if s.stored.Revision == 0 || s.stored.Record.Names(s.self.Incarnation) {
		return true
	}
	record := s.stored.Record
	standbyEnded := record.Standby.IsZero() || s.hasEnded(record.Standby.Incarnation)
	return s.hasEnded(record.Lead.Incarnation) && standbyEnded
}

func leaseAcquired(s State, m LeaseAcquired, now bltimer.Instant) (State, []Effect) {
	if s.Role() == RoleHolding {
		return leaseRegained(s, m)
	}
	if m.Failed {
		return s.withEvent(eventLose), nil
	}
	s = s.withStored(m.Stored)
	leaseUntil := m.SentAt.Add(s.timing.Lease - s.timing.Margin)
	if s.Role() != RoleAcquiring || !s.mayLead() || !now.Before(leaseUntil) || now.Before(s.promisedUntil) {
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

// leaseRegained ends a hold: the store answers again and the record stands as
// this lead wrote it.
func leaseRegained(s State, m LeaseAcquired) (State, []Effect) {
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
		s.leaseUntil = 0
		return s, nil
	}
	s.storeHeard = now
	if s.Role() == RoleHolding {
		s = s.withEvent(eventResume)
	}
	s.leaseUntil = max(s.leaseUntil, m.SentAt.Add(s.timing.Lease-s.timing.Margin))
	return s, nil
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
	s.settledAt = s.lapsedAt.Add(s.timing.GrantTTL + s.timing.Margin)
	s.renewedAt = now
	return s, nil
}

// recordRefused ends a role whose record another process has replaced.
func recordRefused(s State) (State, []Effect) {
	if s.Role() == RoleFollower {
		return s, nil
	}
	return stepDown(s)
}

func standbyAsked(s State, m StandbyAsked, now bltimer.Instant) (State, []Effect) {
	answer := StandbyAnswer{Incarnation: s.self.Incarnation}
	answer.Refusal = s.refusesPromise(m, now)
	if answer.Refusal == "" && m.WantPromise {
		answer.Promised = true
		s.promisedUntil = max(s.promisedUntil, now.Add(s.timing.Lease+s.timing.Margin))
	}
	effects := []Effect{AnswerStandby{Reply: m.Reply, Answer: answer}}
	if m.Standby == s.self.Incarnation && s.Role() == RoleFollower && m.Term >= s.stored.Record.Term {
		s.leadHeard = now
		s.askedTerm = m.Term
		s, effects = probeStore(s, effects, m.WantPromise, now)
	}
	return s, effects
}

// probeStore reads the store while the lead can't: a standby that reaches it
// takes over rather than let the lead hold.
func probeStore(s State, effects []Effect, wantPromise bool, now bltimer.Instant) (State, []Effect) {
	if !wantPromise || now.Sub(s.storeSent) < standbyReadEvery {
		return s, effects
	}
	s.storeSent = now
	return s, append(effects, ReadRecord{})
}

// refusesPromise returns why the standby promises nothing, or empty text.
func (s State) refusesPromise(m StandbyAsked, now bltimer.Instant) string {
	switch {
	case m.Standby != s.self.Incarnation:
		return "not the standby: another incarnation"
	case s.Role() != RoleFollower:
		return "role is " + string(s.Role())
	case s.writing != nil:
		return "a write of the record is unresolved"
	case m.Term < s.stored.Record.Term:
		return "a later term is known"
	case s.leaving:
		return "leaving"
	case s.storeHeard != 0 && now.Sub(s.storeHeard) < s.timing.Lease/2:
		return "the store answers here"
	}
	return ""
}

func standbyAnswered(s State, m StandbyAnswered, now bltimer.Instant) (State, []Effect) {
	standby := s.stored.Record.Standby
	if m.Failed || m.Asked != standby.Incarnation {
		return s, nil
	}
	if m.Answer.Incarnation != standby.Incarnation {
		return s.withEnded(standby.Incarnation), nil
	}
	s.standbyHeard = now
	if m.Answer.Promised && s.leads() && s.writing == nil {
		s.promiseUntil = max(s.promiseUntil, m.SentAt.Add(s.timing.Lease-s.timing.Margin))
	}
	return s, nil
}

// identified records that a process has ended when another one answers at its
// address.
func identified(s State, m Identified) State {
	for _, host := range []blvalue.Host{s.stored.Record.Lead, s.stored.Record.Standby} {
		if host.Address == m.Address && host.Incarnation != m.Incarnation && m.Incarnation != "" {
			s = s.withEnded(host.Incarnation)
		}
	}
	return s
}

func leadHeard(s State, m LeadHeard, now bltimer.Instant) State {
	if m.Term >= s.stored.Record.Term {
		s.leadHeard = now
	}
	return s
}

// resign gives the lead up, so that the standby takes over at once.
func resign(s State) (State, []Effect) {
	s.leaving = true
	if s.Role() == RoleFollower {
		return s, nil
	}
	return stepDown(s)
}
