package blupstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const idField = "Request-Id"

// rawUpstream is an upstream that writes the given texts as its responses, one for
// each request of a connection. An empty text closes the connection. It counts the
// connections.
type rawUpstream struct {
	listener    net.Listener
	responses   []string
	connections chan struct{}
}

func newRawUpstream(t *testing.T, responses ...string) *rawUpstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	u := &rawUpstream{listener: listener, responses: responses, connections: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = listener.Close() })
	go u.run()
	return u
}

func (u *rawUpstream) run() {
	for {
		connection, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.connections <- struct{}{}
		go u.serve(connection)
	}
}

func (u *rawUpstream) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for _, response := range u.responses {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if response == "" {
			return
		}
		response = strings.ReplaceAll(response, "$ID", request.Header.Get(idField))
		if _, err := connection.Write([]byte(response)); err != nil {
			return
		}
	}
	// Returning closes the connection, which ends a response without a length.
}

func exchange(ctx context.Context, t *testing.T, p *Pool, u *rawUpstream, id string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.listener.Addr().String()+"/x", nil)
	if err != nil {
		t.Fatalf("build request: %v", err)
	}
	request.Header.Set(idField, id)
	response, err := p.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idField + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestPoolReturnsNoResponseToAnotherRequest(t *testing.T) {
	cases := []struct {
		name      string
		responses []string
		// want holds the response bodies of two consecutive requests, or "error".
		want        []string
		connections int
	}{
		{"each request gets its own response", []string{responseText("$ID", "one"), responseText("$ID", "two")}, []string{"one", "two"}, 1},
		{"a late response to another request comes first",
			[]string{responseText("$ID", "one"), responseText("earlier", "bad") + responseText("$ID", "two")}, []string{"one", "two"}, 1},
		{"a second response follows the first", []string{responseText("$ID", "one") + responseText("$ID", "bad"), responseText("$ID", "two")},
			[]string{"one", "one"}, 2},
		{"bytes that are no response follow the first response", []string{responseText("$ID", "one") + "rubbish"}, []string{"one", "one"}, 2},
		{"the connection is closed after the response", []string{responseText("$ID", "one")}, []string{"one", "one"}, 2},
		{"the response is truncated", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}, []string{"error", "error"}, 2},
		{"no response", []string{""}, []string{"error", "error"}, 2},
		{"a response that ends with its connection", []string{"HTTP/1.1 200 OK\r\n\r\nopen"}, []string{"open", "open"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, c.responses...)
			p := NewPool(idField)
			for i, want := range c.want {
				// Unsolicited bytes and the end of the connection have to arrive before
				// the next request is sent.
				time.Sleep(20 * time.Millisecond)
				got, err := exchange(t.Context(), t, p, u, "id_"+string(rune('a'+i)))
				if err != nil {
					got = "error"
				}
				if got != want {
					t.Errorf("request %d: got %q, %v, want %q", i, got, err, want)
				}
			}
			if got := len(u.connections); got != c.connections {
				t.Errorf("connections: got %d, want %d", got, c.connections)
			}
		})
	}
}

func TestRoundTripEndsAtTheDeadline(t *testing.T) {
	u := newRawUpstream(t, "HTTP/1.1 100 Continue\r\n\r\n", responseText("$ID", "one"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := exchange(ctx, t, NewPool(idField), u, "id"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error: got %v, want deadline exceeded", err)
	}
}

func TestIdleTimeout(t *testing.T) {
	cases := []struct {
		field string
		want  time.Duration
	}{
		{"", defaultIdleTimeout},
		{"timeout=10", 10*time.Second - idleTimeoutMargin},
		{"max=5, Timeout=3", 3*time.Second - idleTimeoutMargin},
		{"timeout=0", 0},
		{"timeout=soon", defaultIdleTimeout},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			if got := idleTimeout(http.Header{"Keep-Alive": {c.field}}); got != c.want {
				t.Errorf("idle time: got %v, want %v", got, c.want)
			}
		})
	}
}
