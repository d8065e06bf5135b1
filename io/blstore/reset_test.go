package blstore

import (
	"errors"
	"testing"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blresponse"
	"bergamotlead/standin/blbroken"
)

// TestResetDuringWrite guards against a response of the store that passes for whole although
// its connection was reset: a lease would pass for renewed, and a key for absent.
func TestResetDuringWrite(t *testing.T) {
	cases := []struct {
		name, text string
		call       func(*Client) error
	}{
		{"renewal of a lease", "HTTP/1.1 200 OK\r\n\r\n", func(c *Client) error { return c.RenewLease(t.Context(), "lease_1") }},
		{"write", "HTTP/1.1 200 OK\r\n\r\n", func(c *Client) error {
			_, err := c.CompareAndSwap(t.Context(), "key", 1, []byte("value"), "")
			return err
		}},
		{"read", "HTTP/1.1 200 OK\r\n\r\n", func(c *Client) error {
			_, err := c.Get(t.Context(), "key")
			return err
		}},
		{"write with an answer", "HTTP/1.1 200 OK\r\n\r\n{\"revision\":2}", func(c *Client) error {
			_, err := c.CompareAndSwap(t.Context(), "key", 1, []byte("value"), "")
			return err
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := blbroken.Start(t, c.text, blbroken.EndReset)
			client := New(server.Address())
			client.transport.client.Transport = blbroken.NewWriterFirst(client.transport.client.Transport, server)
			err := c.call(client)
			if got, want := blresponse.FaultOf(err), blvalue.FaultReset; got != want {
				t.Errorf("fault: got %q (%v), want %q", got, err, want)
			}
			wantUnknownOutcome(t, c.name, err)
		})
	}
}

// wantUnknownOutcome checks that the error of a write doesn't say that it had no effect.
func wantUnknownOutcome(t *testing.T, name string, err error) {
	t.Helper()
	if name == "read" {
		return
	}
	if !errors.As(err, &blplatform.UnknownOutcomeError{}) {
		t.Errorf("error: got %v, want an unknown outcome", err)
	}
}
