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
}

// Step is what a front end does after a failed attempt.
type Step string

// The steps.
const (
	// StepGiveUp tells the caller.
	StepGiveUp Step = "give_up"
	// StepWait tries again after a while, at no cost to any upstream.
	StepWait Step = "wait"
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
			return StepWait
		}
	case blvalue.ReasonMalformed, blvalue.ReasonUnknownRoute, blvalue.ReasonUnknownKey, blvalue.ReasonOverRate,
		blvalue.ReasonStale, blvalue.ReasonTimeout, blvalue.ReasonCancelled:
		return StepGiveUp
	case blvalue.ReasonOverload, blvalue.ReasonLeaving, blvalue.ReasonUnreachable, blvalue.ReasonUpstreamBroke,
		blvalue.ReasonGrantLapsed:
	}
	if notRun && f.Repeatable {
		return StepWait
	}
	if notRun || f.Idempotent {
		return StepSpend
	}
	return StepGiveUp
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
