package blhttp

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blmetric"
	"bergamotlead/io/bltrace"
)

// Deliverer hands an order to the node of its target.
type Deliverer func(ctx context.Context, order bldeliver.Order, sink bldeliver.Sink) bldeliver.Delivery

// Limits are the bounds that hold before a request is admitted.
type Limits struct {
	BodyBytes int64
	Timeout   time.Duration
}

// Front passes callers' requests on.
type Front struct {
	dialect Dialect
	admit   func(bladmit.Message) error
	route   func(blroute.Message) error
	deliver Deliverer
	limits  func() Limits
	tracer  *bltrace.Tracer
	metrics *blmetric.Set
	logger  hclog.Logger
	lines   *bllog.Budget
}

// New returns a front end that puts its messages on the given duties.
func New(
	dialect Dialect, admit func(bladmit.Message) error, route func(blroute.Message) error, deliver Deliverer, limits func() Limits,
	tracer *bltrace.Tracer, metrics *blmetric.Set, logger hclog.Logger,
) *Front {
	return &Front{
		dialect: dialect, admit: admit, route: route, deliver: deliver, limits: limits,
		tracer: tracer, metrics: metrics, logger: logger, lines: bllog.NewBudget(linesPerSecond),
	}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limits := f.limits()
	c, err := f.dialect.Read(r, limits)
	if err != nil {
		f.malformed(w, c.RequestID, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.Request.Timeout)
	defer cancel()
	ctx, span := f.tracer.Start(ctx, "entry", r.Header.Get(blheader.TraceParent), c.RequestID)
	j := &journey{front: f, call: c, sink: responseSink{writer: w, dialect: f.dialect, requestID: c.RequestID}, startedAt: time.Now()}
	delivery, retryAfter := j.run(ctx)
	span.With("service", string(c.Request.Service)).With("account", string(j.account)).End(delivery.Refusal)
	f.finish(w, j, delivery, retryAfter)
}

func (f *Front) malformed(w http.ResponseWriter, requestID string, err error) {
	refusal := blvalue.NotRun(blvalue.ReasonMalformed, err.Error())
	f.metrics.Refused("", refusal)
	var large TooLargeError
	if errors.As(err, &large) {
		w.Header().Set("Connection", "close")
	}
	f.dialect.Refuse(w, requestID, refusal, 0)
}

// finish tells the caller of a refusal. An answer that was cut short breaks
// the connection, so that it never looks whole.
func (f *Front) finish(w http.ResponseWriter, j *journey, delivery bldeliver.Delivery, retryAfter time.Duration) {
	if delivery.Refusal == nil {
		f.metrics.Answered(j.call.Request.Service, j.account, time.Since(j.startedAt))
		return
	}
	f.metrics.Refused(j.account, delivery.Refusal)
	f.logRefusal(j, delivery)
	if delivery.Started {
		panic(http.ErrAbortHandler)
	}
	f.dialect.Refuse(w, j.call.RequestID, delivery.Refusal, retryAfter)
}

// linesPerSecond bounds the lines about requests, of each kind.
const linesPerSecond = 50

// logRefusal writes why a request was refused, what decided it and how old that
// was.
func (f *Front) logRefusal(j *journey, delivery bldeliver.Delivery) {
	allowed, leftOut := f.lines.Allow(string(delivery.Refusal.Reason), time.Now())
	if !allowed {
		return
	}
	f.logger.Info("request refused", "request_id", j.call.RequestID, "account", string(j.account),
		"outcome", string(delivery.Refusal.Outcome), "reason", string(delivery.Refusal.Reason),
		"detail", delivery.Refusal.Detail, "waited_ms", time.Since(j.startedAt).Milliseconds(),
		"route", j.last.Route.Name, "upstream", string(j.last.Target.Upstream), "node", string(j.last.Target.Node.Name),
		"attempts", j.attempts, "upstream_running", delivery.Load.Running, "upstream_waiting", delivery.Load.Waiting,
		"upstream_limit", delivery.Load.Limit, "service_ms", delivery.Load.Service.Milliseconds(), "left_out", leftOut)
}

// journey is one caller's request through as many attempts as it takes.
type journey struct {
	front     *Front
	call      Call
	sink      bldeliver.Sink
	account   blvalue.AccountName
	startedAt time.Time
	// last is what routing answered last, and attempts counts the attempts.
	last     blroute.Answer
	attempts int
}

func (j *journey) run(ctx context.Context) (bldeliver.Delivery, time.Duration) {
	answer, err := j.admit(ctx)
	if err != nil {
		return bldeliver.Delivery{Refusal: waitRefusal(ctx, err)}, 0
	}
	j.account = answer.Account
	if answer.Route.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.startedAt.Add(answer.Route.Timeout))
		defer cancel()
	}
	sent := 1
	for attempt := 1; ; attempt++ {
		j.last, j.attempts = answer, attempt
		delivery := j.attempt(ctx, answer)
		if delivery.Refusal == nil || answer.Route.Name == "" {
			return delivery, answer.RetryAfter
		}
		step := blroute.AfterFailure(blroute.Failure{
			Refusal: delivery.Refusal, Started: delivery.Started, Repeatable: delivery.Repeatable,
			Replayable: j.call.Body.replayable(), Idempotent: answer.Route.Idempotent,
			Exclusive: answer.Target.Exclusive, Attempt: attempt, Sent: sent,
			MaxAttempts: answer.Route.MaxAttempts, Waited: time.Since(j.startedAt), Goal: answer.Route.Goal,
		})
		if step == blroute.StepGiveUp || step != blroute.StepElsewhere && !pause(ctx, blroute.Pause(attempt)) {
			return delivery, delivery.RetryAfter
		}
		if step == blroute.StepSpend {
			sent++
		}
		j.front.metrics.Retried(delivery.Refusal.Reason)
		j.logRetry(step, delivery)
		next, err := j.find(ctx, answer, blroute.Find{Spend: step == blroute.StepSpend})
		if err != nil || next.Refusal != nil && step == blroute.StepSpend {
			return delivery, delivery.RetryAfter
		}
		answer = next
	}
}

