package blgrpc

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

// resetListener keeps the connections that it accepts, to reset them.
type resetListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *resetListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, conn)
	}
	return conn, err
}

func (l *resetListener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// resettingNode is a node that resets its connections in the middle of an answer, while the
// body of the request is still being sent.
type resettingNode struct {
	identityNode

	reset func()
}

func (n resettingNode) Deliver(_ context.Context, _ bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	_ = writer.WriteHeader(200, nil)
	_, _ = writer.Write([]byte("part"))
	// The part leaves the node.
	time.Sleep(50 * time.Millisecond)
	n.reset()
	return bldeliver.Delivery{Started: true}
}

// endlessBody is the body of a request that never ends.
type endlessBody struct{}

func (endlessBody) Read(buffer []byte) (int, error) { return len(buffer), nil }

// TestResetDuringUploadToNode checks that an answer of another node doesn't pass for whole
// if its connection is reset while the request is still being sent.
func TestResetDuringUploadToNode(t *testing.T) {
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	listener := &resetListener{Listener: inner}
	server := NewServer(resettingNode{reset: listener.reset}, NewHeaderTable())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		got := newTestClient(t).Deliver(ctx, bldeliver.Order{
			Request: blvalue.Request{Method: "POST"}, Target: blroute.Target{Node: blvalue.Host{Address: inner.Addr().String()}},
			Timeout: time.Second, Body: endlessBody{}, BodyLength: -1,
		}, &statusWriter{})
		cancel()
		if got.Refusal == nil || got.Refusal.Outcome == blvalue.OutcomeNotRun {
			t.Errorf("got refusal %v, want one that doesn't exclude that it ran", got.Refusal)
		}
	}
}
