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

// rawUpstream answers on each connection with the given texts in turn, one for
// each request. An empty text closes the connection. It counts connections.
type rawUpstream struct {
	listener    net.Listener
	answers     []string
	connections chan struct{}
}

func newRawUpstream(t *testing.T, answers ...string) *rawUpstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	u := &rawUpstream{listener: listener, answers: answers, connections: make(chan struct{}, 16)}
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
		go u.loop(connection)
	}
}

func (u *rawUpstream) loop(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for _, answer := range u.answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if answer == "" {
			return
		}
		answer = strings.ReplaceAll(answer, "$ID", request.Header.Get(idField))
		if _, err := connection.Write([]byte(answer)); err != nil {
			return
		}
	}
	// An answer without length ends with its connection.
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

func answerText(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idField + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestPoolTakesNoAnswerOfAnotherRequest(t *testing.T) {
	cases := []struct {
		name    string
		answers []string
		// want holds the bodies of two requests in a row, or "error".
		want        []string
		connections int
	}{
		{"each gets its own", []string{answerText("$ID", "one"), answerText("$ID", "two")}, []string{"one", "two"}, 1},
		{"a late answer to another request comes first",
			[]string{answerText("$ID", "one"), answerText("earlier", "bad") + answerText("$ID", "two")}, []string{"one", "two"}, 1},
		{"a second answer after the first", []string{answerText("$ID", "one") + answerText("$ID", "bad"), answerText("$ID", "two")},
			[]string{"one", "one"}, 2},
		{"bytes that are no answer after the first", []string{answerText("$ID", "one") + "rubbish"}, []string{"one", "one"}, 2},
		{"the connection ends after the answer", []string{answerText("$ID", "one")}, []string{"one", "one"}, 2},
		{"the answer breaks off", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}, []string{"error", "error"}, 2},
		{"no answer", []string{""}, []string{"error", "error"}, 2},
		{"an answer that ends with its connection", []string{"HTTP/1.1 200 OK\r\n\r\nopen"}, []string{"open", "open"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, c.answers...)
			p := NewPool(idField)
			for i, want := range c.want {
				// What comes unasked or ends has to have come before the next request.
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

func TestPoolEndsWithItsRequest(t *testing.T) {
	u := newRawUpstream(t, "HTTP/1.1 100 Continue\r\n\r\n", answerText("$ID", "one"))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := exchange(ctx, t, NewPool(idField), u, "id"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error: got %v, want the deadline", err)
	}
}

func TestIdleTime(t *testing.T) {
	cases := []struct {
		field string
		want  time.Duration
	}{
		{"", defaultIdle},
		{"timeout=10", 10*time.Second - idleMargin},
		{"max=5, Timeout=3", 3*time.Second - idleMargin},
		{"timeout=0", 0},
		{"timeout=soon", defaultIdle},
	}
	for _, c := range cases {
		t.Run(c.field, func(t *testing.T) {
			if got := idleTime(http.Header{"Keep-Alive": {c.field}}); got != c.want {
				t.Errorf("idle time: got %v, want %v", got, c.want)
			}
		})
	}
}
