package bllead

import (
	"time"

	"bergamotlead/core/bllifecycle"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Timing holds the intervals on which the lead duty acts.
type Timing struct {
	Lease    time.Duration
	GrantTTL time.Duration
	Margin   time.Duration
	// HoldLimit bounds the time for which a lead goes on without the store. Any
	// process may take over once the lease has been absent that long. Zero is no
	// bound, and lets nobody else take over while lead or standby may be alive.
	HoldLimit time.Duration
}

// renewals is how often a lease is renewed within its time to live.
const renewals = 4

func (t Timing) renewEvery() time.Duration {
	return t.Lease / renewals
}

// State is the lead duty's immutable state.
type State struct {
	self      blvalue.Host
	timing    Timing
	lifecycle bllifecycle.Lifecycle[Role, roleEvent]

	stored Stored
	peers  []blvalue.Host
	// known and heard count the other nodes, as PeersSeen tells.
	known int
	heard int
	// fresh is a node that may reach the store, and probedAt when it was asked.
	fresh    blvalue.Host
	probedAt bltimer.Instant
	ended    bltable.Table[blvalue.Incarnation, bool]
	writeSeq uint64

	// As lead.
	lease blplatform.LeaseID
	// claim names the latest attempt at the lease, the claims-th one.
	claim        Claim
	claims       uint64
	leaseUntil   bltimer.Instant
	promiseUntil bltimer.Instant
	standbyHeard bltimer.Instant
	// writing is the write of the record whose outcome isn't known yet.
	writing *WriteRecord
	// doubtful tells that the write was sent and its answer was lost.
	doubtful  bool
	writtenAt bltimer.Instant
	renewedAt bltimer.Instant
	askedAt   bltimer.Instant
	announced Authority
	// gainedAt is when this process became lead, and hushedAt since when it has
	// heard too few others, or zero.
	gainedAt bltimer.Instant
	hushedAt bltimer.Instant
	// shyUntil keeps a lead that gave up unheard from leading again before others
	// had a chance. If none took it, the process leads however few it hears.
	shyUntil bltimer.Instant
	vacated  uint64

	// As standby or follower.
	promisedUntil bltimer.Instant
	leadHeard     bltimer.Instant
	storeHeard    bltimer.Instant
	storeSent     bltimer.Instant
	acquiringAt   bltimer.Instant
	// askedTerm is the term of the lead that last called this process its
	// standby. The record read last may be older than that.
	askedTerm uint64
	// startedAt is when this process first asked the store.
	startedAt bltimer.Instant
	// absentSince is when the store first showed no lease, and showed none ever
	// since. It did so last at absentAt.
	absentSince bltimer.Instant
	absentAt    bltimer.Instant
	// resigned is the claim of the lead that has called this process to take
	// over.
	resigned Claim
	// resignedTerm is the term of that lead.
	resignedTerm uint64
	// lapsedAt is when the earlier lead is known to have had no authority.
	lapsedAt bltimer.Instant
	leaving  bool
}

// New returns the state of a process that has just started.
func New(self blvalue.Host, timing Timing) State {
	return State{self: self, timing: timing, lifecycle: roles().Start(RoleFollower)}
}

// withClaim returns the state with another attempt at the lease.
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

// standsBy reports whether the process has reason to watch the lead closely:
// the record that it knows names it, or a lead has called it its standby.
func (s State) standsBy() bool {
	return s.stored.Record.Names(s.self.Incarnation) ||
		s.askedTerm != 0 && s.askedTerm >= s.stored.Record.Term
}

// Unresolved reports whether a write of the record may still take effect.
func (s State) Unresolved() bool {
	return s.writing != nil
}

// WithTiming returns the state with other intervals.
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

func (s State) withStored(stored Stored) State {
	if stored.Revision >= s.stored.Revision {
		s.stored = stored
	}
	return s
}

func (s State) withEnded(process blvalue.Incarnation) State {
	if process != "" {
		s.ended = s.ended.With(process, true)
	}
	return s
}

func (s State) hasEnded(process blvalue.Incarnation) bool {
	_, ok := s.ended.Get(process)
	return ok
}

// standby returns the standby that the record names, if it may still act.
func (s State) standby() (blvalue.Host, bool) {
	standby := s.stored.Record.Standby
	if standby.IsZero() || s.hasEnded(standby.Incarnation) {
		return blvalue.Host{}, false
	}
	return standby, true
}

// alone reports whether the lead may go on without store and standby: the
// standby is known to have ended, and no write of this lead could have named
// another.
func (s State) alone() bool {
	standby := s.stored.Record.Standby
	return s.writing == nil && !standby.IsZero() && s.hasEnded(standby.Incarnation)
}

// Authority returns what the process may do as lead at now.
func (s State) Authority(now bltimer.Instant) Authority {
	if !s.leads() {
		return Authority{}
	}
	until := max(s.leaseUntil, s.promiseUntil)
	if s.Role() == RoleHolding && s.alone() {
		until = max(until, now.Add(s.timing.Lease))
	}
	return Authority{
		Term:      s.stored.Record.Term,
		Until:     until,
		MayChange: now.Before(s.leaseUntil),
		LapsedAt:  s.lapsedAt,
		Standby:   s.stored.Record.Standby,
	}
}
