package blgrant

import (
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is an input of the grant duty, read from its ring.
type Message interface{ grantMessage() }

// Tick tells the duty that time has passed.
type Tick struct{}

// OffersReceived carries the grants of one heartbeat reply.
type OffersReceived struct {
	// SentAt is when the heartbeat was sent.
	SentAt bltimer.Instant
	Term   uint64
	Offers []Offer
}

// UpstreamsSeen lists the local upstreams of this node. The grants of all other
// upstreams end.
type UpstreamsSeen struct {
	Upstreams []blvalue.Upstream
}

// UpstreamHoldings reports the holdings of an upstream that keeps its grants.
type UpstreamHoldings struct {
	Upstream    blvalue.UpstreamName
	Incarnation blvalue.Incarnation
	// Confirmed is the set of partitions that the upstream holds.
	Confirmed blvalue.PartitionSet
	// Released is the set that it has returned since the last message, and
	// Handovers holds the tokens that it returned with them.
	Released  blvalue.PartitionSet
	Handovers []Handover
}

// Begin asks to run a request on a partition that this node owns.
type Begin struct {
	Service   blvalue.ServiceName
	Partition blvalue.Partition
	// Cancel cancels the request when the grant expires while it runs.
	Cancel func()
	Reply  blring.Reply[BeginAnswer]
}

// BeginAnswer answers Begin.
type BeginAnswer struct {
	// Refusal is nil when the request may run.
	Refusal *blvalue.Refusal
	Permit  Permit
}

// PermitID identifies a request that runs under a grant.
type PermitID uint64

// Permit allows one request to run.
type Permit struct {
	ID       PermitID
	Upstream blvalue.UpstreamName
	Fence    blvalue.Fence
	// Until is when the grant expires unless it is renewed. The holder checks
	// it again directly before it writes to the upstream.
	Until bltimer.Instant
}

// End reports that a request has ended.
type End struct{ Permit PermitID }

// ReportRequested requests a report on the node's grants, for its next heartbeat.
type ReportRequested struct {
	Reply blring.Reply[[]Held]
}

func (Tick) grantMessage()             {}
func (OffersReceived) grantMessage()   {}
func (UpstreamsSeen) grantMessage()    {}
func (UpstreamHoldings) grantMessage() {}
func (Begin) grantMessage()            {}
func (End) grantMessage()              {}
func (ReportRequested) grantMessage()  {}

// Effect is an action requested by the grant duty.
type Effect interface{ grantEffect() }

// AnswerBegin answers Begin.
type AnswerBegin struct {
	Reply  blring.Reply[BeginAnswer]
	Answer BeginAnswer
}

// Report answers ReportRequested.
type Report struct {
	Reply blring.Reply[[]Held]
	Held  []Held
}

// CancelRequest cancels a request whose grant has expired.
type CancelRequest struct{ Cancel func() }

// GrantChanged tells the upstream which partitions it may serve.
type GrantChanged struct{ Grant Grant }

// Released requests an early heartbeat to the lead, because none of the revoked
// partitions is in use any more.
type Released struct{}

func (AnswerBegin) grantEffect()   {}
func (Report) grantEffect()        {}
func (CancelRequest) grantEffect() {}
func (GrantChanged) grantEffect()  {}
func (Released) grantEffect()      {}
