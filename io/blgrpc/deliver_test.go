package blgrpc

import (
	"context"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bergamotlead/core/blvalue"
)

func TestBrokenStream(t *testing.T) {
	cases := []struct {
		name    string
		code    codes.Code
		started bool
		outcome blvalue.Outcome
		reason  blvalue.RefusalReason
	}{
		// The library may see the deadline before the context's own timer fires.
		{"the deadline passed", codes.DeadlineExceeded, false, blvalue.OutcomeUnknown, blvalue.ReasonTimeout},
		{"the connection broke", codes.Unavailable, false, blvalue.OutcomeUnknown, blvalue.ReasonUnreachable},
		{"the answer broke off", codes.Unavailable, true, blvalue.OutcomePartial, blvalue.ReasonUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := broken(context.Background(), status.Error(c.code, "broken"), c.started)
			if got.Refusal.Outcome != c.outcome || got.Refusal.Reason != c.reason {
				t.Errorf("refusal: got %s %s, want %s %s", got.Refusal.Outcome, got.Refusal.Reason, c.outcome, c.reason)
			}
		})
	}
}
