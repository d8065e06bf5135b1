package blhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blmetric"
	"bergamotlead/io/blserver"
	"bergamotlead/io/bltrace"
)

// startHandler serves a handler that admits all requests to a route with a timeout, and
// returns its address.
func startHandler(t *testing.T, timeout time.Duration, deliver Deliverer) string {
	t.Helper()
	return startHandlerFor(t, blroute.Answer{
		Route: blconfig.Route{Name: "contribute", Timeout: timeout}, Target: blroute.Target{Upstream: "pot_1", Service: "pot"},
	}, deliver)
}

// startHandlerFor serves a handler that admits all requests with the given answer, and
// returns its address. Further attempts get another upstream.
func startHandlerFor(t *testing.T, answer blroute.Answer, deliver Deliverer) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	admit := func(m bladmit.Message) error {
		m.(bladmit.Admit).Reply.Put(answer)
		return nil
	}
	other := answer
	other.Target.Upstream = "pot_2"
	route := func(m blroute.Message) error {
		if find, ok := m.(blroute.Find); ok {
			find.Reply.Put(other)
		}
		return nil
	}
	tracer, err := bltrace.New(t.Context(), "host_1", bltrace.Target{})
	if err != nil {
		t.Fatalf("tracer: %v", err)
	}
	handler := New(NativeProtocol{}, admit, route, deliver, func() Limits { return Limits{BodyBytes: 1 << 20, Timeout: time.Minute} },
		&Stages{}, blserver.NewEnding(), tracer, blmetric.New(), hclog.NewNullLogger())
	server := blserver.New(listener, &http.Server{Handler: handler, ReadHeaderTimeout: time.Second})
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestUnreadResponseEndsWithItsRoute guards against callers that don't read a response and
// say that they wait long: each held a slot of an upstream for that time.
func TestUnreadResponseEndsWithItsRoute(t *testing.T) {
	const (
		routeTimeout = 50 * time.Millisecond
		wait         = 10 * time.Second
	)
	ended := make(chan error, 1)
	address := startHandler(t, routeTimeout, func(_ context.Context, _ bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
		err := writer.WriteHeader(http.StatusOK, map[string][]string{"Content-Type": {"text/plain"}})
		for chunk := make([]byte, 1<<20); err == nil; {
			_, err = writer.Write(chunk)
		}
		ended <- err
		return bldeliver.Delivery{Refusal: &blvalue.Refusal{Outcome: blvalue.OutcomePartial, Reason: blvalue.ReasonCancelled}, Started: true}
	})
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "GET /pot/a/total HTTP/1.1\r\nHost: pots\r\nBergamotlead-Timeout: 5m\r\n\r\n")
	select {
	case err := <-ended:
		if err == nil {
			t.Error("response that isn't read: got all of it written, want an error")
		}
	case <-time.After(wait):
		t.Error("response that isn't read: got no end of its writes, want one")
	}
}
