package blnode

import (
	"context"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blhttp"
)

// Deliver delivers an order forwarded by another node to a local upstream.
func (n *Node) Deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	return n.deliverBeforeEnd(ctx, order, writer, n.deliverForNode)
}

// deliver delivers a caller's order.
func (n *Node) deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	return n.deliverBeforeEnd(ctx, order, writer, n.deliverForCaller)
}

// deliverBeforeEnd delivers an order with no more time than there is before this node
// ends.
func (n *Node) deliverBeforeEnd(
	ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter, deliver blhttp.Deliverer,
) bldeliver.Delivery {
	ctx, release := n.ending.Limit(ctx)
	defer release()
	timeout := n.ending.Bound(order.Timeout)
	if timeout <= 0 && order.Timeout > 0 {
		return bldeliver.Delivery{Refusal: blvalue.NotRun(blvalue.ReasonLeaving, "no time is left on this node"), Retryable: true}
	}
	order.Timeout = timeout
	return deliver(ctx, order, writer)
}

func (n *Node) deliverForNode(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	delivery := n.deliverLocally(ctx, order, writer)
	n.logDelivery(order, delivery)
	return delivery
}

// deliverForCaller delivers an order locally if its target is on this node, and forwards
// it to the target's node otherwise.
func (n *Node) deliverForCaller(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	if order.Target.Node.Incarnation == n.self.Incarnation {
		return n.deliverLocally(ctx, order, writer)
	}
	n.forwarding.Add(1)
	defer n.forwarding.Add(-1)
	ctx, span := n.tracer.Start(ctx, "hop", "", order.RequestID)
	delivery := n.client.Deliver(ctx, order, writer)
	span.With("node", string(order.Target.Node.Name)).End(delivery.Refusal)
	n.recordBrokenAnswer(sourceNode, order, delivery)
	return delivery
}

// deliverLocally delivers an order to an upstream on this node.
func (n *Node) deliverLocally(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	delivery := n.deliverer.Deliver(ctx, order, writer)
	n.recordBrokenAnswer(sourceUpstream, order, delivery)
	return delivery
}
