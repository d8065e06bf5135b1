// Package blupstream sends requests and grants over HTTP to the upstreams local
// to the node, and receives their announcements.
package blupstream

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/bltrace"
)

// Duties holds the functions that put messages on the rings of the duties
// involved in a delivery.
type Duties struct {
	Deliver func(bldeliver.Message) error
	Grant   func(blgrant.Message) error
	Admit   func(bladmit.Message) error
}

// Failure describes a response of an upstream with a status of 500 or above that isn't
// a rejection.
type Failure struct {
	Order  bldeliver.Order
	Status int
	// Elapsed is how long the upstream took, and GrantLeft what is left of the
	// grant as it was known when the request was sent. Exclusive is set if
	// there was one.
	Elapsed, GrantLeft time.Duration
	Exclusive          bool
}

// Deliverer sends orders to the upstreams local to this node.
type Deliverer struct {
	duties    Duties
	clock     bltimer.Clock
	tracer    *bltrace.Tracer
	transport http.RoundTripper
	protocol  Protocol
	failed    func(Failure)
	tickets   atomic.Uint64
}

const (
	// recheckAfter is how long a request may wait for a slot before its client
	// key has to be checked again.
	recheckAfter = 100 * time.Millisecond
	// copyBytes is the size of the chunks in which a response is forwarded. One
	// chunk fits into one frame between nodes.
	copyBytes = 32<<10 - 64
)

// New returns a deliverer that sends requests through transport, which must not
// retry them. It calls failed for each failure of an upstream.
func New(
	duties Duties, transport http.RoundTripper, protocol Protocol, clock bltimer.Clock, tracer *bltrace.Tracer, failed func(Failure),
) *Deliverer {
	return &Deliverer{failed: failed, duties: duties, transport: transport, protocol: protocol, clock: clock, tracer: tracer}
}

// Deliver sends order to its upstream and writes the response to writer.
func (d *Deliverer) Deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	ctx, span := d.tracer.Start(ctx, "deliver", order.TraceParent, order.RequestID)
	a := &attempt{deliverer: d, order: order, writer: writer, ticket: bldeliver.Ticket(d.tickets.Add(1))}
	delivery := a.run(ctx)
	span.With("upstream", string(order.Target.Upstream)).End(delivery.Refusal)
	return delivery
}
