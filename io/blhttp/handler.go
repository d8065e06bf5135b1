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
	"bergamotlead/core/blmemory"
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
	// RouteTimeout returns how long the route of a request lets its caller wait, or zero
	// if it doesn't limit that. It may be nil.
	RouteTimeout func(request blvalue.Request, path string) time.Duration
}

// stall returns how long the body of a call may stall, or zero for no limit.
func (l Limits) stall(call Call) time.Duration {
	if l.RouteTimeout == nil {
		return 0
	}
	return l.RouteTimeout(call.Request, call.Path)
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
	if errors.Is(err, StalledError{}) {
		h.refuseUnread(w, call.RequestID, blvalue.NotRun(blvalue.ReasonTimeout, err.Error()))
		return
	}
	if err != nil {
		h.refuseMalformed(w, call.RequestID, err)
		return
	}
	holder := blserver.HolderOf(r.Context())
	if call.Body.stream != nil && !holder.Reserve(blmemory.KindBody, bodyBytes) {
		h.refuseUnread(w, call.RequestID, blvalue.NotRun(blvalue.ReasonOverload, "the node has no memory for the body"))
		return
	}
	if call.Body.stream != nil {
		blserver.LimitBody(r.Context(), call.Request.Timeout+writeGrace, 0)
	}
	writes := limitWrites(w, call.Request.Timeout)
	ctx, cancel := context.WithTimeout(r.Context(), call.Request.Timeout)
	defer cancel()
	ctx, release := h.ending.Limit(ctx)
	defer release()
	ctx, span := h.tracer.Start(ctx, "entry", r.Header.Get(blheader.TraceParent), call.RequestID)
	a := &activeRequest{
		handler: h, call: call, holder: holder, writes: writes, startedAt: time.Now(),
		writer: callerWriter{writer: w, protocol: h.protocol, requestID: call.RequestID, holder: holder},
	}
	delivery, retryAfter := a.run(ctx)
	span.With("service", string(call.Request.Service)).With("account", string(a.account)).End(delivery.Refusal)
	h.complete(w, a, delivery, retryAfter)
	writes.end()
}

func (h *Handler) refuseMalformed(w http.ResponseWriter, requestID string, err error) {
	refusal := blvalue.NotRun(blvalue.ReasonMalformed, err.Error())
	h.metrics.Refused("", refusal)
	h.protocol.Refuse(w, requestID, refusal, 0)
}

// refuseUnread refuses a request whose body hasn't been read.
func (h *Handler) refuseUnread(w http.ResponseWriter, requestID string, refusal *blvalue.Refusal) {
	h.metrics.Refused("", refusal)
	h.protocol.Refuse(w, requestID, refusal, time.Second)
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
