package blhttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blmemory"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blbudget"
	"bergamotlead/io/blmetric"
	"bergamotlead/io/blserver"
)

// bodySite is a server with a budget whose handler reads the bodies of requests.
type bodySite struct {
	address string
	budget  *blbudget.Budget
}

// startBodySite starts a server that calls handle with the body of each request.
func startBodySite(t *testing.T, timeout time.Duration, handle func(Body, error)) bodySite {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	budget := blbudget.New(blmemory.NewLimits(0, 0), bltimer.NewSystem(), blmetric.New(), hclog.NewNullLogger())
	server := blserver.NewLimited(listener, &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			handle(ReadBody(r, Limits{BodyBytes: 8 << 20}, Call{Request: blvalue.Request{Timeout: timeout}}))
		}),
	}, blserver.Limits{Budget: budget})
	go func() { _ = server.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Stop(ctx)
	})
	return bodySite{address: "http://" + listener.Addr().String(), budget: budget}
}

// fill takes all memory for requests, so that buffered starts are given up.
func (s bodySite) fill(t *testing.T) {
	t.Helper()
	h := s.budget.Open(blmemory.ListenerCallers, "other", func() {})
	h.Enter(blmemory.PhasePassed)
	limits := s.budget.View().Limits()
	used := int64(0)
	for kind := blmemory.KindHead; kind < blmemory.KindCount; kind++ {
		used += s.budget.View().Used(kind)
	}
	if !h.Reserve(blmemory.KindHead, limits.RequestBytes-limits.MessageBytes-used) {
		t.Error("reserve: got refused, want granted")
	}
	h.Reserve(blmemory.KindHead, 1)
}

func (s bodySite) post(t *testing.T, body io.Reader) {
	t.Helper()
	response, err := http.Post(s.address, "text/plain", body)
	if err != nil {
		t.Fatalf("post: %v", err)
	}
	_ = response.Body.Close()
}

// TestStartsAreGivenUpUnderPressure guards against a second attempt with a body that is no
// longer there, and against a start that is dropped before it has been sent.
func TestStartsAreGivenUpUnderPressure(t *testing.T) {
	const size = 40 << 10
	want := strings.Repeat("7", size)
	var s bodySite
	s = startBodySite(t, time.Second, func(body Body, err error) {
		if err != nil || !body.replayable() {
			t.Errorf("body: got replayable %t, %v, want one that can be sent again", body.replayable(), err)
			return
		}
		first := body.reader()
		s.fill(t)
		if got, err := io.ReadAll(first); string(got) != want || err != nil {
			t.Errorf("body under pressure: got %d bytes, %v, want %d", len(got), err, size)
		}
		s.fill(t)
		if body.replayable() {
			t.Error("body after it was given up: got one that can be sent again, want none")
		}
	})
	s.post(t, strings.NewReader(want))
}

// TestKeptStartIsSentAgain guards against a start that is given up after it was decided to
// send it again.
func TestKeptStartIsSentAgain(t *testing.T) {
	want := strings.Repeat("7", 40<<10)
	var s bodySite
	s = startBodySite(t, time.Second, func(body Body, _ error) {
		_, _ = io.Copy(io.Discard, body.reader())
		if !body.replayable() {
			t.Error("body: got none that can be sent again, want one")
		}
		s.fill(t)
		if got, err := io.ReadAll(body.reader()); string(got) != want || err != nil {
			t.Errorf("second attempt: got %d bytes, %v, want %d", len(got), err, len(want))
		}
	})
	s.post(t, strings.NewReader(want))
}

// TestBodiesPassWithoutMemory guards against bodies that are refused or changed when no
// memory is left for their start: they are streamed.
func TestBodiesPassWithoutMemory(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 5 << 10, 64 << 10, 64<<10 + 1, 3 << 20} {
		for _, pressed := range []bool{false, true} {
			want := bytes.Repeat([]byte("7"), size)
			var s bodySite
			s = startBodySite(t, time.Second, func(body Body, err error) {
				got := []byte{}
				if reader := body.reader(); reader != nil {
					got, _ = io.ReadAll(reader)
				}
				if err != nil || !bytes.Equal(got, want) {
					t.Errorf("body of %d bytes, pressed %t: got %d bytes, %v", size, pressed, len(got), err)
				}
				if used := s.budget.View().Used(blmemory.KindStart); used > 0 && body.stream != nil {
					t.Errorf("share of a streamed start that has been read: got %d, want 0", used)
				}
			})
			if pressed {
				s.fill(t)
			}
			s.post(t, bytes.NewReader(want))
			s.post(t, struct{ io.Reader }{bytes.NewReader(want)})
		}
	}
}

// TestStalledBodyEnds guards against a client that stops sending and keeps what its request
// holds for as long as it likes.
func TestStalledBodyEnds(t *testing.T) {
	ended := make(chan error, 1)
	s := startBodySite(t, 100*time.Millisecond, func(_ Body, err error) { ended <- err })
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = writer.Write([]byte("7")) }()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, s.address, reader)
	request.RequestURI = ""
	go func() {
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("stalled body: got a body, want an error")
		}
	case <-time.After(5 * time.Second):
		t.Error("stalled body: got no end, want an error")
	}
}

// TestStalledStartEnds guards against a client that stops sending before its request can be
// passed on, and says that it waits long: the route's timeout ends that.
func TestStalledStartEnds(t *testing.T) {
	const routeTimeout = 50 * time.Millisecond
	ended := make(chan error, 1)
	limits := Limits{BodyBytes: 8 << 20, RouteTimeout: func(blvalue.Request, string) time.Duration { return routeTimeout }}
	listener := httptest.NewUnstartedServer(nil).Listener
	server := blserver.New(listener, &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := ReadBody(r, limits, Call{Request: blvalue.Request{Timeout: time.Hour}})
			ended <- err
		}),
	})
	go func() { _ = server.Serve() }()
	defer func() { _ = listener.Close() }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: 300000\r\n\r\n7")
	select {
	case err := <-ended:
		if !errors.Is(err, StalledError{}) {
			t.Errorf("stalled start: got %v, want a StalledError", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("stalled start: got no end, want an error")
	}
}
