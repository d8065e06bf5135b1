package blnode

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bltimer"
)

// TestOutageLogShowsLaterCauses guards against an outage whose first cause alone is
// logged, while it is a later one that keeps it from ending.
func TestOutageLogShowsLaterCauses(t *testing.T) {
	var written bytes.Buffer
	outage := newOutageLog(hclog.New(&hclog.LoggerOptions{Output: &written}), bltimer.NewSystem(), "not read", "read again")
	for range 3 {
		outage.record(errors.New("refused"))
	}
	for range 5 {
		outage.record(errors.New("answer too large"))
	}
	outage.record(nil)
	outage.record(nil)
	for text, want := range map[string]int{"refused": 2, "answer too large": 2, "not read": 4, "read again": 1, "failures=8": 2} {
		if got := strings.Count(written.String(), text); got != want {
			t.Errorf("lines with %q: got %d, want %d in\n%s", text, got, want, written.String())
		}
	}
}
