package blroute

import (
	"time"

	"bergamotlead/core/blvalue"
)

// Failure is what a front end knows of an attempt that brought no answer.
type Failure struct {
	Refusal *blvalue.Refusal
	// Started tells that the caller has seen part of an answer.
	Started bool
	// Repeatable tells that the request did not run and that the next attempt
	// may find another owner.
	Repeatable bool
	// Replayable tells that the request's body can be sent again.
	Replayable bool
	Idempotent bool
	// Exclusive tells that no other upstream may run the request.
	Exclusive bool
	// Attempt counts the attempts, and Sent those that may have reached an
	// upstream.
	Attempt int
	Sent    int
	// MaxAttempts bounds Sent, or is zero for no bound.
	MaxAttempts int
	// Waited is how long the caller has waited, and Goal the time within which
	// an answer is most useful, or zero.
	Waited time.Duration
	Goal   time.Duration
}

const (
	// mostElsewhere is the number of attempts at busy upstreams that took
	// nothing of the request.
	mostElsewhere = 4
	// goalShare is the part of the goal for which a request may wait for an
	// owner.
	goalShare = 4
)

// impatient reports whether the caller is told rather than kept waiting.
func (f Failure) impatient() bool {
	return f.Goal > 0 && f.Waited > f.Goal/goalShare
}

// exhausted reports whether the request has been sent as often as it may.
func (f Failure) exhausted() bool {
	return f.MaxAttempts > 0 && f.Sent >= f.MaxAttempts
}

// Step is what a front end does after a failed attempt.
type Step string

// The steps.
const (
	// StepGiveUp tells the caller.
	StepGiveUp Step = "give_up"
	// StepWait tries again after a while, at no cost to any upstream.
	StepWait Step = "wait"
	// StepElsewhere tries another upstream at once, at no cost to any.
	StepElsewhere Step = "elsewhere"
	// StepSpend tries again at the cost of the retry budget.
	StepSpend Step = "spend"
)

// AfterFailure returns the step after a failed attempt. Only what is sure not
// to have run, or does no harm twice, is tried again.
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
	case blvalue.ReasonMalformed, blvalue.ReasonUnknownRoute, blvalue.ReasonUnknownKey, blvalue.ReasonOverRate,
		blvalue.ReasonStale, blvalue.ReasonTimeout, blvalue.ReasonCancelled:
		return StepGiveUp
	case blvalue.ReasonOverload, blvalue.ReasonLeaving, blvalue.ReasonUnreachable, blvalue.ReasonUpstreamBroke,
		blvalue.ReasonGrantLapsed:
	}
	if notRun && f.Repeatable {
		return f.afterNothingSpent()
	}
	if f.exhausted() || !notRun && !f.Idempotent {
		return StepGiveUp
	}
	return StepSpend
}

// afterNoOwner returns the step after an attempt that found no owner.
func (f Failure) afterNoOwner() Step {
	if f.impatient() {
		return StepGiveUp
	}
	return StepWait
}

// afterNothingSpent returns the step after an attempt that cost no upstream
// anything.
func (f Failure) afterNothingSpent() Step {
	busy := f.Refusal.Reason == blvalue.ReasonOverload
	if busy && (f.Exclusive || f.Attempt >= mostElsewhere) || f.impatient() {
		return StepGiveUp
	}
	if busy {
		return StepElsewhere
	}
	return StepWait
}

const (
	shortestPause = 10 * time.Millisecond
	longestPause  = 100 * time.Millisecond
)

// Pause returns how long to wait before the given attempt, counted from one.
func Pause(attempt int) time.Duration {
	pause := shortestPause
	for range attempt - 1 {
		pause = min(2*pause, longestPause)
	}
	return pause
}
