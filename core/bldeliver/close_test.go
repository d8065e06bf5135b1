package bldeliver_test

import (
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
)

// TestEndForgetsQueuedRequests guards against a node that ends while requests wait for
// a slot and are neither run nor refused.
func TestEndForgetsQueuedRequests(t *testing.T) {
	n := newNode(64)
	for n.state.Waiting() < 3 {
		n.acquire("a", blconfig.PriorityNormal, time.Second)
	}
	running, waiting := n.running(), n.state.Waiting()
	n.send(bldeliver.Close{})
	if got := len(n.effects); got != waiting {
		t.Errorf("requests refused at the end: got %d, want %d", got, waiting)
	}
	for _, effect := range n.effects {
		got := effect.Answer.Refusal
		if got == nil || got.Reason != blvalue.ReasonLeaving || got.Outcome != blvalue.OutcomeNotRun {
			t.Errorf("refusal: got %+v, want one for leaving that did not run", got)
		}
	}
	if got := n.running(); got != running {
		t.Errorf("running: got %d, want %d", got, running)
	}
	n.acquire("a", blconfig.PriorityNormal, time.Second)
	if got := n.state.Waiting(); got != 0 || len(n.effects) != 1 {
		t.Errorf("request after the end: got %d waiting, want a refusal", got)
	}
}
