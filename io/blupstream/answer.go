package blupstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
)

// pass passes an answer on. The part of it that fits into one frame is read
// first, so that a small answer that breaks off has not been seen by the
// caller.
func (a *attempt) pass(ctx context.Context, response *http.Response) (bldeliver.Delivery, bldeliver.Result) {
	if response.ContentLength > copyBytes {
		return a.stream(ctx, response, nil)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, copyBytes+1))
	if err != nil {
		delivery := a.cut(ctx)
		delivery.Started = false
		return delivery, bldeliver.ResultBroke
	}
	if len(body) > copyBytes || len(response.Trailer) > 0 {
		return a.stream(ctx, response, body)
	}
	header := a.deliverer.dialect.Answered(response.Header)
	if response.Request == nil || response.Request.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(len(body))}
	}
	if err := a.sink.Head(response.StatusCode, header); err != nil {
		return a.cut(ctx), bldeliver.ResultUnused
	}
	if _, err := a.sink.Write(body); err != nil {
		return a.cut(ctx), bldeliver.ResultUnused
	}
	return bldeliver.Delivery{Started: true}, bldeliver.ResultAnswered
}

// stream copies an answer to the sink, of which first has been read.
func (a *attempt) stream(
	ctx context.Context, response *http.Response, first []byte,
) (bldeliver.Delivery, bldeliver.Result) {
	if err := a.sink.Head(response.StatusCode, a.deliverer.dialect.Answered(response.Header)); err != nil {
		return a.cut(ctx), bldeliver.ResultUnused
	}
	if _, err := a.sink.Write(first); err != nil {
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
		if err := a.sink.Trailer(a.deliverer.dialect.Answered(response.Trailer)); err != nil {
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
