package blhttp

import (
	"context"
	"errors"
	"sync"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
)

// errLostRace stops an attempt whose response started after that of the other
// attempt.
var errLostRace = errors.New("another attempt answered first")

// race forwards the response of whichever of two attempts starts its response
// first.
type race struct {
	writer bldeliver.ResponseWriter

	mu     sync.Mutex
	winner *hedgedAttempt
}

// hedgedAttempt is one of the attempts in a race, and the ResponseWriter of that
// attempt.
type hedgedAttempt struct {
	race          *race
	activeRequest *activeRequest
	answer        blroute.Answer
	cancel        context.CancelFunc
	done          chan attemptResult
}

// attemptResult is the result of a hedged attempt.
type attemptResult struct {
	attempt  *hedgedAttempt
	delivery bldeliver.Delivery
}

// WriteHeader implements bldeliver.ResponseWriter.
func (h *hedgedAttempt) WriteHeader(status int, header map[string][]string) error {
	h.race.mu.Lock()
	if h.race.winner == nil {
		h.race.winner = h
	}
	won := h.race.winner == h
	h.race.mu.Unlock()
	if !won {
		return errLostRace
	}
	return h.race.writer.WriteHeader(status, header) //nolint:wrapcheck // forwarded unchanged
}

// Write implements bldeliver.ResponseWriter.
func (h *hedgedAttempt) Write(chunk []byte) (int, error) {
	return h.race.writer.Write(chunk) //nolint:wrapcheck // forwarded unchanged
}

// WriteTrailer implements bldeliver.ResponseWriter.
func (h *hedgedAttempt) WriteTrailer(trailer map[string][]string) error {
	return h.race.writer.WriteTrailer(trailer) //nolint:wrapcheck // forwarded unchanged
}

func (h *hedgedAttempt) run(ctx context.Context) {
	h.done <- attemptResult{attempt: h, delivery: h.activeRequest.deliver(ctx, h.answer, h)}
}

// deliverHedged delivers the order, and sends it to a second upstream as well if
// the first one takes longer than HedgeAfter, which is unusually long. The response
// that starts first is forwarded; the other attempt is cancelled.
func (a *activeRequest) deliverHedged(ctx context.Context, answer blroute.Answer) bldeliver.Delivery {
	r := &race{writer: a.writer}
	done := make(chan attemptResult, 2)
	first := a.startAttempt(ctx, r, answer, done)
	timer := time.NewTimer(answer.Target.HedgeAfter)
	defer timer.Stop()
	select {
	case result := <-done:
		first.cancel()
		return result.delivery
	case <-timer.C:
	}
	second := a.startHedge(ctx, r, answer, done)
	if second == nil {
		result := <-done
		first.cancel()
		return result.delivery
	}
	return r.awaitWinner(first, second, done)
}

func (a *activeRequest) startAttempt(ctx context.Context, r *race, answer blroute.Answer, done chan attemptResult) *hedgedAttempt {
	ctx, cancel := context.WithCancel(ctx)
	h := &hedgedAttempt{race: r, activeRequest: a, answer: answer, cancel: cancel, done: done}
	go h.run(ctx)
	return h
}

// startHedge starts an attempt at another upstream if the hedge budget allows
// it. It returns nil otherwise.
func (a *activeRequest) startHedge(ctx context.Context, r *race, answer blroute.Answer, done chan attemptResult) *hedgedAttempt {
	if !a.call.Body.replayable() {
		return nil
	}
	next, err := a.findTarget(ctx, answer, blroute.Find{Hedge: true})
	if err != nil || next.Refusal != nil {
		return nil
	}
	if next.Target.Upstream == answer.Target.Upstream {
		_ = a.handler.route(blroute.AttemptCompleted{Upstream: next.Target.Upstream, Unused: true})
		return nil
	}
	return a.startAttempt(ctx, r, next, done)
}

// awaitWinner waits for the attempt that answers first, cancels the other one and
// waits for it to end, so that no goroutine outlives the request. If the first
// attempt to end neither succeeded nor started the response, the result is that
// of the other one, which doesn't tell that the request has not run if the first may have.
func (r *race) awaitWinner(first, second *hedgedAttempt, done chan attemptResult) bldeliver.Delivery {
	result := <-done
	if result.delivery.Refusal == nil || result.delivery.Started && r.isWinner(result.attempt) {
		first.cancel()
		second.cancel()
		<-done
		return result.delivery
	}
	lastResult := <-done
	first.cancel()
	second.cancel()
	delivery := lastResult.delivery
	delivery.Refusal = blroute.AfterAttempts(delivery.Refusal, result.delivery.Refusal)
	return delivery
}

func (r *race) isWinner(h *hedgedAttempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner == h
}
