package main

import (
	"net/http"
	"strconv"
	"testing"

	"bergamotlead/standin/blbroken"
)

// TestResetDuringCall guards against a response of a node that passes for whole although its
// connection was reset.
func TestResetDuringCall(t *testing.T) {
	server := blbroken.Start(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}", blbroken.EndReset)
	c := newClient(arguments{Node: server.Address()})
	c.http.Transport = blbroken.NewWriterFirst(transportOf(c), server)
	if got, want := exitCode(c.call(http.MethodPost, "/config", nil, nil)), exitUnknown; got != want {
		t.Errorf("exit code: got %d, want %d", got, want)
	}
}

// TestInvalidFieldName guards against a response of a node with a field whose name is none.
func TestInvalidFieldName(t *testing.T) {
	for _, line := range blbroken.InvalidLines() {
		for place, text := range blbroken.WithInvalidLine(line, "Content-Type: application/json\r\n", "{}") {
			t.Run(place+", "+strconv.Quote(line), func(t *testing.T) {
				server := blbroken.Start(t, text, blbroken.KeepOpen)
				c := newClient(arguments{Node: server.Address()})
				for range 2 {
					if err := c.call(http.MethodGet, "/config", nil, nil); err == nil {
						t.Error("call: got a whole response, want an error")
					}
				}
				if got, want := server.Connections(), 2; got != want {
					t.Errorf("connections: got %d, want %d", got, want)
				}
			})
		}
	}
}

// TestInvalidStatus guards against a response of a node whose status ends no request, and
// that passes for one of success.
func TestInvalidStatus(t *testing.T) {
	for _, status := range blbroken.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			server := blbroken.Start(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n", blbroken.KeepOpen)
			c := newClient(arguments{Node: server.Address()})
			if err := c.call(http.MethodGet, "/config", nil, nil); err == nil {
				t.Error("call: got a whole response, want an error")
			}
			if got, want := exitCode(c.call(http.MethodPost, "/config", nil, nil)), exitUnknown; got != want {
				t.Errorf("exit code of a change: got %d, want %d", got, want)
			}
			if got, want := server.Connections(), 2; got != want {
				t.Errorf("connections: got %d, want %d", got, want)
			}
		})
	}
}

// TestChangeWithoutConnection checks that a change that can't have reached a node isn't
// reported as unknown.
func TestChangeWithoutConnection(t *testing.T) {
	server := blbroken.Start(t, "", blbroken.KeepOpen)
	server.Close()
	c := newClient(arguments{Node: server.Address()})
	if got, want := exitCode(c.call(http.MethodPost, "/config", nil, nil)), exitFailed; got != want {
		t.Errorf("exit code: got %d, want %d", got, want)
	}
}

// transportOf returns the transport of a client.
func transportOf(c *client) http.RoundTripper {
	if c.http.Transport == nil {
		return http.DefaultTransport
	}
	return c.http.Transport
}
