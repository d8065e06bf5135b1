package blroute_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func entry(name, service string) blassign.Entry {
	return blassign.Entry{
		Upstream: blvalue.Upstream{Name: blvalue.UpstreamName(name), Service: blvalue.ServiceName(service)},
		Node:     blvalue.Host{Name: "host", Incarnation: "run", Address: name},
	}
}

func ExampleBackoff() {
	fmt.Println(blroute.Backoff(1), blroute.Backoff(3), blroute.Backoff(20))
	// Output: 10ms 40ms 100ms
}

func ExampleAfterFailure() {
	step := blroute.AfterFailure(blroute.Failure{
		Refusal: blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, ""), Replayable: true, Idempotent: false,
	})
	fmt.Println(step)
	// Output: give_up
}

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

func newState() blroute.State[blroute.TwoChoices] {
	s := blroute.New(blroute.TwoChoices{})
	s, _ = blroute.Decide(s, blroute.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{
			"pot":      {Name: "pot", Kind: blconfig.ServiceExclusive, Partitions: 4},
			"wishlist": {Name: "wishlist", Kind: blconfig.ServiceShared},
		},
		Limits: blconfig.Limits{RetryPercent: 10, HedgePercent: 5},
	}}}, 0)
	s, _ = blroute.Decide(s, blroute.DirectoryChanged{Directory: blassign.Directory{
		Full: true,
		Entries: []blassign.Entry{
			entry("pot_1", "pot"), entry("wish_1", "wishlist"), entry("wish_2", "wishlist"), entry("wish_3", "wishlist"),
		},
		Owners: []blassign.Owners{{Service: "pot", Owners: []blvalue.UpstreamName{"pot_1", "pot_1", "pot_1", ""}}},
	}}, 0)
	return s
}

func find(s blroute.State[blroute.TwoChoices], service, key string, now time.Duration) (blroute.State[blroute.TwoChoices], blroute.Answer) {
	s, effects := blroute.Decide(s, blroute.Find{
		Request: blvalue.Request{Service: blvalue.ServiceName(service), Key: blvalue.Key(key)},
		First:   true, Reply: blring.NewReply[blroute.Answer](),
	}, bltimer.Instant(now))
	return s, effects[0].Answer
}

func TestOwnerLookup(t *testing.T) {
	s := newState()
	owned, unowned := 0, 0
	for i := range 64 {
		var answer blroute.Answer
		s, answer = find(s, "pot", fmt.Sprint(i), 0)
		switch {
		case answer.Refusal == nil && answer.Target.Upstream == "pot_1" && answer.Target.Exclusive:
			owned++
		case answer.Refusal != nil && answer.Refusal.Reason == blvalue.ReasonNoOwner:
			unowned++
		}
	}
	if owned == 0 || unowned == 0 || owned+unowned != 64 {
		t.Errorf("keys with and without an owner: got %d and %d, want both above 0, 64 in total", owned, unowned)
	}
}

func TestFailingUpstreamIsEjectedAndRetried(t *testing.T) {
	s := newState()
	for range 5 {
		s, _ = blroute.Decide(s, blroute.AttemptCompleted{Upstream: "wish_1", Failed: true}, 0)
	}
	counts := func(now time.Duration) int {
		count := 0
		for range 60 {
			var answer blroute.Answer
			s, answer = find(s, "wishlist", "x", now)
			if answer.Target.Upstream == "wish_1" {
				count++
			}
			s, _ = blroute.Decide(s, blroute.AttemptCompleted{Upstream: answer.Target.Upstream, Latency: time.Millisecond}, bltimer.Instant(now))
		}
		return count
	}
	if got := counts(time.Second); got != 0 {
		t.Errorf("requests to an ejected upstream: got %d, want 0", got)
	}
	if got := counts(3 * time.Second); got == 0 {
		t.Error("requests after the ejection time: got 0, want at least 1")
	}
}

func TestUnsentRequestDoesNotAffectHealth(t *testing.T) {
	s := newState()
	for range 50 {
		var answer blroute.Answer
		s, answer = find(s, "wishlist", "x", 0)
		s, _ = blroute.Decide(s, blroute.AttemptCompleted{Upstream: answer.Target.Upstream, Unused: true}, 0)
	}
	for name, health := range s.Healths().All() {
		if health.Outstanding != 0 || health.Latency != 0 {
			t.Errorf("health of %s: got %+v, want nothing outstanding and no latency", name, health)
		}
	}
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	s := newState()
	leaving := entry("wish_2", "wishlist")
	leaving.Upstream.Leaving = true
	s, _ = blroute.Decide(s, blroute.DirectoryChanged{Directory: blassign.Directory{Entries: []blassign.Entry{leaving}}}, 0)
	for range 60 {
		var answer blroute.Answer
		s, answer = find(s, "wishlist", "x", 0)
		if answer.Target.Upstream == "wish_2" {
			t.Fatal("upstream: got wish_2, which is leaving, want another")
		}
	}
}

func TestSlowUpstreamGetsFewerRequests(t *testing.T) {
	s := newState()
	counts := map[blvalue.UpstreamName]int{}
	for range 300 {
		var answer blroute.Answer
		s, answer = find(s, "wishlist", "x", 0)
		name := answer.Target.Upstream
		counts[name]++
		latency := 5 * time.Millisecond
		if name == "wish_3" {
			latency = 50 * time.Millisecond
		}
		s, _ = blroute.Decide(s, blroute.AttemptCompleted{Upstream: name, Latency: latency}, 0)
	}
	if got, want := counts["wish_3"], 60; got > want {
		t.Errorf("requests to the slow one of three upstreams: got %d of 300, want at most %d", got, want)
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

func TestStepAfterOverloadOrOwnerChange(t *testing.T) {
	busy := blvalue.NotRun(blvalue.ReasonOverload, "busy")
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

// TestLoadReportInRefusalIsUsed covers a request that an upstream's node refuses
// before it is sent to the upstream: the load in the refusal shows that the
// upstream is full, and the next requests must go to another one.
func TestLoadReportInRefusalIsUsed(t *testing.T) {
	s := blroute.New(blroute.LocalityFirst{Domain: "here"})
	s, _ = blroute.Decide(s, blroute.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Services: map[blvalue.ServiceName]blconfig.Service{"wishlist": {Name: "wishlist", Kind: blconfig.ServiceShared}},
	}}}, 0)
	local, remote := entry("wish_1", "wishlist"), entry("wish_2", "wishlist")
	local.Node.Domain, remote.Node.Domain = "here", "there"
	s, _ = blroute.Decide(s, blroute.DirectoryChanged{Directory: blassign.Directory{
		Full: true, Entries: []blassign.Entry{local, remote},
	}}, 0)
	s, _ = blroute.Decide(s, blroute.AttemptCompleted{
		Upstream: "wish_1", Unused: true, Load: blvalue.Load{Running: 6, Waiting: 3, Limit: 6},
	}, 0)
	_, effects := blroute.Decide(s, blroute.Find{
		Request: blvalue.Request{Service: "wishlist"}, First: true, Reply: blring.NewReply[blroute.Answer](),
	}, 0)
	if got, want := effects[0].Answer.Target.Upstream, blvalue.UpstreamName("wish_2"); got != want {
		t.Errorf("upstream after the refusal: got %s, want %s", got, want)
	}
}
