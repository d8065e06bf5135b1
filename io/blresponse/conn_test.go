package blresponse

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/standin/blbroken"
)

// connectTo starts a server with the given ending and returns a connection on which its
// head has been read, and the reader of the body.
func connectTo(t *testing.T, body string, ending blbroken.Ending) (*blbroken.Server, *Conn, io.Reader) {
	t.Helper()
	server := blbroken.Start(t, "HTTP/1.1 200 OK\r\n\r\n"+body, ending)
	conn, err := Dial(t.Context(), &net.Dialer{}, "tcp", server.Address())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n"); err != nil {
		t.Fatalf("write head: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("read head: %v", err)
	}
	t.Cleanup(func() { _ = response.Body.Close() })
	return server, conn, response.Body
}

// writeUntilError writes until the connection has ended.
func writeUntilError(t *testing.T, conn *Conn) {
	t.Helper()
	for chunk := make([]byte, 64<<10); ; {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
}

// TestReadAfterWriteMetReset guards against the end that the system reports to a read once
// a write has had the report of a reset.
func TestReadAfterWriteMetReset(t *testing.T) {
	server, conn, reader := connectTo(t, "part", blbroken.EndReset)
	server.End()
	writeUntilError(t, conn)
	body, err := io.ReadAll(reader)
	if got, want := FaultOf(err), blvalue.FaultReset; got != want {
		t.Errorf("body %q: got fault %q (%v), want %q", body, got, err, want)
	}
}

// TestRepeatedReadAfterReset guards against a reset that the first read reports and a second
// one takes for an orderly end.
func TestRepeatedReadAfterReset(t *testing.T) {
	server, conn, _ := connectTo(t, "", blbroken.EndReset)
	server.End()
	for range 2 {
		if _, err := conn.Read(make([]byte, 1)); FaultOf(err) != blvalue.FaultReset {
			t.Errorf("read: got %v, want a reset", err)
		}
	}
}

// TestOrderlyEndBeforeReset checks that a response whose end arrived in order stays whole if
// the rest of the request then meets a reset.
func TestOrderlyEndBeforeReset(t *testing.T) {
	server, conn, reader := connectTo(t, "whole", blbroken.EndThenReset)
	server.End()
	writeUntilError(t, conn)
	body, err := io.ReadAll(reader)
	if got, want := string(body), "whole"; got != want || err != nil {
		t.Errorf("body: got %q, %v, want %q and no error", got, err, want)
	}
}

// connectPair returns both ends of a connection.
func connectPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := Dial(t.Context(), &net.Dialer{}, "tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatalf("accept: %v", err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = peer.Close()
	})
	return conn, peer.(*net.TCPConn)
}

// TestReadEndsBesideWaitingWrite checks that a read which sees an orderly end doesn't wait
// for a write that the peer doesn't take.
func TestReadEndsBesideWaitingWrite(t *testing.T) {
	conn, peer := connectPair(t)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20))
		written <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if err := peer.CloseWrite(); err != nil {
		t.Fatalf("end the peer's side: %v", err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read: got %v, want the end", err)
	}
	_ = conn.Close()
	if err := <-written; !errors.Is(err, net.ErrClosed) {
		t.Errorf("write: got %v, want a closed connection", err)
	}
}

// TestWriteWhole checks that a write larger than the buffers of the system arrives.
func TestWriteWhole(t *testing.T) {
	conn, peer := connectPair(t)
	text := strings.Repeat("0123456789abcdef", 1<<20)
	go func() {
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	}()
	got, err := io.ReadAll(peer)
	if err != nil || string(got) != text {
		t.Errorf("read: got %d bytes, %v, want the %d written", len(got), err, len(text))
	}
}
