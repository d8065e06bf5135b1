package blroute

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// Message is what the routing duty reads from its ring.
type Message interface{ routeMessage() }

// Find asks for the upstream that an admitted request goes to.
type Find struct {
	Request blvalue.Request
	Route   blconfig.Route
	Account blvalue.AccountName
	// First tells that this is the request's first attempt.
	First bool
	// Spend tells that the attempt costs the retry budget.
	Spend bool
	// Hedge tells that the request is sent a second time beside one that runs.
	Hedge bool
	// Avoid is an upstream that failed the request before.
	Avoid blvalue.UpstreamName
	Reply blring.Reply[Answer]
}

// Answer tells what becomes of an admitted request.
type Answer struct {
	// Refusal is nil when the request goes on.
	Refusal *blvalue.Refusal
	// RetryAfter is how long the caller should wait after a refusal.
	RetryAfter time.Duration
	Account    blvalue.AccountName
	// Service is the one that takes the request, of those that share the route.
	Service blvalue.ServiceName
	Route   blconfig.Route
	Limits  blconfig.Limits
	Target  Target
}

// Target is where a request goes.
type Target struct {
	Node      blvalue.Host
	Upstream  blvalue.UpstreamName
	Service   blvalue.ServiceName
	Partition blvalue.Partition
	// Exclusive tells that the partition has to be granted to the upstream.
	Exclusive bool
	// HedgeAfter is when an idempotent request may go to a second upstream as
	// well, or zero for never.
	HedgeAfter time.Duration
}

// Observed tells how an upstream answered.
type Observed struct {
	Upstream blvalue.UpstreamName
	Latency  time.Duration
	// Failed tells that the upstream broke or shed the request.
	Failed bool
	// Unused tells that the request was never sent.
	Unused bool
	// Load is what the upstream's node said of it, if it said anything.
	Load blvalue.Load
}

// ConfigChanged carries a later configuration.
type ConfigChanged struct{ Accepted blconfig.Accepted }

// DirectoryChanged carries changes of the directory.
type DirectoryChanged struct{ Directory blassign.Directory }

func (Find) routeMessage()             {}
func (Observed) routeMessage()         {}
func (ConfigChanged) routeMessage()    {}
func (DirectoryChanged) routeMessage() {}

// Effect is what the routing duty wants done: answering Find.
type Effect struct {
	Reply  blring.Reply[Answer]
	Answer Answer
}
