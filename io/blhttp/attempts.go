package blhttp

import (
	"context"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blbudget"
	"bergamotlead/io/bltrace"
)

// activeRequest is the state of one caller's request across its attempts.
type activeRequest struct {
	handler   *Handler
	call      Call
	holder    *blbudget.Holder
	writer    bldeliver.ResponseWriter
	writes    writeLimit
	account   blvalue.AccountName
	startedAt time.Time
	// lastAnswer is the latest answer of the routing duty, and attempts is the
	// number of attempts made.
	lastAnswer blroute.Answer
	attempts   int
	// mayHaveRun is the refusal of an attempt that was made again and may have run, or nil.
	mayHaveRun *blvalue.Refusal
}

func (a *activeRequest) run(ctx context.Context) (bldeliver.Delivery, time.Duration) {
	delivery, retryAfter := a.makeAttempts(ctx)
	delivery.Refusal = blroute.AfterAttempts(delivery.Refusal, a.mayHaveRun)
	return delivery, retryAfter
}

// makeAttempts returns the delivery of the last attempt.
func (a *activeRequest) makeAttempts(ctx context.Context) (bldeliver.Delivery, time.Duration) {
	answer, err := a.admit(ctx)
	if err != nil {
		return bldeliver.Delivery{Refusal: refusalForError(ctx, err)}, 0
	}
	a.account = answer.Account
	if answer.Route.Timeout > 0 {
		var cancel context.CancelFunc
		deadline := a.startedAt.Add(min(answer.Route.Timeout, a.call.Request.Timeout))
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
		a.writes.set(time.Until(deadline))
	}
	sent := 1
	for attempt := 1; ; attempt++ {
		a.lastAnswer, a.attempts = answer, attempt
		delivery := a.attempt(ctx, answer)
		if delivery.Refusal == nil || answer.Route.Name == "" {
			return delivery, answer.RetryAfter
		}
		step := blroute.AfterFailure(blroute.Failure{
			Refusal: delivery.Refusal, Started: delivery.Started, Retryable: delivery.Retryable,
			Replayable: a.call.Body.replayable(), Idempotent: answer.Route.Idempotent,
			Exclusive: answer.Target.Exclusive, Attempt: attempt, Sent: sent,
			MaxAttempts: answer.Route.MaxAttempts, Waited: time.Since(a.startedAt), Goal: answer.Route.Goal,
		})
		if step == blroute.StepGiveUp || !a.mayRetry() || step != blroute.StepOtherUpstream && !a.sleep(ctx, blroute.Backoff(attempt)) {
			return delivery, delivery.RetryAfter
		}
		if step == blroute.StepBudgetedRetry {
			sent++
		}
		a.handler.metrics.Retried(delivery.Refusal.Reason)
		a.logRetry(step, delivery)
		if delivery.Refusal.Outcome != blvalue.OutcomeNotRun {
			a.mayHaveRun = delivery.Refusal
		}
		next, err := a.findTarget(ctx, answer, blroute.Find{ChargeRetryBudget: step == blroute.StepBudgetedRetry})
		if err != nil || next.Refusal != nil && step == blroute.StepBudgetedRetry {
			return delivery, delivery.RetryAfter
		}
		answer = next
	}
}

// logRetry logs why a request is retried.
func (a *activeRequest) logRetry(step blroute.Step, delivery bldeliver.Delivery) {
	kind := "retry " + string(delivery.Refusal.Reason)
	if allowed, suppressed := a.handler.logLimiter.Allow(kind, time.Now()); allowed {
		a.handler.logger.Info("request tried again", "request_id", a.call.RequestID, "step", string(step),
			"reason", string(delivery.Refusal.Reason), "outcome", string(delivery.Refusal.Outcome),
			"upstream", string(a.lastAnswer.Target.Upstream), "attempt", a.attempts, "left_out", suppressed)
	}
}

// attempt makes one attempt, hedged if the route allows it, unless the routing
// duty refused the request.
func (a *activeRequest) attempt(ctx context.Context, answer blroute.Answer) bldeliver.Delivery {
	if answer.Refusal != nil {
		return bldeliver.Delivery{Refusal: answer.Refusal}
	}
	if answer.Route.Idempotent && answer.Target.HedgeAfter > 0 && a.call.Body.replayable() {
		return a.deliverHedged(ctx, answer)
	}
	return a.deliver(ctx, answer, a.writer)
}

// deliver sends the order to its target and reports the result to the routing
// duty.
func (a *activeRequest) deliver(ctx context.Context, answer blroute.Answer, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	defer enter(&a.handler.stages.delivery)()
	sentAt := time.Now()
	a.holder.Enter(a.call.Body.passedPhase())
	delivery := a.handler.deliver(ctx, a.order(ctx, answer), writer)
	_ = a.handler.route(blroute.AttemptCompleted{
		Upstream: answer.Target.Upstream, Latency: time.Since(sentAt), Failed: upstreamFailed(delivery.Refusal), Load: delivery.Load,
		Unused: delivery.Refusal != nil && delivery.Retryable,
	})
	return delivery
}

// upstreamFailed reports whether a refusal counts as a failure of the upstream.
func upstreamFailed(refusal *blvalue.Refusal) bool {
	if refusal == nil {
		return false
	}
	switch refusal.Reason {
	case blvalue.ReasonUpstreamFailed, blvalue.ReasonUnreachable, blvalue.ReasonOverload, blvalue.ReasonTimeout:
		return true
	case blvalue.ReasonMalformed, blvalue.ReasonUnknownRoute, blvalue.ReasonUnknownKey, blvalue.ReasonRateLimited,
		blvalue.ReasonStale, blvalue.ReasonNoOwner, blvalue.ReasonNotOwner, blvalue.ReasonNoUpstream,
		blvalue.ReasonLeaving, blvalue.ReasonCancelled, blvalue.ReasonGrantExpired, blvalue.ReasonHeldBack:
	}
	return false
}

func (a *activeRequest) order(ctx context.Context, answer blroute.Answer) bldeliver.Order {
	deadline, _ := ctx.Deadline()
	var goal time.Duration
	if answer.Route.Goal > 0 {
		goal = max(answer.Route.Goal-time.Since(a.startedAt), time.Millisecond)
	}
	return bldeliver.Order{
		Goal: goal, Request: a.call.Request.WithService(answer.Target.Service), Account: answer.Account, Target: answer.Target,
		Idempotent: answer.Route.Idempotent, Open: answer.Route.Open, Rank: answer.Route.Rank, Class: answer.Route.Name,
		RequestID: a.call.RequestID, URI: a.call.URI, Header: a.call.Header,
		Body: a.call.Body.reader(), BodyLength: a.call.Body.length,
		TraceParent: bltrace.TraceParent(ctx), Timeout: time.Until(deadline),
	}
}
