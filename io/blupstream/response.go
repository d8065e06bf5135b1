package blupstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blresponse"
)

// forward forwards a response to the writer. A body of up to copyBytes is read
// completely before anything is written, so that the caller has not seen anything
// of a small response that is cut short.
func (a *attempt) forward(ctx context.Context, response *http.Response) (bldeliver.Delivery, bldeliver.Result) {
	if response.ContentLength > copyBytes {
		return a.stream(ctx, response, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, copyBytes+1))
	if err != nil {
		return a.unreadable(ctx, err), bldeliver.ResultFailed
	}
	if len(body) > copyBytes || len(response.Trailer) > 0 {
		return a.stream(ctx, response, body)
	}
	header := a.deliverer.protocol.FilterResponse(response.Header)
	if response.Request == nil || response.Request.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	if err := a.writer.WriteHeader(response.StatusCode, header); err != nil {
		return a.truncated(ctx), bldeliver.ResultUnused
	}
	if _, err := a.writer.Write(body); err != nil {
		return a.truncated(ctx), bldeliver.ResultUnused
	}
	return bldeliver.Delivery{Started: true}, bldeliver.ResultAnswered
}

// stream copies a response to the writer. The start of the body, prefix, has
// already been read.
func (a *attempt) stream(
	ctx context.Context, response *http.Response, prefix []byte,
) (bldeliver.Delivery, bldeliver.Result) {
	if err := a.writer.WriteHeader(response.StatusCode, a.deliverer.protocol.FilterResponse(response.Header)); err != nil {
		return a.truncated(ctx), bldeliver.ResultUnused
	}
	if _, err := a.writer.Write(prefix); err != nil {
		return a.truncated(ctx), bldeliver.ResultUnused
	}
	buffer := make([]byte, copyBytes)
	forwarded := newPace(response.ContentLength)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 {
			if _, err := a.writer.Write(buffer[:count]); err != nil {
				return a.truncated(ctx), bldeliver.ResultUnused
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.cutShort(ctx, err), bldeliver.ResultFailed
		}
		var wait time.Duration
		forwarded, wait = forwarded.withForwarded(count, a.deliverer.clock.Now())
		pause(ctx, wait)
	}
	if len(response.Trailer) > 0 {
		if err := a.writer.WriteTrailer(a.deliverer.protocol.FilterResponse(response.Trailer)); err != nil {
			return a.truncated(ctx), bldeliver.ResultUnused
		}
	}
	return bldeliver.Delivery{Started: true}, bldeliver.ResultAnswered
}

// unreadable returns the delivery of a response of which nothing was passed on when
// reading it failed.
func (a *attempt) unreadable(ctx context.Context, err error) bldeliver.Delivery {
	fault := blresponse.FaultOf(err)
	if fault != "" && fault != blvalue.FaultCut && ctx.Err() == nil {
		return broken(err)
	}
	delivery := a.cutShort(ctx, err)
	delivery.Started = false
	return delivery
}

// broken returns the delivery of a broken response of which nothing was passed on. The
// request may have run.
func broken(err error) bldeliver.Delivery {
	delivery := refused(blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, "the upstream did not answer: "+err.Error()))
	delivery.Fault = blresponse.FaultOf(err)
	return delivery
}

// cutShort returns the delivery of a response of which a part was passed on when reading it
// failed.
func (a *attempt) cutShort(ctx context.Context, err error) bldeliver.Delivery {
	delivery := a.truncated(ctx)
	if fault := blresponse.FaultOf(err); fault != "" && ctx.Err() == nil {
		delivery.Fault = fault
		delivery.Refusal.Detail += ": " + err.Error()
	}
	return delivery
}

// truncated returns the delivery of a response that was cut short.
func (a *attempt) truncated(ctx context.Context) bldeliver.Delivery {
	reason := blvalue.ReasonUpstreamFailed
	if ctx.Err() != nil {
		reason = contextReason(ctx)
	}
	return bldeliver.Delivery{
		Refusal: &blvalue.Refusal{Outcome: blvalue.OutcomePartial, Reason: reason, Detail: "the answer was cut short"},
		Started: true,
	}
}
