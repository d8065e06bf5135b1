package bldeliver

import (
	"io"
	"time"

	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

// Order is an admitted request on its way to an upstream, whatever the
// protocol by which it came.
type Order struct {
	Request blvalue.Request
	Account blvalue.AccountName
	Target  blroute.Target
	// Idempotent and Open are what the route says.
	Idempotent bool
	Open       bool
	// Rank orders requests that wait for a slot: lower ranks go first.
	Rank int
	// Class names requests that take about the same time.
	Class     string
	RequestID string
	// URI is the path and query that the upstream gets.
	URI string
	// Header holds the fields that the upstream gets, without the client key.
	Header map[string][]string
	// Body is the request's body, or nil. BodyLength is -1 when it is unknown.
	Body       io.Reader
	BodyLength int64
	// TraceParent continues the caller's trace, in the form of W3C Trace
	// Context.
	TraceParent string
	// Timeout is how long the caller goes on waiting.
	Timeout time.Duration
	// Goal is the time left in which an answer is most useful, or zero where
	// the route names none.
	Goal time.Duration
}

// Sink takes the answer of an upstream. Head comes once, before any Write.
type Sink interface {
	Head(status int, header map[string][]string) error
	Write(chunk []byte) (int, error)
	// Trailer comes after the last Write, when there is one.
	Trailer(trailer map[string][]string) error
}

// Delivery tells what became of an order.
type Delivery struct {
	// Refusal is nil when the whole answer went to the sink.
	Refusal *blvalue.Refusal
	// Started tells that the sink got the head of an answer. A refusal then
	// means that the answer was cut short.
	Started bool
	// Repeatable tells that the refusal is sure to be not_run and that the
	// ownership may just be changing, so that trying again costs no upstream
	// anything.
	Repeatable bool
	// RetryAfter is when the upstream is likely to have room, after a refusal.
	RetryAfter time.Duration
	// Load is what the upstream's node knows of its work.
	Load blvalue.Load
}
