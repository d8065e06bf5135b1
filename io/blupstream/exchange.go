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
	"bergamotlead/io/bltrace"
)

// send writes the request to the upstream and passes its answer on.
func (a *attempt) send(ctx context.Context, slot bldeliver.AcquireAnswer) (bldeliver.Delivery, bldeliver.Result) {
	ctx, span := a.deliverer.tracer.Start(ctx, "upstream", "", a.order.RequestID)
	delivery, result := a.exchange(ctx, slot)
	span.End(delivery.Refusal)
	return delivery, result
}

func (a *attempt) exchange(ctx context.Context, slot bldeliver.AcquireAnswer) (bldeliver.Delivery, bldeliver.Result) {
	request, err := a.newRequest(ctx, slot)
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
	if why := a.deliverer.dialect.TurnedAway(response); why != TurnedAwayNot {
		// The connection is used again once its answer has been read.
		_, _ = io.CopyN(io.Discard, response.Body, copyBytes)
		refusal, result := why.refusal()
		return refused(refusal), result
	}
	return a.pass(ctx, response)
}

// onceBody hides from the transport that a body could be sent again, so that
// it never repeats a request of its own accord.
type onceBody struct {
	reader io.Reader
	// broke is set when the caller's body broke off.
	broke *atomic.Bool
}

// Read implements io.Reader.
func (o onceBody) Read(buffer []byte) (int, error) {
	if o.reader == nil {
		return 0, io.EOF
	}
	count, err := o.reader.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		o.broke.Store(true)
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the transport as it is
}

// Close implements io.Closer.
func (o onceBody) Close() error { return nil }

func (a *attempt) newRequest(ctx context.Context, slot bldeliver.AcquireAnswer) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.begun.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, a.order.Request.Method, "http://"+slot.Address+a.order.URI, nil)
	if err != nil {
		return nil, err //nolint:wrapcheck // its text goes to the caller
	}
	request.Body = http.NoBody
	if a.order.Body != nil {
		request.Body = onceBody{reader: a.order.Body, broke: &a.bodyBroke}
		request.ContentLength = a.order.BodyLength
	}
	request.Header = make(http.Header, len(a.order.Header))
	for name, values := range a.order.Header {
		request.Header[name] = values
	}
	left := time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	a.deliverer.dialect.Prepare(request, a.order, a.permit, slot.Incarnation, left)
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
	switch {
	case ctx.Err() != nil:
		result = bldeliver.ResultUnused
		reason = endReason(ctx)
	case a.bodyBroke.Load():
		result = bldeliver.ResultUnused
		reason = blvalue.ReasonMalformed
	}
	if a.permit.ID != 0 && !a.deliverer.clock.Now().Before(a.permit.Until) && reason == blvalue.ReasonCancelled {
		reason = blvalue.ReasonGrantLapsed
	}
	if !a.begun.Load() {
		return refused(blvalue.NotRun(reason, "no connection to the upstream: "+err.Error())), result
	}
	return refused(blvalue.Unknown(reason, "the upstream did not answer")), result
}
