package blserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const testTimeout = 5 * time.Second

// site is a server under test. Its handler blocks on requests for /slow until
// release is closed.
type site struct {
	*Server

	t       *testing.T
	began   chan struct{}
	release chan struct{}
}

// ServeHTTP implements http.Handler.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		s.began <- struct{}{}
		<-s.release
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

func startSite(t *testing.T, wrap func(net.Listener) net.Listener) *site {
	t.Helper()
	s := &site{t: t, began: make(chan struct{}, 1), release: make(chan struct{})}
	served := s.serve(wrap, s)
	t.Cleanup(func() {
		s.stop()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s
}

// serve serves a handler on loopback. The result of Serve arrives on the channel.
func (s *site) serve(wrap func(net.Listener) net.Listener, handler http.Handler) <-chan error {
	s.t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(s.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatalf("listen: %v", err)
	}
	s.Server = New(wrap(listener), &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	return served
}

func unwrapped(l net.Listener) net.Listener { return l }

// stop stops the server and reports how long that took.
func (s *site) stop() time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	startedAt := time.Now()
	if err := s.Stop(ctx); err != nil {
		s.t.Errorf("stop: got %v, want none", err)
	}
	return time.Since(startedAt)
}

// caller is a connection to the server under test.
type caller struct {
	net.Conn

	t      *testing.T
	reader *bufio.Reader
}

func (s *site) dial() caller {
	s.t.Helper()
	c, err := (&net.Dialer{Timeout: testTimeout}).DialContext(s.t.Context(), "tcp", s.listener.Addr().String())
	if err != nil {
		s.t.Fatalf("dial: %v", err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return caller{Conn: c, t: s.t, reader: bufio.NewReader(c)}
}

func (c caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatalf("send: %v", err)
	}
}

func get(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: site\r\n\r\n", path) }

// want reads a response and compares its body, and whether it ends the connection.
func (c caller) want(body string, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("response: got %v, want %q", err, body)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil || string(got) != body || response.Close != closes {
		c.t.Errorf("response: got %q, close %t, %v, want %q, close %t", got, response.Close, err, body, closes)
	}
}

// TestPipelinedRequestIsCutByStop guards against a stop that closes a connection as
// idle while a request runs that was read together with the one before it.
func TestPipelinedRequestIsCutByStop(t *testing.T) {
	s := startSite(t, unwrapped)
	c := s.dial()
	c.send(get("/first") + get("/slow"))
	c.want("/first", false)
	<-s.began
	s.Leave()
	stopped := make(chan time.Duration, 1)
	go func() { stopped <- s.stop() }()
	select {
	case <-stopped:
		t.Error("stop: got an end, want it to wait for the request that runs")
	case <-time.After(100 * time.Millisecond):
	}
	close(s.release)
	c.want("/slow", true)
	if got := s.Counts().Cut; got != 0 {
		t.Errorf("connections cut: got %d, want 0", got)
	}
}

// delayingListener delays what its connections have read until release is closed.
type delayingListener struct {
	net.Listener

	read    chan struct{}
	release chan struct{}
}

// Accept implements net.Listener.
func (d delayingListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	return delayingConnection{Conn: c, listener: d}, err
}

type delayingConnection struct {
	net.Conn

	listener delayingListener
}

// Read implements net.Conn.
func (d delayingConnection) Read(buffer []byte) (int, error) {
	count, err := d.Conn.Read(buffer)
	if count > 1 {
		d.listener.read <- struct{}{}
		<-d.listener.release
	}
	return count, err
}

// TestRequestReadDuringStopIsCut guards against a stop that closes a connection
// between the moment at which a request has been read from it and the moment at
// which the server knows of that.
func TestRequestReadDuringStopIsCut(t *testing.T) {
	delay := delayingListener{read: make(chan struct{}, 4), release: make(chan struct{})}
	s := startSite(t, func(l net.Listener) net.Listener {
		delay.Listener = l
		return delay
	})
	c := s.dial()
	c.send(get("/late"))
	<-delay.read
	s.Leave()
	stopped := make(chan time.Duration, 1)
	go func() { stopped <- s.stop() }()
	time.Sleep(50 * time.Millisecond)
	close(delay.release)
	c.want("/late", true)
	<-stopped
}

// TestKeptConnectionIsCutByLeaving guards against a server that closes its idle
// connections when it begins to leave: requests cross that close.
func TestKeptConnectionIsCutByLeaving(t *testing.T) {
	s := startSite(t, unwrapped)
	c := s.dial()
	c.send(get("/before"))
	c.want("/before", false)
	time.Sleep(20 * time.Millisecond)
	s.Leave()
	c.send(get("/after"))
	c.want("/after", true)
	if got := s.Counts().Late; got != 1 {
		t.Errorf("requests since leaving: got %d, want 1", got)
	}
}

// TestStopWaitsForIdleConnections guards against a stop that takes longer because of
// connections without a request: kept ones, ones without a byte, and ones with a part
// of a request.
func TestStopWaitsForIdleConnections(t *testing.T) {
	s := startSite(t, unwrapped)
	kept, silent, partial := s.dial(), s.dial(), s.dial()
	kept.send("POST /body HTTP/1.1\r\nHost: site\r\nContent-Length: 2\r\n\r\nok")
	kept.want("/body", false)
	partial.send("GET /part")
	time.Sleep(20 * time.Millisecond)
	s.Leave()
	if got, limit := s.stop(), time.Second; got > limit {
		t.Errorf("stop: got %v, want at most %v", got, limit)
	}
	for _, c := range []caller{kept, silent, partial} {
		if got, _ := io.ReadAll(c.reader); len(got) > 0 {
			t.Errorf("connection after the stop: got %q, want its end", got)
		}
	}
}

// TestRequestBehindClosingResponseIsCut guards against a leaving server that ends a
// connection with a response although a further request has been received on it.
func TestRequestBehindClosingResponseIsCut(t *testing.T) {
	cases := []struct {
		name string
		send []string
	}{
		{"in one segment", []string{get("/slow") + get("/next")}},
		{"while the first one runs", []string{get("/slow"), get("/next")}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, unwrapped)
			c := s.dial()
			c.send(tc.send[0])
			<-s.began
			for _, text := range tc.send[1:] {
				c.send(text)
			}
			time.Sleep(20 * time.Millisecond)
			s.Leave()
			close(s.release)
			c.want("/slow", false)
			c.want("/next", true)
		})
	}
}
