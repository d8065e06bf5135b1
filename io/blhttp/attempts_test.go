package blhttp

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
)

// TestOutcomeAfterSeveralAttempts guards against a request of which one attempt got a broken
// answer, and that is told to the caller as one that has not run since another attempt was
// rejected.
func TestOutcomeAfterSeveralAttempts(t *testing.T) {
	broken := bldeliver.Delivery{Refusal: blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, "broken response")}
	rejected := bldeliver.Delivery{Refusal: blvalue.NotRun(blvalue.ReasonOverload, "too much to do")}
	unreachable := bldeliver.Delivery{Refusal: blvalue.NotRun(blvalue.ReasonUnreachable, "no connection")}
	cases := []struct {
		name       string
		hedgeAfter time.Duration
		// attempts are the results of the attempts in the order in which they end.
		attempts []bldeliver.Delivery
		want     blvalue.Outcome
	}{
		{"retry is rejected", 0, []bldeliver.Delivery{broken, rejected}, blvalue.OutcomeUnknown},
		{"retry finds no connection", 0, []bldeliver.Delivery{broken, unreachable}, blvalue.OutcomeUnknown},
		{"retry is broken", 0, []bldeliver.Delivery{rejected, broken}, blvalue.OutcomeUnknown},
		{"both are rejected", 0, []bldeliver.Delivery{rejected, rejected}, blvalue.OutcomeNotRun},
		{"hedge is rejected", time.Millisecond, []bldeliver.Delivery{broken, rejected}, blvalue.OutcomeUnknown},
		{"hedge is broken", time.Millisecond, []bldeliver.Delivery{rejected, broken}, blvalue.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			route := blconfig.Route{Name: "total", Timeout: 5 * time.Second, Idempotent: true, MaxAttempts: 2}
			if c.hedgeAfter > 0 {
				// A hedge is no further attempt.
				route.MaxAttempts = 1
			}
			target := blroute.Target{Upstream: "pot_1", Service: "pot", HedgeAfter: c.hedgeAfter}
			attempts := &orderedAttempts{results: c.attempts, hedged: c.hedgeAfter > 0, both: make(chan struct{}), next: make(chan struct{})}
			address := startHandlerFor(t, blroute.Answer{Route: route, Target: target}, attempts.deliver)
			response, err := http.Get("http://" + address + "/pot/a/total")
			if err != nil {
				t.Fatalf("request: %v", err)
			}
			_ = response.Body.Close()
			if got, want := response.Header.Get(blheader.Outcome), string(c.want); got != want {
				t.Errorf("outcome: got %s, want %s", got, want)
			}
			if got, want := int(attempts.started.Load()), len(c.attempts); got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
		})
	}
}

// orderedAttempts ends the attempts at a request in order. Those of a hedged request begin
// before the first of them ends.
type orderedAttempts struct {
	results    []bldeliver.Delivery
	hedged     bool
	started    atomic.Int64
	both, next chan struct{}
}

func (o *orderedAttempts) deliver(context.Context, bldeliver.Order, bldeliver.ResponseWriter) bldeliver.Delivery {
	i := int(o.started.Add(1)) - 1
	if i >= len(o.results) {
		return o.results[len(o.results)-1]
	}
	if !o.hedged {
		return o.results[i]
	}
	if i == 0 {
		<-o.both
		defer close(o.next)
		return o.results[i]
	}
	close(o.both)
	<-o.next
	time.Sleep(20 * time.Millisecond)
	return o.results[i]
}
