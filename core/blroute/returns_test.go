package blroute_test

import (
	"testing"
	"time"

	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

func TestReturnAfter(t *testing.T) {
	notRun := func(reason blvalue.RefusalReason) *blvalue.Refusal { return blvalue.NotRun(reason, "") }
	cases := []struct {
		name            string
		refusal         *blvalue.Refusal
		suggested, left time.Duration
		least, most     time.Duration
	}{
		{"suggested by the duty that refused", notRun(blvalue.ReasonOverload), 30 * time.Millisecond, time.Second, 30 * time.Millisecond, 30 * time.Millisecond},
		{"no lead", notRun(blvalue.ReasonStale), 0, 5 * time.Second, 350 * time.Millisecond, 1050 * time.Millisecond},
		{"no owner", notRun(blvalue.ReasonNoOwner), 0, 5 * time.Second, 350 * time.Millisecond, 1050 * time.Millisecond},
		{"little time left", notRun(blvalue.ReasonStale), 0, 300 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{"a full queue", notRun(blvalue.ReasonOverload), 0, 5 * time.Second, 50 * time.Millisecond, 150 * time.Millisecond},
		{"no allowance for an unproven version", notRun(blvalue.ReasonHeldBack), 0, 5 * time.Second, 50 * time.Millisecond, 150 * time.Millisecond},
		{"an unknown key", notRun(blvalue.ReasonUnknownKey), 0, 5 * time.Second, 0, 0},
		{"may have run", blvalue.UnknownOutcome(blvalue.ReasonUnreachable, ""), 0, 5 * time.Second, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for draw := range uint64(50) {
				if got := blroute.ReturnAfter(c.refusal, c.suggested, c.left, draw); got < c.least || got > c.most {
					t.Errorf("return after: got %v, want %v to %v", got, c.least, c.most)
				}
			}
		})
	}
}

// TestRefusedTogetherReturnOneAfterTheOther checks that callers who were refused in
// the same moment, when the lead was lost, don't come back in the same moment.
func TestRefusedTogetherReturnOneAfterTheOther(t *testing.T) {
	const callers, slices, length = 1000, 10, 100 * time.Millisecond
	var counts [2 * slices]int
	for draw := range uint64(callers) {
		after := blroute.ReturnAfter(blvalue.NotRun(blvalue.ReasonStale, ""), 0, 10*time.Second, draw)
		counts[after/length]++
	}
	for i, got := range counts {
		if most := callers / 5; got > most {
			t.Errorf("returns from %v on, in %v: got %d, want at most %d", time.Duration(i)*length, length, got, most)
		}
	}
}
