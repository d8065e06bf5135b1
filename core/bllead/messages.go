package bllead

import (
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is an input of Decide, read from the ring of the lead duty.
type Message interface{ leadMessage() }

// Tick triggers work that is due by time.
type Tick struct{}

// RecordRead is the result of ReadRecord.
type RecordRead struct {
	// SentAt is when the read was sent.
	SentAt bltimer.Instant
	Stored Stored
	// LeaseHolder is the incarnation that holds the lead lease, or empty.
	LeaseHolder blvalue.Incarnation
	// LeaseClaim is the claim under which the lease is held, and LeaseRevision the
	// revision of its key.
	LeaseClaim    Claim
	LeaseRevision uint64
	// Lost lists the incarnations that an operator has declared lost.
	Lost []blvalue.Incarnation
	// Failed is set when the store didn't answer. The other results are then unset.
	Failed bool
}

// LeaseAcquired is the result of AcquireLease.
type LeaseAcquired struct {
	SentAt bltimer.Instant
	Claim  Claim
	Lease  blplatform.LeaseID
	// LeaseRevision is the revision of the lease's key.
	LeaseRevision uint64
	// Stored is the record as read after the lease was acquired.
	Stored Stored
	// Failed is set when the lease wasn't acquired.
	Failed bool
}

// LeaseRenewed is the result of RenewLease.
type LeaseRenewed struct {
	SentAt bltimer.Instant
	Lease  blplatform.LeaseID
	// Era is the latest era in which the store has answered, or zero if that is unknown.
	Era blplatform.Era
	// Lost is set when the store has ended the lease.
	Lost bool
	// Stored is the record as read after the loss, if Read is set.
	Stored Stored
	Read   bool
	// Failed is set when the store didn't answer.
	Failed bool
}

// RecordWritten is the result of WriteRecord.
type RecordWritten struct {
	WriteID string
	Outcome blplatform.Outcome
	// Current is the record in the store when the outcome became known.
	Current Stored
}

// StandbyAsked is the lead's call to its standby, as received by the called
// process.
type StandbyAsked struct {
	Term uint64
	Lead blvalue.Host
	// Standby is the incarnation that the lead intends to call.
	Standby blvalue.Incarnation
	// WantPromise asks the standby not to take over for the length of a lease.
	WantPromise bool
	// Probe asks whether the process, standby or not, reaches the store.
	Probe bool
	// Resigned is the claim of the lease that the lead has given up, so that the
	// called process takes over. It is empty otherwise.
	Resigned Claim
	Reply    blring.Reply[StandbyAnswer]
}

// StandbyAnswer is the standby's answer to StandbyAsked.
type StandbyAnswer struct {
	Incarnation blvalue.Incarnation
	// Promised is set when the standby won't take over for the length of a lead
	// lease from now.
	Promised bool
	// Refusal is the reason why no promise was given.
	Refusal string
	// StoreAnswers is set when the standby reaches the store.
	StoreAnswers bool
}

// StandbyAnswered is the result of AskStandby.
type StandbyAnswered struct {
	SentAt bltimer.Instant
	// Asked is the incarnation that the lead intended to call.
	Asked  blvalue.Incarnation
	Answer StandbyAnswer
	// Failed is set when no answer was received.
	Failed bool
}

// Identified reports the incarnation that answered at the address of a process.
type Identified struct {
	// Asked is the incarnation that was expected there when the call was made.
	Asked       blvalue.Incarnation
	Incarnation blvalue.Incarnation
}

// LeadResponded reports that a lead answered this node's heartbeat.
type LeadResponded struct {
	Term uint64
}

// PeersSeen reports the other nodes that are up.
type PeersSeen struct {
	// Peers are the candidates for the standby.
	Peers []blvalue.Host
	// Known is the number of other nodes that have reported within a longer window,
	// and Active the number of those that have reported within a short one. The
	// ownership duty sets both windows.
	Known  int
	Active int
	// Candidate is the node best suited to lead among those that report that they
	// reach the store, or zero.
	Candidate blvalue.Host
	// Retiring is set while this process's host has no upstream that serves, and
	// other hosts have: the host is likely to be removed for good.
	Retiring bool
}

// NodesCounted carries the number of nodes in the fleet.
type NodesCounted struct{ Nodes int }

// TimingChanged carries the timing of an accepted configuration.
type TimingChanged struct {
	Timing Timing
}

// Resign makes a process that shuts down give up the lead.
type Resign struct{}

func (Tick) leadMessage()            {}
func (RecordRead) leadMessage()      {}
func (LeaseAcquired) leadMessage()   {}
func (LeaseRenewed) leadMessage()    {}
func (RecordWritten) leadMessage()   {}
func (StandbyAsked) leadMessage()    {}
func (StandbyAnswered) leadMessage() {}
func (NodesCounted) leadMessage()    {}
func (Identified) leadMessage()      {}
func (LeadResponded) leadMessage()   {}
func (PeersSeen) leadMessage()       {}
func (TimingChanged) leadMessage()   {}
func (Resign) leadMessage()          {}
