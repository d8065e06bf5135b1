package blgrpc

import (
	"context"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bergamotlead/core/blvalue"
)

func TestStreamFailure(t *testing.T) {
	cases := []struct {
		name    string
		code    codes.Code
		started bool
		outcome blvalue.Outcome
		reason  blvalue.RefusalReason
	}{
		// gRPC can report the deadline before the context's own timer fires.
		{"deadline exceeded", codes.DeadlineExceeded, false, blvalue.OutcomeUnknown, blvalue.ReasonTimeout},
		{"connection lost before the answer", codes.Unavailable, false, blvalue.OutcomeUnknown, blvalue.ReasonUnreachable},
		{"connection lost during the answer", codes.Unavailable, true, blvalue.OutcomePartial, blvalue.ReasonUnreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := streamFailure(context.Background(), status.Error(c.code, "broken"), c.started)
			if got.Refusal.Outcome != c.outcome || got.Refusal.Reason != c.reason {
				t.Errorf("refusal: got %s %s, want %s %s", got.Refusal.Outcome, got.Refusal.Reason, c.outcome, c.reason)
			}
		})
	}
}
