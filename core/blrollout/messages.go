// Package blrollout decides on the lead how the traffic of a service moves to the
// upstreams of another version: which upstreams get requests, how many, whether the
// version is good, and when the roll-out is completed or rolled back.
package blrollout

import (
	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// Message is an input of Decide, read from the ring of the roll-out duty.
type Message interface{ rolloutMessage() }

// Tick triggers work that is due by time.
type Tick struct{}

// AuthorityChanged carries what this process may do as lead.
type AuthorityChanged struct{ Authority bllead.Authority }

// ConfigSeen carries the configuration that the lead distributes, with the orders.
type ConfigSeen struct{ Accepted blconfig.Accepted }

// ViewSeen carries what the fleet looks like.
type ViewSeen struct{ View blassign.RolloutView }

// ResultsSeen carries the results that one node reported.
type ResultsSeen struct{ Reported blassign.ResultsReported }

// RecordLoaded is the result of LoadRecord.
type RecordLoaded struct {
	Term    uint64
	Service blvalue.ServiceName
	// Record is zero when the store holds none.
	Record Record
	// Failed is set when the store didn't answer.
	Failed bool
}

// RecordWritten is the result of WriteRecord.
type RecordWritten struct {
	Term    uint64
	Service blvalue.ServiceName
	WriteID string
	Outcome blplatform.Outcome
	// Current is the stored record at the time the outcome became known.
	Current Record
}

// StatusWritten is the result of WriteStatus.
type StatusWritten struct {
	Term   uint64
	Status Status
	// Failed is set when the status may not have been stored.
	Failed bool
}

func (Tick) rolloutMessage()             {}
func (AuthorityChanged) rolloutMessage() {}
func (ConfigSeen) rolloutMessage()       {}
func (ViewSeen) rolloutMessage()         {}
func (ResultsSeen) rolloutMessage()      {}
func (RecordLoaded) rolloutMessage()     {}
func (RecordWritten) rolloutMessage()    {}
func (StatusWritten) rolloutMessage()    {}

// Phase is the state of a roll-out as operators see it.
type Phase string

// The phases.
const (
	PhaseRunning    Phase = "running"
	PhaseCompleted  Phase = "completed"
	PhaseRolledBack Phase = "rolled_back"
)

// Record is the durable state of the latest roll-out of a service.
type Record struct {
	// Revision is the record's revision in the store, zero before its first write.
	Revision uint64
	Order    blconfig.RolloutOrder
	Phase    Phase
	// Reserved is the number of requests that leads may have allowed to upstreams of the
	// version.
	Reserved uint64
	// Reason says why the roll-out ended.
	Reason string
	// Superseded is the target of the preceding order if that didn't complete. Its
	// upstreams stay held.
	Superseded string
	// Others is the number of upstreams of other versions that the writer knew. A lead that
	// knows fewer may not have heard of one that still runs requests.
	Others int
	// Term is the term of the lead that wrote the record.
	Term    uint64
	WriteID string
}

// Status is what operators read of a roll-out.
type Status struct {
	Service blvalue.ServiceName
	Target  string
	Phase   Phase
}

// Effect is an output of Decide that the roll-out duty carries out.
type Effect interface{ rolloutEffect() }

// LoadRecord reads the record of a service.
type LoadRecord struct {
	Term    uint64
	Service blvalue.ServiceName
}

// WriteRecord sets the record of a service by compare-and-swap.
type WriteRecord struct {
	Service blvalue.ServiceName
	// Base is the revision that the write replaces, zero if there is no record.
	Base   uint64
	Record Record
}

// WriteStatus stores the status of a roll-out.
type WriteStatus struct {
	Term   uint64
	Status Status
}

// Publish passes an admission to the ownership duty.
type Publish struct{ Admission blassign.AdmissionChanged }

// Decided reports a decision with what it was based on, for the log.
type Decided struct {
	Service blvalue.ServiceName
	Order   blconfig.RolloutOrder
	// Decision names the step, such as canaries, released, passed or rolled_back.
	Decision string
	Reason   string
	// Results holds the sums by version and class on which it was based.
	Results []VersionResults
}

// VersionResults are the summed results of a version in one class.
type VersionResults struct {
	Target   bool
	Class    string
	Answered uint64
	Failed   uint64
	Slow     uint64
}

func (LoadRecord) rolloutEffect()  {}
func (WriteRecord) rolloutEffect() {}
func (WriteStatus) rolloutEffect() {}
func (Publish) rolloutEffect()     {}
func (Decided) rolloutEffect()     {}
