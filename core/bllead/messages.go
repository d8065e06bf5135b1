package bllead

import (
	"strconv"
	"strings"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is what the lead duty reads from its ring.
type Message interface{ leadMessage() }

// Tick tells that time has passed.
type Tick struct{}

// RecordRead answers ReadRecord.
type RecordRead struct {
	// SentAt is when the call was sent.
	SentAt bltimer.Instant
	Stored Stored
	// LeaseHolder is the incarnation that holds the lead lease, or empty.
	LeaseHolder blvalue.Incarnation
	// LeaseClaim is the claim under which it does, and LeaseRevision the revision
	// of the lease's key.
	LeaseClaim    Claim
	LeaseRevision uint64
	// Lost lists the incarnations that an operator declared lost.
	Lost []blvalue.Incarnation
	// Failed tells that the store didn't answer; the rest is then unset.
	Failed bool
}

// LeaseAcquired answers AcquireLease.
type LeaseAcquired struct {
	SentAt bltimer.Instant
	Claim  Claim
	Lease  blplatform.LeaseID
	// Stored is the record as it was read after the lease was held.
	Stored Stored
	// Failed tells that the lease isn't held.
	Failed bool
}

// LeaseRenewed answers RenewLease.
type LeaseRenewed struct {
	SentAt bltimer.Instant
	Lease  blplatform.LeaseID
	// Lost tells that the store ended the lease.
	Lost bool
	// Failed tells that the store didn't answer.
	Failed bool
}

// RecordWritten answers WriteRecord.
type RecordWritten struct {
	WriteID string
	Outcome blplatform.Outcome
	// Current is what the store held when the outcome was learned.
	Current Stored
}

// StandbyAsked is the lead's call to its standby. It arrives at the standby.
type StandbyAsked struct {
	Term uint64
	Lead blvalue.Host
	// Standby is the incarnation that the lead takes for its standby.
	Standby blvalue.Incarnation
	// WantPromise asks the standby not to take over for a while.
	WantPromise bool
	// Probe asks whether the process reaches the store, be it standby or not.
	Probe bool
	// Resigned is set when the lead gives up the lease that it held under this
	// claim: the standby is to take over.
	Resigned Claim
	Reply    blring.Reply[StandbyAnswer]
}

// StandbyAnswer is the standby's answer to StandbyAsked.
type StandbyAnswer struct {
	Incarnation blvalue.Incarnation
	// Promised tells that the standby doesn't take over for the length of a
	// lead lease from now.
	Promised bool
	// Refusal says why it gave no promise.
	Refusal string
	// StoreAnswers tells that the standby reaches the store.
	StoreAnswers bool
}

// StandbyAnswered carries the standby's answer back to the lead.
type StandbyAnswered struct {
	SentAt bltimer.Instant
	// Asked is the incarnation that the lead took for its standby.
	Asked  blvalue.Incarnation
	Answer StandbyAnswer
	// Failed tells that no answer came.
	Failed bool
}

// Identified tells which process answers at an address.
type Identified struct {
	Address     string
	Incarnation blvalue.Incarnation
}

// LeadHeard tells that a lead answered this node's heartbeat.
type LeadHeard struct {
	Term uint64
}

// PeersSeen tells which other nodes are up, for the choice of a standby.
type PeersSeen struct {
	Peers []blvalue.Host
	// Known counts the other nodes that reported in the last while, and Heard
	// those of them that did so just now.
	Known int
	Heard int
	// Fresh is the node that is fittest to lead of those that reach the store, as
	// far as they have said, or zero.
	Fresh blvalue.Host
}

// TimingChanged carries the intervals of an accepted configuration.
type TimingChanged struct {
	Timing Timing
}

// Resign asks a leaving process to give up the lead.
type Resign struct{}

func (Tick) leadMessage()            {}
func (RecordRead) leadMessage()      {}
func (LeaseAcquired) leadMessage()   {}
func (LeaseRenewed) leadMessage()    {}
func (RecordWritten) leadMessage()   {}
func (StandbyAsked) leadMessage()    {}
func (StandbyAnswered) leadMessage() {}
func (Identified) leadMessage()      {}
func (LeadHeard) leadMessage()       {}
func (PeersSeen) leadMessage()       {}
func (TimingChanged) leadMessage()   {}
func (Resign) leadMessage()          {}

// Effect is what the lead duty wants done.
type Effect interface{ leadEffect() }

// ReadRecord reads the lead record, the lead lease and the lost hosts.
type ReadRecord struct{}

// Claim names one attempt at the lead lease. It stands in the lease's key.
type Claim string

// claimMark parts the incarnation from the number of its attempt.
const claimMark = "#"

func newClaim(holder blvalue.Incarnation, number uint64) Claim {
	return Claim(string(holder) + claimMark + strconv.FormatUint(number, 10))
}

// Holder returns the incarnation that made the claim.
func (c Claim) Holder() blvalue.Incarnation {
	holder, _, _ := strings.Cut(string(c), claimMark)
	return blvalue.Incarnation(holder)
}

// AcquireLease takes the lead lease under a claim if its key is still at the
// revision that was read, then reads the record. Zero means that nobody holds
// it.
type AcquireLease struct {
	Revision uint64
	Claim    Claim
}

// RenewLease extends the lead lease.
type RenewLease struct{ Lease blplatform.LeaseID }

// EndLease gives the lead lease back.
type EndLease struct{ Lease blplatform.LeaseID }

// WriteRecord sets the lead record by compare-and-swap.
type WriteRecord struct {
	Base   uint64
	Record Record
}

// AskStandby calls the standby.
type AskStandby struct {
	Term        uint64
	Standby     blvalue.Host
	WantPromise bool
	// Probe asks whether the process reaches the store.
	Probe bool
	// Resigned is the claim of the lease that this lead gives up, or empty.
	Resigned Claim
}

// AnswerStandby answers StandbyAsked.
type AnswerStandby struct {
	Reply  blring.Reply[StandbyAnswer]
	Answer StandbyAnswer
}

// Identify asks which process answers at an address.
type Identify struct{ Address string }

// AuthorityChanged tells the ownership duty what this process may do as lead.
type AuthorityChanged struct{ Authority Authority }

// RecordSeen tells other duties that the known record has changed.
type RecordSeen struct{ Record Record }

func (ReadRecord) leadEffect()       {}
func (AcquireLease) leadEffect()     {}
func (RenewLease) leadEffect()       {}
func (EndLease) leadEffect()         {}
func (WriteRecord) leadEffect()      {}
func (AskStandby) leadEffect()       {}
func (AnswerStandby) leadEffect()    {}
func (Identify) leadEffect()         {}
func (AuthorityChanged) leadEffect() {}
func (RecordSeen) leadEffect()       {}

// Authority is what a process may do as lead.
type Authority struct {
	// Term is zero for a process that isn't lead.
	Term uint64
	// Until is when the authority ends unless it is extended.
	Until bltimer.Instant
	// MayChange tells whether the lead may change what is stored.
	MayChange bool
	// LapsedAt is a moment at which no earlier lead had authority any more.
	LapsedAt bltimer.Instant
	Standby  blvalue.Host
}

// Holds reports whether the authority lasts at now.
func (a Authority) Holds(now bltimer.Instant) bool {
	return a.Term != 0 && now.Before(a.Until)
}

// SettledAt returns when all that earlier leads gave out has lapsed, given for
// how long it may last.
func (a Authority) SettledAt(lasts time.Duration) bltimer.Instant {
	return a.LapsedAt.Add(lasts)
}
