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