// logRetry writes why a request is tried again.
func (j *journey) logRetry(step blroute.Step, delivery bldeliver.Delivery) {
	kind := "retry " + string(delivery.Refusal.Reason)
	if allowed, leftOut := j.front.lines.Allow(kind, time.Now()); allowed {
		j.front.logger.Info("request tried again", "request_id", j.call.RequestID, "step", string(step),
			"reason", string(delivery.Refusal.Reason), "outcome", string(delivery.Refusal.Outcome),
			"upstream", string(j.last.Target.Upstream), "attempt", j.attempts, "left_out", leftOut)
	}
}

// attempt delivers the order once, unless routing refused it.
func (j *journey) attempt(ctx context.Context, answer blroute.Answer) bldeliver.Delivery {
	if answer.Refusal != nil {
		return bldeliver.Delivery{Refusal: answer.Refusal}
	}
	if answer.Route.Idempotent && answer.Target.HedgeAfter > 0 && j.call.Body.replayable() {
		return j.hedged(ctx, answer)
	}
	return j.deliver(ctx, answer, j.sink)
}

// deliver hands the order to its target and tells routing how that went.
func (j *journey) deliver(ctx context.Context, answer blroute.Answer, sink bldeliver.Sink) bldeliver.Delivery {
	sentAt := time.Now()
	delivery := j.front.deliver(ctx, j.order(ctx, answer), sink)
	_ = j.front.route(blroute.Observed{
		Upstream: answer.Target.Upstream, Latency: time.Since(sentAt), Failed: failed(delivery.Refusal), Load: delivery.Load,
		Unused: delivery.Refusal != nil && delivery.Repeatable,
	})
	return delivery
}

