// Package blupstream hands requests and grants to the upstream beside a node,
// over HTTP.
package blupstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
	"bergamotlead/io/bltrace"
)

// Duties are the rings that a delivery passes.
type Duties struct {
	Deliver func(bldeliver.Message) error
	Grant   func(blgrant.Message) error
	Admit   func(bladmit.Message) error
}

// Deliverer hands orders to upstreams beside this node.
type Deliverer struct {
	duties    Duties
	clock     bltimer.Clock
	tracer    *bltrace.Tracer
	transport *http.Transport
	tickets   atomic.Uint64
}

const (
	idleConnections = 128
	idleTimeout     = 90 * time.Second
	// recheckAfter is how long a request may wait before its client key is
	// looked at again.
	recheckAfter = 100 * time.Millisecond
	copyBytes    = 32 << 10
)

// New returns a deliverer.
func New(duties Duties, clock bltimer.Clock, tracer *bltrace.Tracer) *Deliverer {
	return &Deliverer{
		duties: duties, clock: clock, tracer: tracer,
		transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
		},
	}
}

// attempt is one order on its way through the duties of this node.
type attempt struct {
	deliverer *Deliverer
	order     bldeliver.Order
	sink      bldeliver.Sink
	ticket    bldeliver.Ticket
	permit    blgrant.Permit
	// begun tells that the upstream may have got the request.
	begun atomic.Bool
}

// Deliver hands order to its upstream and passes the answer to sink.
func (d *Deliverer) Deliver(ctx context.Context, order bldeliver.Order, sink bldeliver.Sink) bldeliver.Delivery {
	ctx, span := d.tracer.Start(ctx, "deliver", order.TraceParent, order.RequestID)
	a := &attempt{deliverer: d, order: order, sink: sink, ticket: bldeliver.Ticket(d.tickets.Add(1))}
	delivery := a.run(ctx)
	span.With("upstream", string(order.Target.Upstream)).End(delivery.Refusal)
	return delivery
}

func refused(refusal *blvalue.Refusal) bldeliver.Delivery {
	return bldeliver.Delivery{Refusal: refusal, Repeatable: refusal.Reason == blvalue.ReasonNotOwner}
}

func (a *attempt) run(ctx context.Context) bldeliver.Delivery {
	started := a.deliverer.clock.Now()
	address, refusal := a.acquire(ctx, started)
	if refusal != nil {
		return refused(refusal)
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
	delivery, result := a.send(ctx, address)
	a.release(result, a.deliverer.clock.Now().Sub(written))
	return delivery
}

// acquire waits for a slot.
func (a *attempt) acquire(ctx context.Context, now bltimer.Instant) (string, *blvalue.Refusal) {
	reply := blring.NewReply[bldeliver.AcquireAnswer]()
	err := a.deliverer.duties.Deliver(bldeliver.Acquire{
		Ticket: a.ticket, Upstream: a.order.Target.Upstream, Account: a.order.Account, Priority: a.order.Priority,
		Deadline: now.Add(a.order.Timeout), Reply: reply,
	})
	if err != nil {
		return "", blvalue.NotRun(blvalue.ReasonOverload, err.Error())
	}
	answer, err := reply.Await(ctx)
	if err != nil {
		a.release(bldeliver.ResultUnused, 0)
		return "", blvalue.NotRun(endReason(ctx), "the request ended while it waited for a slot")
	}
	return answer.Address, answer.Refusal
}

func endReason(ctx context.Context) blvalue.RefusalReason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return blvalue.ReasonTimeout
	}
	return blvalue.ReasonCancelled
}

func (a *attempt) release(result bldeliver.Result, latency time.Duration) {
	a.deliverer.mustPut(func() error {
		return a.deliverer.duties.Deliver(bldeliver.Release{Ticket: a.ticket, Result: result, Latency: latency})
	})
}

// fullPause is how long a message that must not be lost waits for room.
const fullPause = time.Millisecond

// mustPut puts a message that gives something back, waiting for room. It gives
// up only when the ring is closed.
func (d *Deliverer) mustPut(put func() error) {
	for {
		err := put()
		var full blring.FullError
		if !errors.As(err, &full) {
			return
		}
		time.Sleep(fullPause)
	}
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
	a.deliverer.mustPut(func() error {
		return a.deliverer.duties.Grant(blgrant.End{Permit: a.permit.ID})
	})
}

// send writes the request to the upstream and passes its answer on.
func (a *attempt) send(ctx context.Context, address string) (bldeliver.Delivery, bldeliver.Result) {
	ctx, span := a.deliverer.tracer.Start(ctx, "upstream", "", a.order.RequestID)
	delivery, result := a.exchange(ctx, address)
	span.End(delivery.Refusal)
	return delivery, result
}

