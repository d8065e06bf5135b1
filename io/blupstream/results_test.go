package blupstream

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/bltrace"
)

// deliveryDuty answers the messages of deliveries in place of the delivery duty.
type deliveryDuty struct {
	address  string
	released []bldeliver.Release
}

func (d *deliveryDuty) put(message bldeliver.Message) error {
	switch m := message.(type) {
	case bldeliver.Acquire:
		m.Reply.Put(bldeliver.AcquireAnswer{Address: d.address})
	case bldeliver.Release:
		d.released = append(d.released, m)
	}
	return nil
}

// newSilentUpstream returns the address of an upstream that accepts connections and
// answers nothing.
func newSilentUpstream(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestReportedResults guards against results by which a good version looks bad, such as
// requests that callers cancel, or a bad one good, such as answers that are lost.
func TestReportedResults(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
	cases := []struct {
		name    string
		address func(t *testing.T) string
		// timeout is the time that the caller gives, and cancelAfter when it goes away.
		timeout, cancelAfter time.Duration
		serverError, lost    bool
	}{
		{"answered", func(t *testing.T) string { t.Helper(); return newBrokenUpstream(t, ok+"yes") }, faultTimeout, faultTimeout, false, false},
		{"status 500", func(t *testing.T) string {
			t.Helper()
			return newBrokenUpstream(t, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}, faultTimeout, faultTimeout, true, false},
		{"rejected", func(t *testing.T) string {
			t.Helper()
			return newBrokenUpstream(t, "HTTP/1.1 503 Service Unavailable\r\nBergamotlead-Not-Run: shed\r\nContent-Length: 0\r\n\r\n")
		}, faultTimeout, faultTimeout, false, false},
		{"no answer", func(t *testing.T) string { t.Helper(); return newBrokenUpstream(t, "") }, faultTimeout, faultTimeout, false, true},
		{"cut short", func(t *testing.T) string { t.Helper(); return newBrokenUpstream(t, ok+"y") }, faultTimeout, faultTimeout, false, true},
		{"no connection", func(*testing.T) string { return "127.0.0.1:1" }, faultTimeout, faultTimeout, false, false},
		{"too late", newSilentUpstream, 50 * time.Millisecond, 150 * time.Millisecond, false, true},
		{"cancelled", newSilentUpstream, faultTimeout, 50 * time.Millisecond, false, false},
	}
	tracer, err := bltrace.New(t.Context(), "host", bltrace.Target{})
	if err != nil {
		t.Fatalf("tracer: %v", err)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			duty := &deliveryDuty{address: c.address(t)}
			deliverer := New(Duties{Deliver: duty.put}, NewTransport(), NativeProtocol{}, bltimer.NewSystem(), tracer, func(Failure) {})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			timer := time.AfterFunc(c.cancelAfter, cancel)
			defer timer.Stop()
			deliverer.Deliver(ctx, bldeliver.Order{
				Request: blvalue.Request{Method: http.MethodGet}, URI: "/x", Timeout: c.timeout,
			}, &countingWriter{})
			if len(duty.released) != 1 {
				t.Fatalf("releases: got %d, want 1", len(duty.released))
			}
			got := duty.released[0]
			if got.ServerError != c.serverError || got.Lost != c.lost {
				t.Errorf("result %s: got server error %t, lost %t, want %t, %t", got.Result, got.ServerError, got.Lost, c.serverError, c.lost)
			}
		})
	}
}
