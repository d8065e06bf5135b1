package bldeliver

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is what the delivery duty reads from its ring.
type Message interface{ deliverMessage() }

// Ticket numbers a request at this node. The front end draws it.
type Ticket uint64

// Acquire asks for a slot at an upstream beside this node.
type Acquire struct {
	Ticket   Ticket
	Upstream blvalue.UpstreamName
	Account  blvalue.AccountName
	// Rank orders requests that wait: lower ranks go first.
	Rank int
	// Class names requests that take about the same time.
	Class string
	// Deadline is when the caller stops waiting.
	Deadline bltimer.Instant
	// Goal is until when an answer is most useful, or zero.
	Goal  bltimer.Instant
	Reply blring.Reply[AcquireAnswer]
}

// AcquireAnswer answers Acquire.
type AcquireAnswer struct {
	// Refusal is nil when the request has a slot.
	Refusal *blvalue.Refusal
	// Address is where the upstream takes requests.
	Address string
	// Incarnation is the run of the upstream.
	Incarnation blvalue.Incarnation
	// RetryAfter is when there is likely to be room, after a refusal.
	RetryAfter time.Duration
	// Load is the upstream's work at the moment.
	Load blvalue.Load
}

// Result is how a request at an upstream ended.
type Result string

// The results.
const (
	// ResultAnswered means that the upstream answered.
	ResultAnswered Result = "answered"
	// ResultShed means that the upstream refused to take the request.
	ResultShed Result = "shed"
	// ResultBroke means that the connection broke or timed out.
	ResultBroke Result = "broke"
	// ResultUnused means that the slot was given back without a request, or
	// the caller went away.
	ResultUnused Result = "unused"
)

// Release gives a slot back, or leaves the queue.
type Release struct {
	Ticket  Ticket
	Result  Result
	Latency time.Duration
}

// UpstreamsSeen lists the upstreams beside this node.
type UpstreamsSeen struct{ Announcements []blmember.Announcement }

// ConfigChanged carries a later configuration.
type ConfigChanged struct{ Accepted blconfig.Accepted }

// Tick tells that time has passed.
type Tick struct{}

func (Acquire) deliverMessage()       {}
func (Release) deliverMessage()       {}
func (UpstreamsSeen) deliverMessage() {}
func (ConfigChanged) deliverMessage() {}
func (Tick) deliverMessage()          {}

// Effect is what the delivery duty wants done: answering Acquire.
type Effect struct {
	Reply  blring.Reply[AcquireAnswer]
	Answer AcquireAnswer
}
