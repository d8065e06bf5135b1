package bllead

import (
	"time"

	"bergamotlead/core/bllifecycle"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Timing holds the durations that govern the election.
type Timing struct {
	Lease    time.Duration
	GrantTTL time.Duration
	// ClockMargin allows for clock drift over the duration of a lease or a grant.
	ClockMargin time.Duration
	// HoldLimit bounds how long a lead continues without the store. Any process
	// may take over once the lease has been absent for that long. Zero means no
	// bound: no other process takes over while lead or standby may be alive.
	HoldLimit time.Duration
}

// renewalsPerLease is the number of renewals within the time to live of a lease.
const renewalsPerLease = 4

func (t Timing) renewInterval() time.Duration {
	return t.Lease / renewalsPerLease
}

// State is the immutable state of the election.
type State struct {
	self      blvalue.Host
	timing    Timing
	lifecycle bllifecycle.Lifecycle[Role, roleEvent]

	// stored is the latest record that this process knows, and found the one that the
	// store reported last. They differ after the store was restored.
	stored Stored
	found  Stored
	// era is the era of the latest answer of the store that told it. It was first seen
	// at eraSince. eraChanged is set when an earlier one had been seen before.
	era        blplatform.Era
	eraSince   bltimer.Instant
	eraChanged bool
	// postponedAt is the value of eraSince at which a postponed takeover was last
	// reported.
	postponedAt bltimer.Instant
	// nodes is the number of nodes in the fleet, or zero if it is unknown.
	nodes int
	peers []blvalue.Host
	// knownPeers and activePeers count the other nodes as described at PeersSeen.
	knownPeers  int
	activePeers int
	// candidate is a node that may reach the store. It was last probed at probedAt.
	candidate blvalue.Host
	probedAt  bltimer.Instant
	// retiringSince is since when the host of this process is likely to be removed,
	// or zero.
	retiringSince bltimer.Instant
	// ended holds the incarnations that are known to have terminated, and since when
	// that is known.
	ended    bltable.Table[blvalue.Incarnation, bltimer.Instant]
	writeSeq uint64

	// Fields used as lead.
	lease blplatform.LeaseID
	// claim identifies the latest attempt to acquire the lease, and claims counts
	// the attempts.
	claim      Claim
	claims     uint64
	leaseUntil bltimer.Instant
	// leaseEra is the latest era in which the lease is known to have existed.
	leaseEra blplatform.Era
	// renewalFailed is set from a renewal without an answer until the record is read.
	renewalFailed bool
	// ledTerm is the term in which this process was last lead, until ledUntil.
	ledTerm  uint64
	ledUntil bltimer.Instant
	// rewrittenAt is when the record was last written again after a restore.
	rewrittenAt      bltimer.Instant
	promiseUntil     bltimer.Instant
	standbyContactAt bltimer.Instant
	// writing is the write of the record whose outcome isn't known yet, or nil.
	writing *WriteRecord
	// inDoubt is set when the write was sent and its answer was lost.
	inDoubt      bool
	writeTriedAt bltimer.Instant
	renewedAt    bltimer.Instant
	// unansweredSince is when the first of the renewals that the store has not
	// answered was sent, or zero.
	unansweredSince    bltimer.Instant
	standbyAskedAt     bltimer.Instant
	publishedAuthority Authority
	// leadSince is when this process became lead. isolatedSince is since when it
	// has received heartbeats from too few nodes, or zero.
	leadSince     bltimer.Instant
	isolatedSince bltimer.Instant
	// backoffUntil keeps a lead that stepped down because of isolation, or in favor
	// of a standby with more capacity, from taking over again before others could.
	// releasedTerm is the term in which it released the lead to any process: if none
	// has led since, it stays lead however few nodes send it heartbeats.
	backoffUntil bltimer.Instant
	releasedTerm uint64

	// Fields used as standby or follower.
	promisedUntil  bltimer.Instant
	leadContactAt  bltimer.Instant
	storeContactAt bltimer.Instant
	storeReadAt    bltimer.Instant
	acquireSentAt  bltimer.Instant
	// standbyTerm is the term of the lead that last called this process as its
	// standby. The latest record read may be older than that term.
	standbyTerm uint64
	// standbyCalledAt is when it did, and heardTerm the latest term that another
	// process has told of.
	standbyCalledAt bltimer.Instant
	heardTerm       uint64
	// startedAt is when this process first sent a read that the store answered.
	startedAt bltimer.Instant
	// leaseAbsentSince is the time of the first in the current series of reads that
	// found no lease, or zero. leaseAbsentAt is the time of the latest such read.
	leaseAbsentSince bltimer.Instant
	leaseAbsentAt    bltimer.Instant
	// resigned is the claim of the lead that has asked this process to take over,
	// and resignedTerm that lead's term.
	resigned     Claim
	resignedTerm uint64
	// priorExpiredAt is a time at which the previous lead had no authority any
	// more.
	priorExpiredAt bltimer.Instant
	leaving        bool
}

// New returns the state of a newly started process.
func New(self blvalue.Host, timing Timing) State {
	return State{self: self, timing: timing, lifecycle: roles().Start(RoleFollower)}
}

// withClaim returns the state with a new claim for the next attempt to acquire the
// lease.
func (s State) withClaim() State {
	s.claims++
	s.claim = newClaim(s.self.Incarnation, s.claims)
	return s
}

// Role returns the current role.
func (s State) Role() Role {
	return s.lifecycle.State()
}

// Record returns the latest record that was read or written.
func (s State) Record() Record {
	return s.stored.Record
}

func (s State) leads() bool {
	return s.Role() == RoleLeading || s.Role() == RoleHolding
}

// watchesLead reports whether the process has to detect the loss of the lead
// quickly: the latest record names it, or a lead has called it as its standby.
func (s State) watchesLead() bool {
	return s.stored.Record.Names(s.self.Incarnation) ||
		s.standbyTerm != 0 && s.standbyTerm >= s.stored.Record.Term
}

// Unresolved reports whether a write of the record may still take effect.
func (s State) Unresolved() bool {
	return s.writing != nil
}

// WithTiming returns the state with the given timing.
func (s State) WithTiming(timing Timing) State {
	s.timing = timing
	return s
}

func (s State) withEvent(event roleEvent) State {
	next, err := s.lifecycle.With(event)
	if err == nil {
		s.lifecycle = next
	}
	return s
}

func (s State) withEnded(incarnation blvalue.Incarnation, now bltimer.Instant) State {
	if incarnation != "" && !s.hasEnded(incarnation) {
		s.ended = s.ended.With(incarnation, now)
	}
	return s
}

func (s State) hasEnded(incarnation blvalue.Incarnation) bool {
	_, ok := s.ended.Get(incarnation)
	return ok
}

// standby returns the standby that the record names, unless it is known to have
// terminated.
func (s State) standby() (blvalue.Host, bool) {
	standby := s.stored.Record.Standby
	if standby.IsZero() || s.hasEnded(standby.Incarnation) {
		return blvalue.Host{}, false
	}
	return standby, true
}

// mayHoldAlone reports whether the lead may go on without store and standby: the
// standby is known to have terminated, and no unresolved write of this lead could
// have appointed another.
func (s State) mayHoldAlone() bool {
	standby := s.stored.Record.Standby
	return s.writing == nil && !standby.IsZero() && s.hasEnded(standby.Incarnation)
}

// Authority returns the authority of the process as lead at the given time.
func (s State) Authority(now bltimer.Instant) Authority {
	if !s.leads() {
		return Authority{}
	}
	until := max(s.leaseUntil, s.promiseUntil)
	if s.Role() == RoleHolding && s.mayHoldAlone() {
		until = max(until, now.Add(s.timing.Lease))
	}
	return Authority{
		Term:           s.stored.Record.Term,
		Until:          until,
		MayChange:      now.Before(s.leaseUntil) && s.hasLease(),
		Era:            s.era,
		PriorExpiredAt: s.priorExpiredAt,
		Standby:        s.stored.Record.Standby,
	}
}
