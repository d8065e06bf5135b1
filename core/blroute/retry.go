package blroute

import (
	"time"

	"bergamotlead/core/blvalue"
)

// Failure describes an attempt that ended without an answer, as known to the
// front end.
type Failure struct {
	Refusal *blvalue.Refusal
	// Started is set when part of the answer has reached the caller.
	Started bool
	// Retryable is set when the request did not run and the next attempt may
	// find a different owner.
	Retryable bool
	// Replayable is set when the request's body can be sent again.
	Replayable bool
	Idempotent bool
	// Exclusive is set when no other upstream may run the request.
	Exclusive bool
	// Attempt is the number of attempts so far, and Sent the number of those that
	// may have reached an upstream.
	Attempt int
	Sent    int
	// MaxAttempts limits Sent. Zero means no limit.
	MaxAttempts int
	// Waited is how long the caller has waited, and Goal the latency goal of the
	// route, or zero if it has none.
	Waited time.Duration
	Goal   time.Duration
}

const (
	// maxOverloadAttempts limits the attempts at overloaded upstreams when the
	// request was not sent to them.
	maxOverloadAttempts = 4
	// goalDivisor gives the fraction of the latency goal, one in four, for which
	// a request may wait for an owner.
	goalDivisor = 4
)

// waitLimitReached reports whether the request has waited for as long as its
// latency goal allows, so that the caller gets the failure now.
func (f Failure) waitLimitReached() bool {
	return f.Goal > 0 && f.Waited > f.Goal/goalDivisor
}

// attemptsExhausted reports whether the request has been sent MaxAttempts times.
func (f Failure) attemptsExhausted() bool {
	return f.MaxAttempts > 0 && f.Sent >= f.MaxAttempts
}

// Step is the front end's next action after a failed attempt.
type Step string

// Actions after a failed attempt.
const (
	// StepGiveUp returns the failure to the caller.
	StepGiveUp Step = "give_up"
	// StepBackoff retries after a backoff and is not charged to the retry budget,
	// since no upstream did any work.
	StepBackoff Step = "wait"
	// StepOtherUpstream retries at once on another upstream and is not charged to
	// the retry budget, since no upstream did any work.
	StepOtherUpstream Step = "elsewhere"
	// StepBudgetedRetry retries and is charged to the retry budget.
	StepBudgetedRetry Step = "spend"
)

// AfterFailure returns the step after a failed attempt. Only requests that are
// known not to have run, or that are idempotent, are retried.
func AfterFailure(f Failure) Step {
	if f.Started || !f.Replayable {
		return StepGiveUp
	}
	notRun := f.Refusal.Outcome == blvalue.OutcomeNotRun
	switch f.Refusal.Reason {
	case blvalue.ReasonNoOwner, blvalue.ReasonNoUpstream, blvalue.ReasonNotOwner:
		if notRun {
			return f.afterNoOwner()
		}
	case blvalue.ReasonMalformed, blvalue.ReasonUnknownRoute, blvalue.ReasonUnknownKey, blvalue.ReasonRateLimited,
		blvalue.ReasonStale, blvalue.ReasonTimeout, blvalue.ReasonCancelled:
		return StepGiveUp
	case blvalue.ReasonOverload, blvalue.ReasonLeaving, blvalue.ReasonUnreachable, blvalue.ReasonUpstreamFailed,
		blvalue.ReasonGrantExpired, blvalue.ReasonHeldBack:
	}
	if notRun && f.Retryable {
		return f.afterUnsent()
	}
	if f.attemptsExhausted() || !notRun && !f.Idempotent {
		return StepGiveUp
	}
	return StepBudgetedRetry
}

// afterNoOwner returns the step after an attempt that found no owner or no
// upstream.
func (f Failure) afterNoOwner() Step {
	if f.waitLimitReached() {
		return StepGiveUp
	}
	return StepBackoff
}

// afterUnsent returns the step after an attempt that caused no work at any
// upstream.
func (f Failure) afterUnsent() Step {
	if f.Refusal.Reason == blvalue.ReasonHeldBack {
		return f.afterHeldBack()
	}
	overloaded := f.Refusal.Reason == blvalue.ReasonOverload
	if overloaded && (f.Exclusive || f.Attempt >= maxOverloadAttempts) || f.waitLimitReached() {
		return StepGiveUp
	}
	if overloaded {
		return StepOtherUpstream
	}
	return StepBackoff
}

// afterHeldBack returns the step after an attempt at an upstream that a roll-out keeps
// from running the request. The owner of a key may run it once the lead allows more, and
// so may the upstream of a shared service if no other is found.
func (f Failure) afterHeldBack() Step {
	if f.waitLimitReached() {
		return StepGiveUp
	}
	if f.Exclusive || f.Attempt >= maxOverloadAttempts {
		return StepBackoff
	}
	return StepOtherUpstream
}

// AfterAttempts returns the refusal of a request whose last attempt ended with the one
// refusal, and an earlier or concurrent one with the other. Either may be nil. The request
// has not run only if that holds for both.
func AfterAttempts(last, other *blvalue.Refusal) *blvalue.Refusal {
	if last == nil || other == nil || last.Outcome != blvalue.OutcomeNotRun || other.Outcome == blvalue.OutcomeNotRun {
		return last
	}
	combined := last.WithOutcome(blvalue.OutcomeUnknown).WithDetail(last.Detail + "; another attempt may have run: " + other.Detail)
	return &combined
}

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Backoff returns the exponential backoff before the given retry, counted from
// one.
func Backoff(attempt int) time.Duration {
	backoff := minBackoff
	for range attempt - 1 {
		backoff = min(2*backoff, maxBackoff)
	}
	return backoff
}
