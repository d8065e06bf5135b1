package blupstream

import (
	"context"
	"errors"
	"io"
	"net/http"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

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