func (a *attempt) exchange(ctx context.Context, address string) (bldeliver.Delivery, bldeliver.Result) {
	request, err := a.newRequest(ctx, address)
	if err != nil {
		return refused(blvalue.NotRun(blvalue.ReasonMalformed, err.Error())), bldeliver.ResultUnused
	}
	if a.permit.ID != 0 && !a.deliverer.clock.Now().Before(a.permit.Until) {
		return refused(blvalue.NotRun(blvalue.ReasonNotOwner, "the grant lapsed before the request was sent")),
			bldeliver.ResultUnused
	}
	response, err := a.deliverer.transport.RoundTrip(request)
	if err != nil {
		return a.failed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if notRun := response.Header.Get(blheader.NotRun); notRun != "" {
		return a.turnedAway(notRun)
	}
	return a.pass(ctx, response)
}

// onceBody hides from the transport that a body could be sent again, so that
// it never repeats a request of its own accord.
type onceBody struct {
	reader io.Reader
}

// Read implements io.Reader.
func (o onceBody) Read(buffer []byte) (int, error) {
	if o.reader == nil {
		return 0, io.EOF
	}
	return o.reader.Read(buffer) //nolint:wrapcheck // io.EOF has to reach the transport as it is
}

// Close implements io.Closer.
func (o onceBody) Close() error { return nil }

func (a *attempt) newRequest(ctx context.Context, address string) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.begun.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, a.order.Request.Method, "http://"+address+a.order.URI, nil)
	if err != nil {
		return nil, err //nolint:wrapcheck // its text goes to the caller
	}
	request.Body = onceBody{reader: a.order.Body}
	request.ContentLength = a.order.BodyLength
	request.Header = make(http.Header, len(a.order.Header))
	for name, values := range a.order.Header {
		request.Header[name] = values
	}
	request.Header.Set(blheader.RequestID, a.order.RequestID)
	if a.order.Account != "" {
		request.Header.Set(blheader.Account, string(a.order.Account))
	}
	if a.permit.ID != 0 {
		request.Header.Set(blheader.Fence, a.permit.Fence.String())
		request.Header.Set(blheader.Partition, strconv.Itoa(int(a.order.Target.Partition)))
	}
	if parent := bltrace.Parent(ctx); parent != "" {
		request.Header.Set(blheader.TraceParent, parent)
	}
	return request, nil
}

// failed tells what became of a request that got no answer. One that never got
// a connection is sure not to have run.
func (a *attempt) failed(ctx context.Context, err error) (bldeliver.Delivery, bldeliver.Result) {
	result := bldeliver.ResultBroke
	reason := blvalue.ReasonUpstreamBroke
	if ctx.Err() != nil {
		result = bldeliver.ResultUnused
		reason = endReason(ctx)
	}
	if a.permit.ID != 0 && !a.deliverer.clock.Now().Before(a.permit.Until) && reason == blvalue.ReasonCancelled {
		reason = blvalue.ReasonGrantLapsed
	}
	if !a.begun.Load() {
		return refused(blvalue.NotRun(reason, "no connection to the upstream: "+err.Error())), result
	}
	return refused(blvalue.Unknown(reason, "the upstream did not answer")), result
}

// turnedAway is the answer of an upstream that says it did not run a request.
func (a *attempt) turnedAway(why string) (bldeliver.Delivery, bldeliver.Result) {
	if why == blheader.NotRunFence {
		return refused(blvalue.NotRun(blvalue.ReasonNotOwner, "the upstream takes no orders on this grant")),
			bldeliver.ResultUnused
	}
	return refused(blvalue.NotRun(blvalue.ReasonOverload, "the upstream has too much to do")), bldeliver.ResultShed
}

// passSmall reads a small answer whole before it begins to pass it on. One that
// breaks off has then not been seen by the caller.
func (a *attempt) passSmall(ctx context.Context, response *http.Response) (bldeliver.Delivery, bldeliver.Result) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		delivery := a.cut(ctx)
		delivery.Started = false
		return delivery, bldeliver.ResultBroke
	}
	if err := a.sink.Head(response.StatusCode, blheader.Answered(response.Header)); err != nil {
		return a.cut(ctx), bldeliver.ResultUnused
	}
	if _, err := a.sink.Write(body); err != nil {
		return a.cut(ctx), bldeliver.ResultUnused
	}
	return bldeliver.Delivery{Started: true}, bldeliver.ResultAnswered
}

// pass copies an answer to the sink.
func (a *attempt) pass(ctx context.Context, response *http.Response) (bldeliver.Delivery, bldeliver.Result) {
	if response.ContentLength >= 0 && response.ContentLength <= copyBytes {
		return a.passSmall(ctx, response)
	}
	if err := a.sink.Head(response.StatusCode, blheader.Answered(response.Header)); err != nil {
		return a.cut(ctx), bldeliver.ResultUnused
	}
	buffer := make([]byte, copyBytes)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if _, err := a.sink.Write(buffer[:count]); err != nil {
				return a.cut(ctx), bldeliver.ResultUnused
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.cut(ctx), bldeliver.ResultBroke
		}
	}
	if len(response.Trailer) > 0 {
		if err := a.sink.Trailer(blheader.Answered(response.Trailer)); err != nil {
			return a.cut(ctx), bldeliver.ResultUnused
		}
	}
	return bldeliver.Delivery{Started: true}, bldeliver.ResultAnswered
}

// cut is the delivery of an answer that broke off.
func (a *attempt) cut(ctx context.Context) bldeliver.Delivery {
	reason := blvalue.ReasonUpstreamBroke
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	return bldeliver.Delivery{
		Refusal: &blvalue.Refusal{Outcome: blvalue.OutcomePartial, Reason: reason, Detail: "the answer was cut short"},
		Started: true,
	}
}
