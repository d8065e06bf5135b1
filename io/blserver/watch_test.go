package blserver

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// TestWatchBeginsBeforeHandler guards against a request that is cancelled, or a further
// one that is forgotten, because net/http begins to watch the connection of a request
// before its handler has begun.
func TestWatchBeginsBeforeHandler(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer func() { _ = listener.Close() }()
	s := New(listener, &http.Server{ReadHeaderTimeout: testTimeout})
	caller, accepted := net.Pipe()
	defer func() { _ = caller.Close() }()
	c := &connection{Conn: accepted, server: s}
	s.connections[c] = struct{}{}
	s.Leave()
	go func() { _, _ = io.WriteString(caller, get("/first")+get("/second")[:1]) }()
	head := make([]byte, len(get("/first")))
	if _, err := io.ReadFull(c, head); err != nil {
		t.Fatalf("head: %v", err)
	}
	// The stop has waited for the rest of a request long enough.
	s.endIdle(true)
	go func() { _, _ = io.WriteString(caller, get("/second")[1:2]) }()
	for range 2 {
		if _, err := c.Read(make([]byte, backgroundReadBytes)); err != nil {
			t.Errorf("watch of a request that has been read: got %v, want none", err)
		}
	}
	c.begin()
	if c.endsWithResponse() {
		t.Error("response before a further request: got one that ends the connection, want it kept")
	}
}
