package blgrant

import (
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is what the grant duty reads from its ring.
type Message interface{ grantMessage() }

// Tick tells that time has passed.
type Tick struct{}

// Offered carries the grants of one heartbeat's answer.
type Offered struct {
	// SentAt is when the heartbeat was sent.
	SentAt bltimer.Instant
	Term   uint64
	Offers []Offer
}

// UpstreamsSeen lists the upstreams beside this node. Grants of others end.
type UpstreamsSeen struct {
	Upstreams []blvalue.Upstream
}

// Kept tells what an upstream that keeps its grants has said.
type Kept struct {
	Upstream    blvalue.UpstreamName
	Incarnation blvalue.Incarnation
	// Confirmed is what the upstream holds.
	Confirmed blvalue.PartitionSet
	// Released is what it has given back since the last message.
	Released  blvalue.PartitionSet
	Handovers []Handover
}

// Begin asks to run a request on a partition that this node owns.
type Begin struct {
	Service   blvalue.ServiceName
	Partition blvalue.Partition
	// Cancel cuts the request off when the grant lapses under it.
	Cancel func()
	Reply  blring.Reply[BeginAnswer]
}

// BeginAnswer answers Begin.
type BeginAnswer struct {
	// Refusal is nil when the request may run.
	Refusal *blvalue.Refusal
	Permit  Permit
}

// PermitID numbers the requests that run under a grant.
type PermitID uint64

// Permit allows one request to run.
type Permit struct {
	ID       PermitID
	Upstream blvalue.UpstreamName
	Fence    blvalue.Fence
	// Until is when the grant ends unless it is renewed. The holder checks it
	// again directly before it writes to the upstream.
	Until bltimer.Instant
}

// End tells that a request has ended.
type End struct{ Permit PermitID }

// ReportAsked asks what this node holds, for its next heartbeat.
type ReportAsked struct {
	Reply blring.Reply[[]Held]
}

func (Tick) grantMessage()          {}
func (Offered) grantMessage()       {}
func (UpstreamsSeen) grantMessage() {}
func (Kept) grantMessage()          {}
func (Begin) grantMessage()         {}
func (End) grantMessage()           {}
func (ReportAsked) grantMessage()   {}

// Effect is what the grant duty wants done.
type Effect interface{ grantEffect() }

// AnswerBegin answers Begin.
type AnswerBegin struct {
	Reply  blring.Reply[BeginAnswer]
	Answer BeginAnswer
}

// Report answers ReportAsked.
type Report struct {
	Reply blring.Reply[[]Held]
	Held  []Held
}

// CancelRequest cuts a request off whose grant has lapsed.
type CancelRequest struct{ Cancel func() }

// GrantChanged tells the upstream which partitions it may serve.
type GrantChanged struct{ Grant Grant }

// Released tells that the last request on partitions taken away has ended, so
// that the lead should hear of it soon.
type Released struct{}

func (AnswerBegin) grantEffect()   {}
func (Report) grantEffect()        {}
func (CancelRequest) grantEffect() {}
func (GrantChanged) grantEffect()  {}
func (Released) grantEffect()      {}
