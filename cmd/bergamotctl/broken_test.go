package main

import (
	"net/http"
	"testing"

	"bergamotlead/standin/blbroken"
)

// TestResetDuringCall guards against a response of a node that passes for whole although its
// connection was reset.
func TestResetDuringCall(t *testing.T) {
	server, err := blbroken.Start("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}", blbroken.EndReset)
	if err != nil {
		t.Fatalf("start server: %v", err)
	}
	t.Cleanup(server.Close)
	c := newClient(arguments{Node: server.Address()})
	c.http.Transport = blbroken.NewWriterFirst(transportOf(c), server)
	if err := c.call(http.MethodPost, "/config", nil, nil); err == nil {
		t.Error("call: got a whole response, want an error")
	}
}

// transportOf returns the transport of a client.
func transportOf(c *client) http.RoundTripper {
	if c.http.Transport == nil {
		return http.DefaultTransport
	}
	return c.http.Transport
}
