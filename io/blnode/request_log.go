package blnode

import (
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/io/blupstream"
)

// connectionReplaced logs that a connection to another node went silent.
func (n *Node) connectionReplaced(address string) {
	n.logger.Warn("silent connection to another node closed", "address", address)
}

// logDelivery logs why an order forwarded by another node was refused. The
// number of lines per second is limited for each reason.
func (n *Node) logDelivery(order bldeliver.Order, delivery bldeliver.Delivery) {
	if delivery.Refusal == nil {
		return
	}
	allowed, suppressed := n.logLimiter.Allow(string(delivery.Refusal.Reason), time.Now())
	if !allowed {
		return
	}
	n.logger.Info("order refused", "request_id", order.RequestID, "upstream", string(order.Target.Upstream),
		"partition", int(order.Target.Partition), "reason", string(delivery.Refusal.Reason),
		"outcome", string(delivery.Refusal.Outcome), "detail", delivery.Refusal.Detail,
		"timeout_ms", order.Timeout.Milliseconds(), "running", delivery.Load.Running, "waiting", delivery.Load.Waiting,
		"left_out", suppressed)
}

// upstreamFailed counts and logs a failure of an upstream. The number of lines per
// second is limited.
func (n *Node) upstreamFailed(failure blupstream.Failure) {
	n.metrics.UpstreamFailed(failure.Status)
	allowed, suppressed := n.logLimiter.Allow("upstream failed", time.Now())
	if !allowed {
		return
	}
	n.logger.Info("upstream failed", "request_id", failure.Order.RequestID, "upstream", string(failure.Order.Target.Upstream),
		"partition", int(failure.Order.Target.Partition), "status", failure.Status, "elapsed_ms", failure.Elapsed.Milliseconds(),
		"exclusive", failure.Exclusive, "grant_left_ms", failure.GrantLeft.Milliseconds(), "leaving", n.leaving.Load(),
		"account", string(failure.Order.Account), "timeout_ms", failure.Order.Timeout.Milliseconds(), "left_out", suppressed)
}

// logRejectedAnnouncement logs why an announcement was rejected. The number of lines
// per second is limited.
func (n *Node) logRejectedAnnouncement(err error) {
	allowed, suppressed := n.logLimiter.Allow("announcement", time.Now())
	if allowed {
		n.logger.Warn("announcement rejected", "error", err, "left_out", suppressed)
	}
}

// logEndedUpload counts and logs a stalled upload that gives up its slot. The number of
// lines per second is limited.
func (n *Node) logEndedUpload(upload bldeliver.EndedUpload) {
	n.metrics.UploadEnded()
	if allowed, suppressed := n.logLimiter.Allow("upload ended", time.Now()); allowed {
		n.logger.Warn("upload ended", "reason", "stalled", "upstream", string(upload.Upstream), "account", string(upload.Account), "left_out", suppressed)
	}
}
