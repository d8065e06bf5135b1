package bladmit_test

import (
	"testing"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blvalue"
)

// TestLeavingRefusesCallsOfRunningWork guards against a leaving node that refuses the
// calls which its upstream makes for requests that it already runs.
func TestLeavingRefusesCallsOfRunningWork(t *testing.T) {
	n := newNode()
	n.send(bladmit.Leave{})
	n.admit("wishlist", "GET", "hours", "")
	if got := n.admitted(); got != 1 {
		t.Errorf("calls admitted while leaving: got %d, want 1", got)
	}
	n.send(bladmit.Close{})
	n.admit("wishlist", "GET", "hours", "")
	if got := n.admitted(); got != 0 {
		t.Errorf("calls admitted at the end: got %d, want 0", got)
	}
}

// TestEndForgetsWaitingRequests guards against a node that ends while requests wait for
// tokens and are neither answered nor refused.
func TestEndForgetsWaitingRequests(t *testing.T) {
	n := newNode()
	// The first requests spend what the fallback rate allows.
	waiting := 0
	for range 20 {
		n.admit("pot", "POST", "contributions", "digest")
		waiting += 1 - n.admitted() - refusals(n.effects)
	}
	if waiting == 0 {
		t.Fatal("waiting requests: got none, want some")
	}
	n.send(bladmit.Close{})
	if got := refusals(n.effects); got != waiting {
		t.Errorf("requests refused at the end: got %d, want %d", got, waiting)
	}
}

// refusals counts the refusals, and those for another reason than leaving double.
func refusals(effects []bladmit.Effect) int {
	count := 0
	for _, effect := range effects {
		refuse, ok := effect.(bladmit.Refuse)
		if !ok {
			continue
		}
		count++
		if refuse.Refusal.Reason != blvalue.ReasonLeaving || refuse.Refusal.Outcome != blvalue.OutcomeNotRun {
			count++
		}
	}
	return count
}
