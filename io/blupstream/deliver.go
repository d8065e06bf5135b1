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

// Deliverer sends orders to the upstreams local to this node.
type Deliverer struct {
	duties    Duties
	clock     bltimer.Clock
	tracer    *bltrace.Tracer
	transport http.RoundTripper
	protocol  Protocol
	tickets   atomic.Uint64
}

const (
	// recheckAfter is how long a request may wait for a slot before its client
	// key has to be checked again.
	recheckAfter = 100 * time.Millisecond
	// copyBytes is the size of the chunks in which a response is forwarded. One
	// chunk fits into one frame between nodes.
	copyBytes = 32 << 10
)

// New returns a deliverer that sends requests through transport, which must not
// retry them.
func New(
	duties Duties, transport http.RoundTripper, protocol Protocol, clock bltimer.Clock, tracer *bltrace.Tracer,
) *Deliverer {
	return &Deliverer{duties: duties, transport: transport, protocol: protocol, clock: clock, tracer: tracer}
}

// Deliver sends order to its upstream and writes the response to writer.
func (d *Deliverer) Deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	ctx, span := d.tracer.Start(ctx, "deliver", order.TraceParent, order.RequestID)
	a := &attempt{deliverer: d, order: order, writer: writer, ticket: bldeliver.Ticket(d.tickets.Add(1))}
	delivery := a.run(ctx)
	span.With("upstream", string(order.Target.Upstream)).End(delivery.Refusal)
	return delivery
}
