package blupstream

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// attempt is the state of one order while the duties of this node process it.
type attempt struct {
	deliverer *Deliverer
	order     bldeliver.Order
	writer    bldeliver.ResponseWriter
	ticket    bldeliver.Ticket
	permit    blgrant.Permit
	// deadline is when the time ends that the order gives the upstream.
	deadline bltimer.Instant
	// connected is set once the request has a connection, after which the
	// upstream may have received it.
	connected atomic.Bool
	// status is that of the upstream's response, or zero while there is none.
	status int
	// bodyFailed is set when the caller's body was cut short or exceeded the
	// limit, which is no failure of the upstream.
	bodyFailed atomic.Bool
	// report is what the response says of the upstream's load.
	report blvalue.UpstreamReport
}

func refused(refusal *blvalue.Refusal) bldeliver.Delivery {
	return bldeliver.Delivery{Refusal: refusal, Retryable: refusal.Reason == blvalue.ReasonNotOwner}
}

func (a *attempt) run(ctx context.Context) bldeliver.Delivery {
	startedAt := a.deliverer.clock.Now()
	a.deadline = startedAt.Add(a.order.Timeout)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slot := a.acquireSlot(ctx, startedAt, func() { cancel(errUploadEnded) })
	if slot.Refusal != nil {
		delivery := refused(slot.Refusal)
		delivery.Retryable = true
		delivery.RetryAfter, delivery.Load = slot.RetryAfter, slot.Load
		return delivery
	}
	if refusal := a.recheck(ctx, startedAt); refusal != nil {
		a.releaseSlot(bldeliver.Release{Result: bldeliver.ResultUnused})
		return refused(refusal)
	}
	if refusal := a.acquirePermit(ctx, func() { cancel(nil) }); refusal != nil {
		a.releaseSlot(bldeliver.Release{Result: bldeliver.ResultUnused})
		return refused(refusal)
	}
	defer a.releasePermit()
	sentAt := a.deliverer.clock.Now()
	delivery, result := a.send(ctx, slot)
	delivery.Load = slot.Load
	now := a.deliverer.clock.Now()
	a.releaseSlot(bldeliver.Release{
		Result: result, Latency: now.Sub(sentAt), ServerError: a.status >= http.StatusInternalServerError, Lost: a.lost(ctx, result, now),
	})
	return delivery
}

// lost reports whether the upstream may have received the request and didn't answer it
// completely, or not in the time that the caller had. What the caller ended earlier isn't
// the upstream's doing.
func (a *attempt) lost(ctx context.Context, result bldeliver.Result, now bltimer.Instant) bool {
	switch {
	case !a.connected.Load() || result == bldeliver.ResultAnswered:
		return false
	case ctx.Err() == nil:
		return result == bldeliver.ResultFailed
	}
	return a.status == 0 && !now.Before(a.deadline)
}

// acquireSlot waits for a slot at the upstream. The request loses it by a call of cancel.
func (a *attempt) acquireSlot(ctx context.Context, now bltimer.Instant, cancel func()) bldeliver.AcquireAnswer {
	reply := blring.NewReply[bldeliver.AcquireAnswer]()
	var goal bltimer.Instant
	if a.order.Goal > 0 {
		goal = now.Add(a.order.Goal)
	}
	err := a.deliverer.duties.Deliver(bldeliver.Acquire{
		Ticket: a.ticket, Upstream: a.order.Target.Upstream, Service: a.order.Target.Service, Account: a.order.Account, Rank: a.order.Rank, Class: a.order.Class,
		Deadline: a.deadline, Goal: goal, Cancel: cancel, Reply: reply,
	})
	if err != nil {
		return bldeliver.AcquireAnswer{Refusal: blvalue.NotRun(blvalue.ReasonOverload, err.Error())}
	}
	answer, err := reply.Await(ctx)
	if err != nil {
		a.releaseSlot(bldeliver.Release{Result: bldeliver.ResultUnused})
		return bldeliver.AcquireAnswer{
			Refusal: blvalue.NotRun(contextReason(ctx), "the request ended while it waited for a slot"),
		}
	}
	return answer
}

func contextReason(ctx context.Context) blvalue.RefusalReason {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return blvalue.ReasonTimeout
	}
	return blvalue.ReasonCancelled
}

func (a *attempt) releaseSlot(release bldeliver.Release) {
	release.Ticket, release.Report = a.ticket, a.report
	blduty.PutBlocking[bldeliver.Message](a.deliverer.duties.Deliver, release)
}

// recheck checks after a long wait whether the client key is still valid.
func (a *attempt) recheck(ctx context.Context, startedAt bltimer.Instant) *blvalue.Refusal {
	if a.deliverer.clock.Now().Sub(startedAt) < recheckAfter {
		return nil
	}
	reply := blring.NewReply[*blvalue.Refusal]()
	err := a.deliverer.duties.Admit(bladmit.Recheck{
		Request: a.order.Request, Account: a.order.Account, Open: a.order.Open, Reply: reply,
	})
	if err != nil {
		return blvalue.NotRun(blvalue.ReasonOverload, err.Error())
	}
	refusal, err := reply.Await(ctx)
	if err != nil {
		return blvalue.NotRun(contextReason(ctx), "the request ended before it ran")
	}
	return refusal
}

// acquirePermit acquires a permit for a partition that requires a grant.
func (a *attempt) acquirePermit(ctx context.Context, cancel func()) *blvalue.Refusal {
	if !a.order.Target.Exclusive {
		return nil
	}
	reply := blring.NewReply[blgrant.BeginAnswer]()
	err := a.deliverer.duties.Grant(blgrant.Begin{
		Service: a.order.Target.Service, Partition: a.order.Target.Partition, Cancel: cancel, Reply: reply,
	})
	if err != nil {
		return blvalue.NotRun(blvalue.ReasonOverload, err.Error())
	}
	// The wait ignores cancellation: the grant duty always answers, and a permit
	// whose answer nobody received would never be released.
	answer, err := reply.Await(context.WithoutCancel(ctx))
	if err != nil {
		return blvalue.NotRun(contextReason(ctx), "the request ended before it ran")
	}
	a.permit = answer.Permit
	return answer.Refusal
}

func (a *attempt) releasePermit() {
	if a.permit.ID == 0 {
		return
	}
	blduty.PutBlocking[blgrant.Message](a.deliverer.duties.Grant, blgrant.End{Permit: a.permit.ID})
}
