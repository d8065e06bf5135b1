package bldeliver

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is an input of the delivery duty, read from its ring.
type Message interface{ deliverMessage() }

// Ticket identifies a request at this node. The front end assigns it.
type Ticket uint64

// Acquire requests a slot at a local upstream.
type Acquire struct {
	Ticket   Ticket
	Upstream blvalue.UpstreamName
	// Service is the service that the request is for.
	Service blvalue.ServiceName
	Account blvalue.AccountName
	// Rank orders waiting requests: lower ranks go first.
	Rank int
	// Class groups requests of similar latency.
	Class string
	// Deadline is when the caller stops waiting.
	Deadline bltimer.Instant
	// Goal is the time by which an answer meets the latency goal, or zero if
	// there is none.
	Goal bltimer.Instant
	// Cancel ends the request once it has a slot. It is called if its body stalls while
	// others wait for the slot, and may be nil for a request without one.
	Cancel func()
	Reply  blring.Reply[AcquireAnswer]
}

// AcquireAnswer answers Acquire.
type AcquireAnswer struct {
	// Refusal is nil if the request was given a slot.
	Refusal *blvalue.Refusal
	// Address is the address at which the upstream accepts requests.
	Address string
	// Incarnation identifies the upstream's current process.
	Incarnation blvalue.Incarnation
	// RetryAfter is the delay after which a refused request is likely to be
	// admitted.
	RetryAfter time.Duration
	// Load is the upstream's current load.
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
	// ResultFailed means that the connection failed or timed out.
	ResultFailed Result = "broke"
	// ResultUnused means that no request was sent in the slot, or that the caller
	// cancelled.
	ResultUnused Result = "unused"
)

// Release returns a slot, or removes a waiting request from the queue.
type Release struct {
	Ticket  Ticket
	Result  Result
	Latency time.Duration
	// ServerError is set when the upstream answered with a status of 500 or above, and
	// Lost when the request was sent and its answer was lost, broken or too late.
	ServerError bool
	Lost        bool
	// Report is what the upstream's response says of its load.
	Report blvalue.UpstreamReport
}

// UpstreamsSeen carries the announcements of all local upstreams.
type UpstreamsSeen struct{ Announcements []blmember.Announcement }

// ConfigChanged carries a new configuration. One that isn't newer than the
// configuration in use is ignored.
type ConfigChanged struct{ Accepted blconfig.Accepted }

// AllowancesSeen carries what the lead allows the node to send to its upstreams of
// unproven versions.
type AllowancesSeen struct {
	// SentAt is when the node sent the heartbeat that the lead answered.
	SentAt bltimer.Instant
	// Term is the term of the lead.
	Term       uint64
	Allowances []blvalue.Allowance
}

func (AllowancesSeen) deliverMessage() {}

// DirectoryChanged carries changes to the directory, which say what upstreams are held.
type DirectoryChanged struct{ Directory blassign.Directory }

func (DirectoryChanged) deliverMessage() {}

// Tick triggers the work that depends on time: it refuses requests that expired,
// became too late or wait for a closed upstream, and admits requests under the
// cold-start rate.
type Tick struct{}

// Close refuses all waiting requests and all later ones. Running ones go on.
type Close struct{}

func (Close) deliverMessage()         {}
func (Acquire) deliverMessage()       {}
func (Release) deliverMessage()       {}
func (UpstreamsSeen) deliverMessage() {}
func (ConfigChanged) deliverMessage() {}
func (Tick) deliverMessage()          {}

// Effect is an output of the delivery duty: the answer to an Acquire message, or the end
// of an upload if its Cancel is set.
type Effect struct {
	Reply  blring.Reply[AcquireAnswer]
	Answer AcquireAnswer
	Upload EndedUpload
}
