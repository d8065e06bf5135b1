package blroute_test

import (
	"testing"
	"time"

	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

func TestStepAfterFailure(t *testing.T) {
	notRun, unknown := blvalue.OutcomeNotRun, blvalue.OutcomeUnknown
	cases := []struct {
		name    string
		failure blroute.Failure
		outcome blvalue.Outcome
		reason  blvalue.RefusalReason
		want    blroute.Step
	}{
		{"partition owner moved", blroute.Failure{Replayable: true}, notRun, blvalue.ReasonNotOwner, blroute.StepBackoff},
		{"partition has no owner", blroute.Failure{Replayable: true}, notRun, blvalue.ReasonNoOwner, blroute.StepBackoff},
		{"connection failed", blroute.Failure{Replayable: true, Retryable: true}, notRun, blvalue.ReasonUnreachable, blroute.StepBackoff},
		{"shed", blroute.Failure{Replayable: true}, notRun, blvalue.ReasonOverload, blroute.StepBudgetedRetry},
		{"shed, body not replayable", blroute.Failure{}, notRun, blvalue.ReasonOverload, blroute.StepGiveUp},
		{"outcome unknown", blroute.Failure{Replayable: true}, unknown, blvalue.ReasonUpstreamFailed, blroute.StepGiveUp},
		{"outcome unknown, idempotent", blroute.Failure{Replayable: true, Idempotent: true}, unknown, blvalue.ReasonUpstreamFailed, blroute.StepBudgetedRetry},
		{"owner's node unreachable, idempotent", blroute.Failure{Replayable: true, Idempotent: true}, unknown, blvalue.ReasonUnreachable, blroute.StepBudgetedRetry},
		{"answer already started", blroute.Failure{Replayable: true, Idempotent: true, Started: true}, blvalue.OutcomePartial, blvalue.ReasonUpstreamFailed, blroute.StepGiveUp},
		{"request timed out", blroute.Failure{Replayable: true, Idempotent: true}, unknown, blvalue.ReasonTimeout, blroute.StepGiveUp},
		{"cancelled by the caller", blroute.Failure{Replayable: true, Idempotent: true}, unknown, blvalue.ReasonCancelled, blroute.StepGiveUp},
		{"unknown client key", blroute.Failure{Replayable: true, Idempotent: true}, notRun, blvalue.ReasonUnknownKey, blroute.StepGiveUp},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.failure.Refusal = &blvalue.Refusal{Outcome: c.outcome, Reason: c.reason}
			if got := blroute.AfterFailure(c.failure); got != c.want {
				t.Errorf("step: got %s, want %s", got, c.want)
			}
		})
	}
}

func TestStepAfterOverloadOrOwnerChange(t *testing.T) {
	busy := blvalue.NotRun(blvalue.ReasonOverload, "busy")
	unproven := blvalue.NotRun(blvalue.ReasonHeldBack, "not allowed")
	moving := blvalue.NotRun(blvalue.ReasonNotOwner, "moving")
	failed := blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, "broke")
	goal := 400 * time.Millisecond
	cases := []struct {
		name    string
		failure blroute.Failure
		want    blroute.Step
	}{
		{"overloaded, not sent", blroute.Failure{Refusal: busy, Retryable: true, Attempt: 1}, blroute.StepOtherUpstream},
		{"overloaded, not sent, exclusive", blroute.Failure{Refusal: busy, Retryable: true, Attempt: 1, Exclusive: true}, blroute.StepGiveUp},
		{"overloaded, not sent, overload attempts exhausted", blroute.Failure{Refusal: busy, Retryable: true, Attempt: 4}, blroute.StepGiveUp},
		{"unproven version, not sent", blroute.Failure{Refusal: unproven, Retryable: true, Attempt: 1}, blroute.StepOtherUpstream},
		{"unproven version, not sent, others tried", blroute.Failure{Refusal: unproven, Retryable: true, Attempt: 4}, blroute.StepBackoff},
		{"unproven version, not sent, exclusive", blroute.Failure{Refusal: unproven, Retryable: true, Exclusive: true}, blroute.StepBackoff},
		{"unproven version, wait limit exceeded", blroute.Failure{Refusal: unproven, Retryable: true, Goal: goal, Waited: goal / 2}, blroute.StepGiveUp},
		{"shed by the upstream", blroute.Failure{Refusal: busy, Attempt: 1, Sent: 1, MaxAttempts: 2}, blroute.StepBudgetedRetry},
		{"shed by the upstream, attempts exhausted", blroute.Failure{Refusal: busy, Attempt: 2, Sent: 2, MaxAttempts: 2}, blroute.StepGiveUp},
		{"owner changing, within the wait limit", blroute.Failure{Refusal: moving, Goal: goal, Waited: goal / 8}, blroute.StepBackoff},
		{"owner changing, wait limit exceeded", blroute.Failure{Refusal: moving, Goal: goal, Waited: goal / 2}, blroute.StepGiveUp},
		{"outcome unknown, not idempotent", blroute.Failure{Refusal: failed, Sent: 1, MaxAttempts: 3}, blroute.StepGiveUp},
		{"outcome unknown, idempotent, attempts left", blroute.Failure{Refusal: failed, Idempotent: true, Sent: 1, MaxAttempts: 3}, blroute.StepBudgetedRetry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.failure.Replayable = true
			if got := blroute.AfterFailure(c.failure); got != c.want {
				t.Errorf("step: got %s, want %s", got, c.want)
			}
		})
	}
}

