package blgrpc

import (
	"context"
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

// statusNode is a node that answers each order with a status.
type statusNode struct {
	identityNode

	status int
}

func (n statusNode) Deliver(_ context.Context, _ bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	if err := writer.WriteHeader(n.status, nil); err != nil {
		return bldeliver.Delivery{Refusal: blvalue.UnknownOutcome(blvalue.ReasonCancelled, err.Error())}
	}
	_, _ = writer.Write([]byte("body"))
	return bldeliver.Delivery{Started: true}
}

// statusWriter keeps the status that was written to a caller.
type statusWriter struct{ status int }

func (w *statusWriter) WriteHeader(status int, _ map[string][]string) error {
	w.status = status
	return nil
}

func (w *statusWriter) Write(body []byte) (int, error)         { return len(body), nil }
func (w *statusWriter) WriteTrailer(map[string][]string) error { return nil }

// TestInvalidStatusFromNode guards against an answer without a valid status that another
// node, such as one of an earlier release, passes on.
func TestInvalidStatusFromNode(t *testing.T) {
	for _, code := range []int{0, 99, 101, 199, 600, 999} {
		address := serveNode(t, statusNode{status: code})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		writer := &statusWriter{}
		got := newTestClient(t).Deliver(ctx, bldeliver.Order{
			Request: blvalue.Request{Method: "GET"}, Target: blroute.Target{Node: blvalue.Host{Address: address}}, Timeout: time.Second,
		}, writer)
		cancel()
		if got.Refusal == nil || got.Refusal.Outcome != blvalue.OutcomeUnknown || got.Started {
			t.Errorf("status %d: got refusal %v, started %v, want an unknown outcome and nothing started", code, got.Refusal, got.Started)
		}
		if writer.status != 0 {
			t.Errorf("status %d: written to the caller: got %d, want nothing", code, writer.status)
		}
	}
}
