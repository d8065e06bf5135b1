package main

import (
	"net/http"
	"strconv"
	"testing"

	"bergamotlead/standin/blbroken"
)

// startBroken starts a node that sends a text.
func startBroken(t *testing.T, text string, ending blbroken.Ending) *blbroken.Server {
	t.Helper()
	server, err := blbroken.Start(text, ending)
	if err != nil {
		t.Fatalf("start server: %v", err)
	}
	t.Cleanup(server.Close)
	return server
}

// TestResetDuringCall guards against a response of a node that passes for whole although its
// connection was reset.
func TestResetDuringCall(t *testing.T) {
	server := startBroken(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}", blbroken.EndReset)
	c := newClient(arguments{Node: server.Address()})
	c.http.Transport = blbroken.NewWriterFirst(transportOf(c), server)
	if err := c.call(http.MethodPost, "/config", nil, nil); err == nil {
		t.Error("call: got a whole response, want an error")
	}
}

// TestInvalidFieldName guards against a response of a node with a field whose name is none.
func TestInvalidFieldName(t *testing.T) {
	for _, line := range blbroken.InvalidLines() {
		for place, text := range blbroken.WithInvalidLine(line, "Content-Type: application/json\r\n", "{}") {
			t.Run(place+", "+strconv.Quote(line), func(t *testing.T) {
				server := startBroken(t, text, blbroken.KeepOpen)
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

// transportOf returns the transport of a client.
func transportOf(c *client) http.RoundTripper {
	if c.http.Transport == nil {
		return http.DefaultTransport
	}
	return c.http.Transport
}
