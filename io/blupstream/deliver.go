// Package blupstream hands requests and grants to the upstream beside a node,
// over HTTP.
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

// Duties are the rings that a delivery passes.
type Duties struct {
	Deliver func(bldeliver.Message) error
	Grant   func(blgrant.Message) error
	Admit   func(bladmit.Message) error
}

// Deliverer hands orders to upstreams beside this node.
type Deliverer struct {
	duties    Duties
	clock     bltimer.Clock
	tracer    *bltrace.Tracer
	transport http.RoundTripper
	dialect   Dialect
	tickets   atomic.Uint64
}

const (
	// recheckAfter is how long a request may wait before its client key is
	// looked at again.
	recheckAfter = 100 * time.Millisecond
	copyBytes    = 32 << 10
)

// New returns a deliverer that sends requests by transport, which must not
// repeat them.
func New(
	duties Duties, transport http.RoundTripper, dialect Dialect, clock bltimer.Clock, tracer *bltrace.Tracer,
) *Deliverer {
	return &Deliverer{duties: duties, transport: transport, dialect: dialect, clock: clock, tracer: tracer}
}

// Deliver hands order to its upstream and passes the answer to sink.
func (d *Deliverer) Deliver(ctx context.Context, order bldeliver.Order, sink bldeliver.Sink) bldeliver.Delivery {
	ctx, span := d.tracer.Start(ctx, "deliver", order.TraceParent, order.RequestID)
	a := &attempt{deliverer: d, order: order, sink: sink, ticket: bldeliver.Ticket(d.tickets.Add(1))}
	delivery := a.run(ctx)
	span.With("upstream", string(order.Target.Upstream)).End(delivery.Refusal)
	return delivery
}