// failed reports whether a refusal speaks against the upstream.
func failed(refusal *blvalue.Refusal) bool {
	if refusal == nil {
		return false
	}
	switch refusal.Reason {
	case blvalue.ReasonUpstreamBroke, blvalue.ReasonUnreachable, blvalue.ReasonOverload, blvalue.ReasonTimeout:
		return true
	case blvalue.ReasonMalformed, blvalue.ReasonUnknownRoute, blvalue.ReasonUnknownKey, blvalue.ReasonOverRate,
		blvalue.ReasonStale, blvalue.ReasonNoOwner, blvalue.ReasonNotOwner, blvalue.ReasonNoUpstream,
		blvalue.ReasonLeaving, blvalue.ReasonCancelled, blvalue.ReasonGrantLapsed:
	}
	return false
}

func (j *journey) order(ctx context.Context, answer blroute.Answer) bldeliver.Order {
	deadline, _ := ctx.Deadline()
	var goal time.Duration
	if answer.Route.Goal > 0 {
		goal = max(answer.Route.Goal-time.Since(j.startedAt), time.Millisecond)
	}
	return bldeliver.Order{
		Goal: goal, Request: j.call.Request.WithService(answer.Target.Service), Account: answer.Account, Target: answer.Target,
		Idempotent: answer.Route.Idempotent, Open: answer.Route.Open, Rank: answer.Route.Rank, Class: answer.Route.Name,
		RequestID: j.call.RequestID, URI: j.call.URI, Header: j.call.Header,
		Body: j.call.Body.reader(), BodyLength: j.call.Body.length,
		TraceParent: bltrace.Parent(ctx), Timeout: time.Until(deadline),
	}
}

func (j *journey) admit(ctx context.Context) (blroute.Answer, error) {
	reply := blring.NewReply[blroute.Answer]()
	err := j.front.admit(bladmit.Admit{Request: j.call.Request, Path: j.call.Path, Reply: reply})
	if err != nil {
		return blroute.Answer{}, err
	}
	return j.await(ctx, reply)
}

// lateAnswer is how long a request that ended waits for the target that it may
// still be given. No duty holds a request longer.
const lateAnswer = 3 * time.Second

// await waits for the duties' answer. A request that ended meanwhile gives the
// target back that it is given all the same.
func (j *journey) await(ctx context.Context, reply blring.Reply[blroute.Answer]) (blroute.Answer, error) {
	answer, err := reply.Await(ctx)
	if err == nil {
		return answer, nil
	}
	late, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateAnswer)
	defer cancel()
	if unused, lateErr := reply.Await(late); lateErr == nil && unused.Target.Upstream != "" {
		_ = j.front.route(blroute.Observed{Upstream: unused.Target.Upstream, Unused: true})
	}
	return answer, err //nolint:wrapcheck // waitRefusal reads it
}

// find looks for the target of another attempt, which the given message says
// to be a repeat or a hedge.
func (j *journey) find(ctx context.Context, last blroute.Answer, find blroute.Find) (blroute.Answer, error) {
	reply := blring.NewReply[blroute.Answer]()
	find.Request, find.Route, find.Account = j.call.Request.WithService(last.Service), last.Route, last.Account
	find.Avoid, find.Reply = last.Target.Upstream, reply
	if err := j.front.route(find); err != nil {
		return blroute.Answer{}, err
	}
	return j.await(ctx, reply)
}

// waitRefusal is the refusal of a request that no duty took, or that ended
// while it waited for one. Either way it did not run.
func waitRefusal(ctx context.Context, err error) *blvalue.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return blvalue.NotRun(blvalue.ReasonTimeout, "the request ended before it was admitted")
	}
	if ctx.Err() != nil {
		return blvalue.NotRun(blvalue.ReasonCancelled, "the caller went away")
	}
	return blvalue.NotRun(blvalue.ReasonOverload, err.Error())
}

// pause waits, and reports whether the request goes on.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
