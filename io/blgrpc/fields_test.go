package blgrpc

import (
	"context"
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

// fieldNode is a node that answers each order with a field in the head or in the trailer.
type fieldNode struct {
	identityNode

	header, trailer map[string][]string
}

func (n fieldNode) Deliver(_ context.Context, _ bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	_ = writer.WriteHeader(200, n.header)
	_, _ = writer.Write([]byte("body"))
	if n.trailer != nil {
		_ = writer.WriteTrailer(n.trailer)
	}
	return bldeliver.Delivery{Started: true}
}

// TestInvalidFieldNameFromNode guards against an answer with a field whose name is none that
// another node, such as one of an earlier release, passes on.
func TestInvalidFieldNameFromNode(t *testing.T) {
	invalid := map[string][]string{"Bad Name": {"x"}}
	cases := []struct {
		name    string
		node    fieldNode
		started bool
		outcome blvalue.Outcome
	}{
		{"head", fieldNode{header: invalid}, false, blvalue.OutcomeUnknown},
		{"head of an answer in one frame", fieldNode{header: map[string][]string{"Bad Name": {"x"}, contentLengthField: {"4"}}}, false, blvalue.OutcomeUnknown},
		{"length", fieldNode{header: map[string][]string{"Content-Length ": {"2"}}}, false, blvalue.OutcomeUnknown},
		{"trailer", fieldNode{trailer: invalid}, true, blvalue.OutcomePartial},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := serveNode(t, c.node)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			writer := &statusWriter{}
			got := newTestClient(t).Deliver(ctx, bldeliver.Order{
				Request: blvalue.Request{Method: "GET"}, Target: blroute.Target{Node: blvalue.Host{Address: address}}, Timeout: time.Second,
			}, writer)
			if got.Refusal == nil || got.Refusal.Outcome != c.outcome || got.Started != c.started {
				t.Errorf("got refusal %v, started %v, want outcome %s, started %v", got.Refusal, got.Started, c.outcome, c.started)
			}
			if got.Fault != blvalue.FaultFieldName {
				t.Errorf("fault: got %q, want %q", got.Fault, blvalue.FaultFieldName)
			}
			if written := writer.status != 0; written != c.started {
				t.Errorf("written to the caller: got %v, want %v", written, c.started)
			}
		})
	}
}
