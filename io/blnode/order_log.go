package blnode

import (
	"time"

	"bergamotlead/core/blreconciler"
)

// orderCounts sums up the answers to one Send.
type orderCounts struct {
	releases, grants int
	// unknown is the number of orders that may take effect later, or already have.
	unknown int
	// refused is the number of orders that the upstream rejected for a higher fence.
	refused int
}

func countOrders(answers []blreconciler.Answer) orderCounts {
	var counts orderCounts
	for _, answer := range answers {
		if answer.Order.Kind == blreconciler.KindGrant {
			counts.grants++
		} else {
			counts.releases++
		}
		switch answer.Result {
		case blreconciler.ResultUnknown:
			counts.unknown++
		case blreconciler.ResultRefused:
			counts.refused++
		case blreconciler.ResultDone, blreconciler.ResultUnsent, blreconciler.ResultStopped:
		}
	}
	return counts
}

// logOrders logs orders that took partitions back, that got no answer, or whose grants
// took longer than the clock margin: what an upstream holds may then differ from what the
// node and the lead know.
func (n *Node) logOrders(send blreconciler.Send, answers []blreconciler.Answer, took time.Duration) {
	counts := countOrders(answers)
	if counts.releases+counts.unknown+counts.refused == 0 && took <= n.platform.Timing.ClockMargin {
		return
	}
	n.logger.Info("orders answered", "upstream", string(send.Upstream.Name), "run", string(send.Upstream.Incarnation),
		"releases", counts.releases, "grants", counts.grants, "unknown", counts.unknown, "refused", counts.refused, "took_ms", took.Milliseconds())
}
