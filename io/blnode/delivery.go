package blnode

import (
	"context"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
)

// Deliver delivers an order forwarded by another node to a local upstream.
func (n *Node) Deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	ctx, release := n.ending.Limit(ctx)
	defer release()
	order, refusal := n.bounded(order)
	if refusal != nil {
		return bldeliver.Delivery{Refusal: refusal, Retryable: true}
	}
	delivery := n.deliverer.Deliver(ctx, order, writer)
	n.logDelivery(order, delivery)
	return delivery
}

// deliver delivers a caller's order locally if its target is on this node, and
// forwards it to the target's node otherwise.
func (n *Node) deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	ctx, release := n.ending.Limit(ctx)
	defer release()
	order, refusal := n.bounded(order)
	if refusal != nil {
		return bldeliver.Delivery{Refusal: refusal, Retryable: true}
	}
	if order.Target.Node.Incarnation == n.self.Incarnation {
		return n.deliverer.Deliver(ctx, order, writer)
	}
	n.forwarding.Add(1)
	defer n.forwarding.Add(-1)
	ctx, span := n.tracer.Start(ctx, "hop", "", order.RequestID)
	delivery := n.client.Deliver(ctx, order, writer)
	span.With("node", string(order.Target.Node.Name)).End(delivery.Refusal)
	return delivery
}

// bounded returns the order with no more time than there is before this node ends, or a
// refusal if none is left.
func (n *Node) bounded(order bldeliver.Order) (bldeliver.Order, *blvalue.Refusal) {
	timeout := n.ending.Bound(order.Timeout)
	if timeout <= 0 && order.Timeout > 0 {
		return order, blvalue.NotRun(blvalue.ReasonLeaving, "no time is left on this node")
	}
	order.Timeout = timeout
	return order, nil
}
