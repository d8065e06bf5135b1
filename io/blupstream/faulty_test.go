package blupstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// refusalText is an upstream's refusal of the request with the given ID. Without an
// ID, it names no request.
func refusalText(id string) string {
	field := idField + ": " + id + "\r\n"
	if id == "" {
		field = ""
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + field + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// TestRefusalWrittenOnceMore guards against a refusal that a faulty upstream writes a
// second time on a kept connection. A request that the upstream runs would be
// reported as not run, and possibly run at a second upstream.
func TestRefusalWrittenOnceMore(t *testing.T) {
	cases := []struct {
		name string
		// second is what the upstream writes on the second request of a connection.
		second string
		// ids holds the IDs of the two requests.
		ids  [2]string
		want string
		// connections is the number of connections that the requests may use.
		connections int
	}{
		{"to another request", refusalText("id_a") + responseText("id_b", "two"), [2]string{"id_a", "id_b"}, "two", 1},
		{"without an ID", refusalText("") + responseText("id_b", "two"), [2]string{"id_a", "id_b"}, "two", 1},
		{"to an earlier attempt of the same request", refusalText("id_a") + responseText("id_a", "two"), [2]string{"id_a", "id_a"}, "", 2},
		{"and nothing else", refusalText(""), [2]string{"id_a", "id_b"}, "error", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, refusalText("$ID"), c.second)
			p := NewPool(idField)
			if got, err := exchange(t.Context(), t, p, u, c.ids[0]); got != "" || err != nil {
				t.Fatalf("first request: got %q, %v, want the refusal", got, err)
			}
			got, err := exchange(t.Context(), t, p, u, c.ids[1])
			if err != nil {
				got = "error"
			}
			if got != c.want {
				t.Errorf("second request: got %q, %v, want %q", got, err, c.want)
			}
			if got := len(u.connections); got != c.connections {
				t.Errorf("connections: got %d, want %d", got, c.connections)
			}
		})
	}
}

// brokenUpstream writes a text on each connection once it has read a request, and
// closes the connection.
type brokenUpstream struct {
	listener net.Listener
	text     string
}

func newBrokenUpstream(t *testing.T, text string) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go (&brokenUpstream{listener: listener, text: text}).run()
	return listener.Addr().String()
}

func (u *brokenUpstream) run() {
	for {
		connection, err := u.listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		_, _ = connection.Write([]byte(u.text))
		_ = connection.Close()
	}
}

// faultTimeout is longer than any of the faulty answers takes.
const faultTimeout = 2 * time.Second

// deliverWithin delivers one order to the upstream at address, within timeout, and returns the
// delivery and what was written to the caller. The context is cancelled at the end of the test,
// not of the delivery: that would close a connection that the upstream has to lose without.
func deliverWithin(
	t *testing.T, timeout time.Duration, transport http.RoundTripper, address string,
) (bldeliver.Delivery, *countingWriter) {
	t.Helper()
	writer := &countingWriter{}
	a := &attempt{
		deliverer: &Deliverer{clock: bltimer.NewSystem(), protocol: NativeProtocol{}, transport: transport},
		order: bldeliver.Order{
			RequestID: "id", Request: blvalue.Request{Method: http.MethodGet}, URI: "/x", Header: map[string][]string{idField: {"id"}},
		},
		writer: writer,
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	delivery, _ := a.exchange(ctx, bldeliver.AcquireAnswer{Address: address})
	return delivery, writer
}

// TestHeadThatStopsInTheMiddle guards against an answer whose head an upstream did
// not complete before it closed the connection, and that reaches the caller as whole.
func TestHeadThatStopsInTheMiddle(t *testing.T) {
	heads := []struct{ name, text string }{
		{"with a length", "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 1234\r\nServer-Stamp: abc\r\n\r\n"},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"without a length", "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nServer-Stamp: abc\r\nConnection: close\r\n\r\n"},
		{"after an informational head", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: id\r\n\r\n"},
	}
	transports := []struct {
		name      string
		transport http.RoundTripper
	}{{"pool", NewPool(idField)}, {"transport", NewTransport()}}
	for _, head := range heads {
		for _, transport := range transports {
			t.Run(head.name+", "+transport.name, func(t *testing.T) {
				for length := range len(head.text) {
					delivery, writer := deliverWithin(t, faultTimeout, transport.transport, newBrokenUpstream(t, head.text[:length]))
					if delivery.Refusal == nil || delivery.Refusal.Outcome == blvalue.OutcomeNotRun || writer.status != 0 {
						t.Errorf("head of %d bytes %q: got refusal %+v, status %d, want an unknown outcome and no status",
							length, head.text[:length], delivery.Refusal, writer.status)
					}
				}
			})
		}
	}
}

// TestBodyThatStopsInTheMiddle checks that a body which an upstream did not complete
// is not reported as whole, wherever it stops.
func TestBodyThatStopsInTheMiddle(t *testing.T) {
	bodies := []struct{ name, head, body string }{
		{"with a length", "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 8\r\n\r\n", "complete"},
		{"chunked", "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\ncomplete\r\n0\r\n\r\n"},
	}
	for _, body := range bodies {
		t.Run(body.name, func(t *testing.T) {
			for length := range len(body.body) {
				delivery, writer := deliverWithin(t, faultTimeout, NewPool(idField), newBrokenUpstream(t, body.head+body.body[:length]))
				if delivery.Refusal == nil || writer.status != 0 {
					t.Errorf("body of %d bytes %q: got refusal %+v, status %d, want a refusal and no status",
						length, body.body[:length], delivery.Refusal, writer.status)
				}
			}
		})
	}
}
