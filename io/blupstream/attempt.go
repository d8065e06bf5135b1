package blupstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// attempt is one order on its way through the duties of this node.
type attempt struct {
	deliverer *Deliverer
	order     bldeliver.Order
	sink      bldeliver.Sink
	ticket    bldeliver.Ticket
	permit    blgrant.Permit
	// begun tells that the upstream may have got the request.
	begun atomic.Bool
	// bodyBroke tells that the caller's body broke off or grew too large, which
	// says nothing about the upstream.
	bodyBroke atomic.Bool
}

func refused(refusal *blvalue.Refusal) bldeliver.Delivery {
	return bldeliver.Delivery{Refusal: refusal, Repeatable: refusal.Reason == blvalue.ReasonNotOwner}
}

func (a *attempt) run(ctx context.Context) bldeliver.Delivery {
	started := a.deliverer.clock.Now()
	slot := a.acquire(ctx, started)
	if slot.Refusal != nil {
		delivery := refused(slot.Refusal)
		delivery.Repeatable = true
		delivery.RetryAfter, delivery.Load = slot.RetryAfter, slot.Load
		return delivery
	}
	if refusal := a.recheck(ctx, started); refusal != nil {
		a.release(bldeliver.ResultUnused, 0)
		return refused(refusal)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if refusal := a.begin(ctx, cancel); refusal != nil {
		a.release(bldeliver.ResultUnused, 0)
		return refused(refusal)
	}
	defer a.end()
	written := a.deliverer.clock.Now()
	delivery, result := a.send(ctx, slot)
	delivery.Load = slot.Load
	a.release(result, a.deliverer.clock.Now().Sub(written))
	return delivery
}

// acquire waits for a slot.
func (a *attempt) acquire(ctx context.Context, now bltimer.Instant) bldeliver.AcquireAnswer {
	reply := blring.NewReply[bldeliver.AcquireAnswer]()
	var goal bltimer.Instant
	if a.order.Goal > 0 {
		goal = now.Add(a.order.Goal)
	}
	err := a.deliverer.duties.Deliver(bldeliver.Acquire{
		Ticket: a.ticket, Upstream: a.order.Target.Upstream, Account: a.order.Account, Rank: a.order.Rank, Class: a.order.Class,
		Deadline: now.Add(a.order.Timeout), Goal: goal, Reply: reply,
	})
	if err != nil {
		return bldeliver.AcquireAnswer{Refusal: blvalue.NotRun(blvalue.ReasonOverload, err.Error())}
	}
	answer, err := reply.Await(ctx)
	if err != nil {
		a.release(bldeliver.ResultUnused, 0)
		return bldeliver.AcquireAnswer{
			Refusal: blvalue.NotRun(endReason(ctx), "the request ended while it waited for a slot"),
		}
	}
	return answer
}

func endReason(ctx context.Context) blvalue.RefusalReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return blvalue.ReasonTimeout
	}
	return blvalue.ReasonCancelled
}

func (a *attempt) release(result bldeliver.Result, latency time.Duration) {
	blduty.PutWaiting[bldeliver.Message](a.deliverer.duties.Deliver, bldeliver.Release{
		Ticket: a.ticket, Result: result, Latency: latency,
	})
}

// recheck asks whether the client key still stands after a long wait.
func (a *attempt) recheck(ctx context.Context, started bltimer.Instant) *blvalue.Refusal {
	if a.deliverer.clock.Now().Sub(started) < recheckAfter {
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
		return blvalue.NotRun(endReason(ctx), "the request ended before it ran")
	}
	return refusal
}

// begin takes a permit for a partition that has to be granted.
func (a *attempt) begin(ctx context.Context, cancel func()) *blvalue.Refusal {
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
	// The grant duty always answers, and an answer that nobody took would
	// leave its permit open.
	answer, err := reply.Await(context.WithoutCancel(ctx))
	if err != nil {
		return blvalue.NotRun(endReason(ctx), "the request ended before it ran")
	}
	a.permit = answer.Permit
	return answer.Refusal
}

func (a *attempt) end() {
	if a.permit.ID == 0 {
		return
	}
	blduty.PutWaiting[blgrant.Message](a.deliverer.duties.Grant, blgrant.End{Permit: a.permit.ID})
}
