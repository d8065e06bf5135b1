package bllink

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// newEchoServer starts a TCP echo server and returns its address.
func newEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// isEchoed reports whether a byte sent to address comes back within 300 ms.
func isEchoed(t *testing.T, address string) bool {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil
}
