package blnode

import (
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blresponse"
)

// Sources of broken responses, as logs and metrics name them.
const (
	sourceUpstream = "upstream"
	sourceOrder    = "order"
	sourceNode     = "node"
	sourceStore    = "store"
)

// recordBroken counts and logs a broken response. args are further fields of the line. The
// number of lines per second is limited for each source and fault.
func (n *Node) recordBroken(source string, fault blvalue.ResponseFault, args ...any) {
	n.metrics.BrokenResponse(source, fault)
	allowed, suppressed := n.logLimiter.Allow("broken response "+source+" "+string(fault), time.Now())
	if allowed {
		args = append([]any{"source", source, "fault", string(fault)}, args...)
		n.logger.Warn("broken response", append(args, "left_out", suppressed)...)
	}
}

// recordBrokenAnswer records a broken answer to an order of a request.
func (n *Node) recordBrokenAnswer(source string, order bldeliver.Order, delivery bldeliver.Delivery) {
	if delivery.Fault == "" {
		return
	}
	n.recordBroken(source, delivery.Fault, "request_id", order.RequestID, "upstream", string(order.Target.Upstream),
		"node", string(order.Target.Node.Name), "outcome", string(delivery.Refusal.Outcome), "detail", delivery.Refusal.Detail)
}

// recordBrokenOrders records the broken responses of an upstream to orders about partitions.
func (n *Node) recordBrokenOrders(send blreconciler.Send, answers []blreconciler.Answer) {
	for _, answer := range answers {
		if answer.Fault != "" {
			n.recordBroken(sourceOrder, answer.Fault, "upstream", string(send.Upstream.Name), "kind", string(answer.Order.Kind))
		}
	}
}

// recordFailedGrant records the broken response of an upstream to a grant. One that got no
// response at all is sent anew with the next.
func (n *Node) recordFailedGrant(upstream blvalue.UpstreamName, err error) {
	if fault := blresponse.FaultOf(err); fault != "" {
		n.recordBroken(sourceOrder, fault, "upstream", string(upstream), "kind", string(blreconciler.KindGrant), "error", err)
	}
}

// recordBrokenStore records a broken response of the store.
func (n *Node) recordBrokenStore(err error) {
	n.recordBroken(sourceStore, blresponse.FaultOf(err), "error", err)
}
