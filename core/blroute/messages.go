package blroute

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// Message is an input of the routing duty, read from its ring.
type Message interface{ routeMessage() }

// Find requests an upstream for an admitted request.
type Find struct {
	Request blvalue.Request
	Route   blconfig.Route
	Account blvalue.AccountName
	// First is set on the first attempt of a request.
	First bool
	// ChargeRetryBudget is set on a retry that is charged to the retry budget.
	ChargeRetryBudget bool
	// Hedge is set when the request is sent to a second upstream while the first
	// attempt is still running.
	Hedge bool
	// Avoid is an upstream on which an earlier attempt failed.
	Avoid blvalue.UpstreamName
	Reply blring.Reply[Answer]
}

// Answer is the routing result of a request.
type Answer struct {
	// Refusal is nil when the request may proceed to Target.
	Refusal *blvalue.Refusal
	// RetryAfter is how long the caller should wait before it retries a refused
	// request.
	RetryAfter time.Duration
	Account    blvalue.AccountName
	// Service is the service selected for the request among those that share the
	// route.
	Service blvalue.ServiceName
	Route   blconfig.Route
	Limits  blconfig.Limits
	Target  Target
}

// Target is the destination of a request.
type Target struct {
	Node      blvalue.Host
	Upstream  blvalue.UpstreamName
	Service   blvalue.ServiceName
	Partition blvalue.Partition
	// Exclusive requires that the upstream holds a grant for the partition.
	Exclusive bool
	// HedgeAfter is the delay after which an idempotent request may also be sent
	// to a second upstream. Zero disables hedging.
	HedgeAfter time.Duration
}

// AttemptCompleted reports how an attempt at an upstream ended.
type AttemptCompleted struct {
	Upstream blvalue.UpstreamName
	Latency  time.Duration
	// Failed is set when the upstream failed or shed the request.
	Failed bool
	// Unused is set when the request was never sent to the upstream.
	Unused bool
	// Load is the upstream's load as reported by its node, if it reported any.
	Load blvalue.Load
}

// ConfigChanged carries a newly accepted configuration. Revisions that are not
// newer than the current one are ignored.
type ConfigChanged struct{ Accepted blconfig.Accepted }

// DirectoryChanged carries changes to the directory.
type DirectoryChanged struct{ Directory blassign.Directory }

func (Find) routeMessage()             {}
func (AttemptCompleted) routeMessage() {}
func (ConfigChanged) routeMessage()    {}
func (DirectoryChanged) routeMessage() {}

// Effect is an output of the routing duty: the answer to a Find message.
type Effect struct {
	Reply  blring.Reply[Answer]
	Answer Answer
}