func TestBudgetLimitsExtraAttempts(t *testing.T) {
	const requests, share = 10000, 5
	budget := blroute.NewBudget()
	extra := 0
	for range requests {
		budget = budget.WithRequest(share)
		var allowed bool
		for {
			if budget, allowed = budget.WithExtraAttempt(); !allowed {
				break
			}
			extra++
		}
	}
	if got, want := extra, requests*share/100+20; got > want {
		t.Errorf("extra attempts: got %d, want at most %d", got, want)
	}
}

func TestRetryBudgetIsPerService(t *testing.T) {
	s := newState()
	for range 1000 {
		s, _ = find(s, "pot", "awa", 0)
	}
	allowed := 0
	for range 200 {
		var effects []blroute.Effect
		s, effects = blroute.Decide(s, blroute.Find{
			Request: blvalue.Request{Service: "wishlist"}, ChargeRetryBudget: true, Reply: blring.NewReply[blroute.Answer](),
		}, 0)
		if effects[0].Answer.Refusal == nil {
			allowed++
		}
	}
	if got, want := allowed, 20; got != want {
		t.Errorf("retries of the wishlist service: got %d, want the reserve of %d", got, want)
	}
}

// TestAfterAttempts guards against a refusal that denies what another attempt may have done.
func TestAfterAttempts(t *testing.T) {
	notRun := blvalue.NotRun(blvalue.ReasonOverload, "too much to do")
	unknown := blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, "no answer")
	partial := &blvalue.Refusal{Outcome: blvalue.OutcomePartial, Reason: blvalue.ReasonUpstreamFailed}
	cases := []struct {
		name        string
		last, other *blvalue.Refusal
		want        blvalue.Outcome
	}{
		{"only attempt", notRun, nil, blvalue.OutcomeNotRun},
		{"both not run", notRun, notRun, blvalue.OutcomeNotRun},
		{"other may have run", notRun, unknown, blvalue.OutcomeUnknown},
		{"other cut short", notRun, partial, blvalue.OutcomeUnknown},
		{"last may have run", unknown, notRun, blvalue.OutcomeUnknown},
		{"last cut short", partial, unknown, blvalue.OutcomePartial},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := blroute.AfterAttempts(c.last, c.other)
			if got.Outcome != c.want || got.Reason != c.last.Reason {
				t.Errorf("refusal: got %s, want outcome %s and the reason of the last attempt", got, c.want)
			}
		})
	}
	if got := blroute.AfterAttempts(nil, unknown); got != nil {
		t.Errorf("refusal of an answered request: got %s, want none", got)
	}
	if got, want := notRun.Outcome, blvalue.OutcomeNotRun; got != want {
		t.Errorf("refusal that was passed: got %s, want it unchanged", got)
	}
}
