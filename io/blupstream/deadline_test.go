package blupstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// timedProtocol records the time that upstreams are given.
type timedProtocol struct {
	NativeProtocol

	left *time.Duration
}

// Prepare implements Protocol.
func (p timedProtocol) Prepare(
	_ *http.Request, _ bldeliver.Order, _ blgrant.Permit, _ blvalue.Incarnation, left time.Duration,
) {
	*p.left = left
}

// TestUpstreamOutlivesOrder guards against an upstream that is given the time of the
// whole request, although its order has less because the node ends before that.
func TestUpstreamOutlivesOrder(t *testing.T) {
	var got time.Duration
	clock := bltimer.NewSystem()
	order := bldeliver.Order{Request: blvalue.Request{Method: http.MethodGet}, URI: "/", Timeout: time.Second}
	a := &attempt{
		deliverer: &Deliverer{clock: clock, protocol: timedProtocol{left: &got}}, order: order,
		deadline: clock.Now().Add(order.Timeout),
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := a.newRequest(ctx, bldeliver.AcquireAnswer{Address: "upstream"}, nil); err != nil {
		t.Fatalf("request: %v", err)
	}
	if want := order.Timeout; got <= 0 || got > want {
		t.Errorf("time given to the upstream: got %v, want at most %v", got, want)
	}
}
