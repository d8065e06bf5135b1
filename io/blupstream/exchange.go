package blupstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
	"bergamotlead/io/blresponse"
	"bergamotlead/io/bltrace"
)

// send sends the request to the upstream and forwards the response, within a
// span of its own.
func (a *attempt) send(ctx context.Context, slot bldeliver.AcquireAnswer) (bldeliver.Delivery, bldeliver.Result) {
	ctx, span := a.deliverer.tracer.Start(ctx, "upstream", "", a.order.RequestID)
	delivery, result := a.exchange(ctx, slot)
	span.End(delivery.Refusal)
	return delivery, result
}

func (a *attempt) exchange(ctx context.Context, slot bldeliver.AcquireAnswer) (bldeliver.Delivery, bldeliver.Result) {
	body := newUpload(a.order.Body, a.reportStall)
	defer body.stop()
	request, err := a.newRequest(ctx, slot, body)
	if err != nil {
		return refused(blvalue.NotRun(blvalue.ReasonMalformed, err.Error())), bldeliver.ResultUnused
	}
	if a.permit.ID != 0 && !a.deliverer.clock.Now().Before(a.permit.Until) {
		return refused(blvalue.NotRun(blvalue.ReasonNotOwner, "the grant lapsed before the request was sent")),
			bldeliver.ResultUnused
	}
	sentAt := a.deliverer.clock.Now()
	response, err := a.deliverer.transport.RoundTrip(request)
	if err != nil {
		return a.noResponse(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	// A response that has begun isn't cut for a body that the upstream doesn't need.
	body.stop()
	a.report = a.deliverer.protocol.Report(response.Header)
	if rejection := a.deliverer.protocol.Rejection(response); rejection != RejectionNone {
		return a.reject(ctx, response, rejection)
	}
	a.status = response.StatusCode
	if response.StatusCode >= http.StatusInternalServerError {
		now := a.deliverer.clock.Now()
		a.deliverer.failed(Failure{
			Order: a.order, Status: response.StatusCode, Elapsed: now.Sub(sentAt), GrantLeft: a.permit.Until.Sub(now),
			Exclusive: a.permit.ID != 0,
		})
	}
	return a.forward(ctx, response)
}

// reject returns the delivery and the result of a request that the upstream rejected. A
// response that breaks off rejects nothing.
func (a *attempt) reject(
	ctx context.Context, response *http.Response, rejection Rejection,
) (bldeliver.Delivery, bldeliver.Result) {
	_, err := discard(response.Body, func() { _ = response.Body.Close() })
	if err != nil && ctx.Err() == nil {
		return broken(err), bldeliver.ResultFailed
	}
	refusal, result := rejection.refusal()
	return refused(refusal), result
}

// singleUseBody hides from the transport that the body could be sent again, so
// that the transport never retries a request on its own.
type singleUseBody struct {
	reader io.Reader
	// failed is set when reading the caller's body failed.
	failed *atomic.Bool
}

// Read implements io.Reader.
func (s singleUseBody) Read(buffer []byte) (int, error) {
	count, err := s.reader.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		s.failed.Store(true)
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the transport as it is
}

// Close implements io.Closer.
func (s singleUseBody) Close() error { return nil }

func (a *attempt) newRequest(ctx context.Context, slot bldeliver.AcquireAnswer, body *upload) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, a.order.Request.Method, "http://"+slot.Address, nil)
	if err != nil {
		return nil, err //nolint:wrapcheck // the text is sent to the caller
	}
	if err := setTarget(request.URL, a.order.URI); err != nil {
		return nil, err
	}
	request.Body = http.NoBody
	if body != nil {
		request.Body = singleUseBody{reader: body, failed: &a.bodyFailed}
		request.ContentLength = a.order.BodyLength
	}
	request.Header = make(http.Header, len(a.order.Header))
	for name, values := range a.order.Header {
		request.Header[name] = values
	}
	left := a.deadline.Sub(a.deliverer.clock.Now())
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	a.deliverer.protocol.Prepare(request, a.order, a.permit, slot.Incarnation, left)
	if parent := bltrace.TraceParent(ctx); parent != "" {
		request.Header.Set(blheader.TraceParent, parent)
	}
	return request, nil
}

// noResponse returns the delivery and the result of a request that got no
// response. A request that never got a connection can't have run.
func (a *attempt) noResponse(ctx context.Context, err error) (bldeliver.Delivery, bldeliver.Result) {
	result := bldeliver.ResultFailed
	reason := blvalue.ReasonUpstreamFailed
	switch {
	case ctx.Err() != nil:
		result = bldeliver.ResultUnused
		reason = contextReason(ctx)
	case a.bodyFailed.Load():
		result = bldeliver.ResultUnused
		reason = blvalue.ReasonMalformed
	}
	if a.permit.ID != 0 && !a.deliverer.clock.Now().Before(a.permit.Until) && reason == blvalue.ReasonCancelled {
		reason = blvalue.ReasonGrantExpired
	}
	if !a.connected.Load() {
		return refused(blvalue.NotRun(reason, "no connection to the upstream: "+err.Error())), result
	}
	if reason == blvalue.ReasonUpstreamFailed && blresponse.FaultOf(err) != "" {
		return broken(err), result
	}
	return refused(blvalue.UnknownOutcome(reason, "the upstream did not answer")), result
}
