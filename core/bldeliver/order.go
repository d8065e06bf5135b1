package bldeliver

import (
	"io"
	"time"

	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

// Order is an admitted request to be sent to an upstream, independent of the
// protocol by which it arrived.
type Order struct {
	Request blvalue.Request
	Account blvalue.AccountName
	Target  blroute.Target
	// Idempotent and Open are copied from the route.
	Idempotent bool
	Open       bool
	// Rank orders requests that wait for a slot: lower ranks go first.
	Rank int
	// Class groups requests of similar latency.
	Class     string
	RequestID string
	// URI is the path and query sent to the upstream.
	URI string
	// Header holds the header fields sent to the upstream, without the client key.
	Header map[string][]string
	// Body is the request's body, or nil. BodyLength is -1 if unknown.
	Body       io.Reader
	BodyLength int64
	// TraceParent continues the caller's trace, in the form of W3C Trace
	// Context.
	TraceParent string
	// Timeout is the time left until the caller stops waiting.
	Timeout time.Duration
	// Goal is the time left to meet the route's latency goal, or zero if the route
	// has none.
	Goal time.Duration
}

// ResponseWriter receives an upstream's answer: the head once, before any chunk of
// the body, and the trailer last.
type ResponseWriter interface {
	WriteHeader(status int, header map[string][]string) error
	Write(chunk []byte) (int, error)
	// WriteTrailer is called after the last Write if the answer has a trailer.
	WriteTrailer(trailer map[string][]string) error
}

// Delivery is the outcome of an order.
type Delivery struct {
	// Refusal is nil if the complete answer was passed on.
	Refusal *blvalue.Refusal
	// Started is set if the head of an answer was passed on. A refusal then means
	// that the answer was truncated.
	Started bool
	// Fault is what made the answer broken, or empty. It is known to the node that read
	// the answer.
	Fault blvalue.ResponseFault
	// Retryable is set if the refusal is certainly not_run and may be due to a
	// change of ownership in progress. A retry then costs no upstream any work.
	Retryable bool
	// RetryAfter is the delay after which the upstream is likely to have room, if
	// the order was refused.
	RetryAfter time.Duration
	// Load is the upstream's load as known to the node that serves it.
	Load blvalue.Load
}
