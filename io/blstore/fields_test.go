package blstore

import (
	"errors"
	"strconv"
	"testing"

	"bergamotlead/core/blplatform"
	"bergamotlead/standin/blbroken"
)

// TestInvalidFieldName guards against a response of the store with a field whose name is
// none: its body has another end than the store meant, and its connection was kept.
func TestInvalidFieldName(t *testing.T) {
	for _, line := range blbroken.InvalidLines() {
		for place, text := range blbroken.WithInvalidLine(line, eraHeader+": 7\r\n", `{"revision":2}`) {
			t.Run(place+", "+strconv.Quote(line), func(t *testing.T) {
				server := blbroken.Start(t, text, blbroken.KeepOpen)
				client := New(server.Address())
				if _, err := client.Get(t.Context(), "key"); err == nil {
					t.Error("read: got an entry, want an error")
				}
				_, err := client.CompareAndSwap(t.Context(), "key", 1, []byte("value"), "")
				if !errors.As(err, &blplatform.UnknownOutcomeError{}) {
					t.Errorf("write: got %v, want an unknown outcome", err)
				}
				if got, want := server.Connections(), 2; got != want {
					t.Errorf("connections: got %d, want %d", got, want)
				}
				if got := client.Era(); got != 0 {
					t.Errorf("era: got %d, want none from a broken response", got)
				}
			})
		}
	}
}
