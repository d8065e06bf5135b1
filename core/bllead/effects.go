package bllead

import (
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// Effect is an output of Decide that the lead duty carries out.
type Effect interface{ leadEffect() }

// ReadRecord reads the lead record, the lead lease and the list of lost hosts.
type ReadRecord struct{}

// AcquireLease acquires the lead lease under a claim if the lease's key is still at
// Revision, then reads the record. Revision zero means that the lease isn't held.
type AcquireLease struct {
	Revision uint64
	Claim    Claim
}

// RenewLease extends the lead lease.
type RenewLease struct{ Lease blplatform.LeaseID }

// EndLease revokes the lead lease.
type EndLease struct{ Lease blplatform.LeaseID }

// WriteRecord sets the lead record by compare-and-swap.
type WriteRecord struct {
	Base   uint64
	Record Record
	// Again is set when the store was restored and lacks the record.
	Again bool
}

// AskStandby calls the standby, or the node to probe.
type AskStandby struct {
	Term        uint64
	Standby     blvalue.Host
	WantPromise bool
	// Probe asks whether the called process reaches the store.
	Probe bool
	// Resigned is the claim of the lease that this lead has given up, or empty.
	Resigned Claim
}

// AnswerStandby answers StandbyAsked.
type AnswerStandby struct {
	Reply  blring.Reply[StandbyAnswer]
	Answer StandbyAnswer
}

// Identify asks which process answers at the address of a host.
type Identify struct{ Host blvalue.Host }

// AuthorityChanged informs the ownership duty of this process's authority.
type AuthorityChanged struct{ Authority Authority }

// RecordSeen informs other duties that the known record has changed.
type RecordSeen struct{ Record Record }

// EraSeen informs that the store has been restored from an older copy.
type EraSeen struct{ Era blplatform.Era }

// TakeoverPostponed informs that this process leaves the lead to others for now, since
// the store was restored and a lead that it doesn't show may act.
type TakeoverPostponed struct {
	Era blplatform.Era
	// Term is the latest term that this process knows of.
	Term uint64
}

func (EraSeen) leadEffect()           {}
func (TakeoverPostponed) leadEffect() {}
func (ReadRecord) leadEffect()        {}
func (AcquireLease) leadEffect()      {}
func (RenewLease) leadEffect()        {}
func (EndLease) leadEffect()          {}
func (WriteRecord) leadEffect()       {}
func (AskStandby) leadEffect()        {}
func (AnswerStandby) leadEffect()     {}
func (Identify) leadEffect()          {}
func (AuthorityChanged) leadEffect()  {}
func (RecordSeen) leadEffect()        {}
