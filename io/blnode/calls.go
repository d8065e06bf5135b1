package blnode

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bergamotlead/core/blduty"

	"github.com/hashicorp/go-hclog"
	"github.com/justinas/alice"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blpurse"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// Heartbeat answers another node's heartbeat.
func (n *Node) Heartbeat(ctx context.Context, heartbeat blassign.Heartbeat) (blassign.HeartbeatReply, error) {
	heartbeat.Reply = blring.NewReply[blassign.HeartbeatReply]()
	if err := n.duties.assign.Put(heartbeat); err != nil {
		return blassign.HeartbeatReply{}, fmt.Errorf("answer heartbeat: %w", err)
	}
	answer, err := await(ctx, heartbeat.Reply)
	if answer.Term == 0 {
		answer.Lead = n.duties.lead.View().Record().Lead
	}
	return answer, err
}

func await[T any](ctx context.Context, reply blring.Reply[T]) (T, error) {
	answer, err := reply.Await(ctx)
	if err != nil {
		return answer, fmt.Errorf("wait for duty: %w", err)
	}
	return answer, nil
}

// Borrow answers another node's request for tokens.
func (n *Node) Borrow(
	ctx context.Context, node blvalue.Incarnation, needs []blpurse.Need,
) (blpurse.BorrowAnswer, error) {
	reply := blring.NewReply[blpurse.BorrowAnswer]()
	if err := n.duties.purse.Put(blpurse.Borrow{Node: node, Needs: needs, Reply: reply}); err != nil {
		return blpurse.BorrowAnswer{}, fmt.Errorf("lend: %w", err)
	}
	return await(ctx, reply)
}

// AskStandby answers the lead's call to its standby.
func (n *Node) AskStandby(ctx context.Context, asked bllead.StandbyAsked) (bllead.StandbyAnswer, error) {
	asked.Reply = blring.NewReply[bllead.StandbyAnswer]()
	if err := n.duties.lead.Put(asked); err != nil {
		return bllead.StandbyAnswer{}, fmt.Errorf("answer lead: %w", err)
	}
	return await(ctx, asked.Reply)
}

// Nudge sends a heartbeat without waiting for its period.
func (n *Node) Nudge() {
	n.drop("member", n.duties.member.Put(blmember.ReportSoon{}))
}

// Deliver hands an order of another node to an upstream beside this one.
func (n *Node) Deliver(ctx context.Context, order bldeliver.Order, sink bldeliver.Sink) bldeliver.Delivery {
	delivery := n.deliverer.Deliver(ctx, order, sink)
	n.logDelivery(order, delivery)
	return delivery
}

// logDelivery writes why an order of another node was not carried out here.
func (n *Node) logDelivery(order bldeliver.Order, delivery bldeliver.Delivery) {
	if delivery.Refusal == nil {
		return
	}
	allowed, leftOut := n.lines.Allow(string(delivery.Refusal.Reason), time.Now())
	if !allowed {
		return
	}
	n.logger.Info("order refused", "request_id", order.RequestID, "upstream", string(order.Target.Upstream),
		"partition", int(order.Target.Partition), "reason", string(delivery.Refusal.Reason),
		"outcome", string(delivery.Refusal.Outcome), "detail", delivery.Refusal.Detail,
		"timeout_ms", order.Timeout.Milliseconds(), "running", delivery.Load.Running, "waiting", delivery.Load.Waiting,
		"left_out", leftOut)
}

// deliver hands a caller's order to the node of its target, which may be this
// one.
func (n *Node) deliver(ctx context.Context, order bldeliver.Order, sink bldeliver.Sink) bldeliver.Delivery {
	if order.Target.Node.Incarnation == n.self.Incarnation {
		return n.deliverer.Deliver(ctx, order, sink)
	}
	ctx, span := n.tracer.Start(ctx, "hop", "", order.RequestID)
	delivery := n.client.Deliver(ctx, order, sink)
	span.With("node", string(order.Target.Node.Name)).End(delivery.Refusal)
	return delivery
}

func (n *Node) announce(announcement blmember.Announcement) error {
	return n.duties.member.Put(blmember.Announced{Announcement: announcement})
}

// stay goes on owning keys until shortly before the platform has sent callers
// elsewhere.
func (n *Node) stay(ctx context.Context) {
	if n.platform.LeaveAfter <= handOverTime {
		return
	}
	select {
	case <-time.After(n.platform.LeaveAfter - handOverTime):
	case <-ctx.Done():
	}
}

// handOverLimit returns how long a leaving node waits at most for new owners,
// where callers go elsewhere after the given time, or are told at once.
func handOverLimit(leaveAfter time.Duration) time.Duration {
	if leaveAfter == 0 {
		return handOverWait
	}
	return min(leaveAfter, handOverTime) + lateHandOver
}

// leave hands partitions and the lead over. It waits until nothing is granted
// here any more, or nobody takes it.
func (n *Node) leave(ctx context.Context) {
	blduty.PutWaiting[blmember.Message](n.duties.member.Put, blmember.Leave{})
	ctx, cancel := context.WithTimeout(ctx, handOverLimit(n.platform.LeaveAfter))
	defer cancel()
	ticker := time.NewTicker(handOverPoll)
	defer ticker.Stop()
	for n.grantsPartitions() && ctx.Err() == nil {
		<-ticker.C
	}
	blduty.PutWaiting[bllead.Message](n.duties.lead.Put, bllead.Resign{})
}

func (n *Node) grantsPartitions() bool {
	for _, grant := range n.duties.grant.View().Grants() {
		if grant.Set.Len()+grant.Dropping().Len() > 0 && n.clock.Now().Before(grant.Until) {
			return true
		}
	}
	return false
}

// chain returns what every HTTP handler is wrapped in.
func (n *Node) chain() alice.Chain {
	return alice.New(n.recoverPanic)
}

// recoverPanic keeps a fault in one request from ending the process.
func (n *Node) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			fault := recover()
			if fault == nil {
				return
			}
			if fault == http.ErrAbortHandler { //nolint:errorlint,err113 // the very value that net/http looks for
				panic(fault)
			}
			n.logger.Error("handler failed", "fault", fmt.Sprint(fault), "stack", hclog.Stacktrace())
			w.WriteHeader(http.StatusInternalServerError)
		}()
		next.ServeHTTP(w, r)
	})
}
