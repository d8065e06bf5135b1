package blhttp

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blmetric"
	"bergamotlead/io/blserver"
	"bergamotlead/io/bltrace"
)

// Deliverer sends an order to the node of its target and writes the upstream's
// response to writer.
type Deliverer func(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery

// Limits are the bounds enforced on a request before it is admitted.
type Limits struct {
	BodyBytes int64
	Timeout   time.Duration
}

// Handler is the HTTP handler that forwards callers' requests to upstreams.
type Handler struct {
	protocol   Protocol
	admit      func(bladmit.Message) error
	route      func(blroute.Message) error
	deliver    Deliverer
	limits     func() Limits
	stages     *Stages
	ending     *blserver.Ending
	tracer     *bltrace.Tracer
	metrics    *blmetric.Set
	logger     hclog.Logger
	logLimiter *bllog.RateLimiter
}

// New returns a handler that sends its messages to the rings of the admission
// and routing duties through admit and route.
func New(
	protocol Protocol, admit func(bladmit.Message) error, route func(blroute.Message) error, deliver Deliverer, limits func() Limits,
	stages *Stages, ending *blserver.Ending, tracer *bltrace.Tracer, metrics *blmetric.Set, logger hclog.Logger,
) *Handler {
	return &Handler{
		protocol: protocol, admit: admit, route: route, deliver: deliver, limits: limits, stages: stages, ending: ending,
		tracer: tracer, metrics: metrics, logger: logger, logLimiter: bllog.NewRateLimiter(logLinesPerSecond),
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limits := h.limits()
	call, err := h.protocol.Read(r, limits)
	if err != nil {
		h.refuseMalformed(w, call.RequestID, err)
		return
	}
	endLimit := limitWrites(w, call.Request.Timeout+writeGrace)
	ctx, cancel := context.WithTimeout(r.Context(), call.Request.Timeout)
	defer cancel()
	ctx, release := h.ending.Limit(ctx)
	defer release()
	ctx, span := h.tracer.Start(ctx, "entry", r.Header.Get(blheader.TraceParent), call.RequestID)
	a := &activeRequest{handler: h, call: call, writer: callerWriter{writer: w, protocol: h.protocol, requestID: call.RequestID}, startedAt: time.Now()}
	delivery, retryAfter := a.run(ctx)
	span.With("service", string(call.Request.Service)).With("account", string(a.account)).End(delivery.Refusal)
	h.complete(w, a, delivery, retryAfter)
	endLimit()
}

func (h *Handler) refuseMalformed(w http.ResponseWriter, requestID string, err error) {
	refusal := blvalue.NotRun(blvalue.ReasonMalformed, err.Error())
	h.metrics.Refused("", refusal)
	var tooLarge TooLargeError
	if errors.As(err, &tooLarge) {
		w.Header().Set("Connection", "close")
	}
	h.protocol.Refuse(w, requestID, refusal, 0)
}

// complete records the result and writes a refusal to the caller. If a response
// was cut short after its header had been sent, the connection is aborted so
// that the caller can't take the response for a complete one.
func (h *Handler) complete(w http.ResponseWriter, a *activeRequest, delivery bldeliver.Delivery, retryAfter time.Duration) {
	if delivery.Refusal == nil {
		h.metrics.Answered(a.call.Request.Service, a.account, time.Since(a.startedAt))
		return
	}
	h.metrics.Refused(a.account, delivery.Refusal)
	h.logRefusal(a, delivery)
	if delivery.Started {
		panic(http.ErrAbortHandler)
	}
	left := a.call.Request.Timeout - time.Since(a.startedAt)
	draw := xxhash.Sum64String(a.call.RequestID)
	h.protocol.Refuse(w, a.call.RequestID, delivery.Refusal, blroute.ReturnAfter(delivery.Refusal, retryAfter, left, draw))
}

// logLinesPerSecond limits the log lines about requests, for each kind of line.
const logLinesPerSecond = 50

// logRefusal logs why a request was refused, the route, upstream and load behind
// the decision, and how long the request had waited.
func (h *Handler) logRefusal(a *activeRequest, delivery bldeliver.Delivery) {
	allowed, suppressed := h.logLimiter.Allow(string(delivery.Refusal.Reason), time.Now())
	if !allowed {
		return
	}
	h.logger.Info("request refused", "request_id", a.call.RequestID, "account", string(a.account),
		"outcome", string(delivery.Refusal.Outcome), "reason", string(delivery.Refusal.Reason),
		"detail", delivery.Refusal.Detail, "waited_ms", time.Since(a.startedAt).Milliseconds(),
		"route", a.lastAnswer.Route.Name, "upstream", string(a.lastAnswer.Target.Upstream), "node", string(a.lastAnswer.Target.Node.Name),
		"attempts", a.attempts, "upstream_running", delivery.Load.Running, "upstream_waiting", delivery.Load.Waiting,
		"upstream_limit", delivery.Load.Limit, "service_ms", delivery.Load.ServiceTime.Milliseconds(), "left_out", suppressed)
}

// activeRequest is the state of one caller's request across its attempts.
type activeRequest struct {
	handler   *Handler
	call      Call
	writer    bldeliver.ResponseWriter
	account   blvalue.AccountName
	startedAt time.Time
	// lastAnswer is the latest answer of the routing duty, and attempts is the
	// number of attempts made.
	lastAnswer blroute.Answer
	attempts   int
}

func (a *activeRequest) run(ctx context.Context) (bldeliver.Delivery, time.Duration) {
	answer, err := a.admit(ctx)
	if err != nil {
		return bldeliver.Delivery{Refusal: refusalForError(ctx, err)}, 0
	}
	a.account = answer.Account
	if answer.Route.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.startedAt.Add(answer.Route.Timeout))
		defer cancel()
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
		blvalue.ReasonLeaving, blvalue.ReasonCancelled, blvalue.ReasonGrantExpired:
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
