package blstore

import (
	"errors"
	"testing"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/standin/blbroken"
)

// TestInvalidStatus guards against a response of the store whose status ends no request: a
// write that may have been done counted as one that was refused.
func TestInvalidStatus(t *testing.T) {
	writes := map[string]func(*Client) error{
		"write": func(c *Client) error {
			_, err := c.CompareAndSwap(t.Context(), "key", 1, []byte("value"), "")
			return err
		},
		"new lease": func(c *Client) error {
			_, err := c.NewLease(t.Context(), time.Second)
			return err
		},
		"renewal":      func(c *Client) error { return c.RenewLease(t.Context(), "lease_1") },
		"end of lease": func(c *Client) error { return c.EndLease(t.Context(), "lease_1") },
	}
	for _, status := range blbroken.InvalidStatuses() {
		for name, write := range writes {
			t.Run(name+", "+status, func(t *testing.T) {
				server := blbroken.Start(t, "HTTP/1.1 "+status+"\r\n"+eraHeader+": 7\r\nContent-Length: 2\r\n\r\n{}", blbroken.KeepOpen)
				client := New(server.Address())
				for range 2 {
					if err := write(client); !errors.As(err, &blplatform.UnknownOutcomeError{}) {
						t.Errorf("error: got %v, want an unknown outcome", err)
					}
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
