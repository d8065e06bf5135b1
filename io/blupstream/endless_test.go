package blupstream

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bergamotlead/core/blvalue"
)

// endlessUpstream answers each request with start and then with more, again and
// again, until the connection is closed.
type endlessUpstream struct {
	listener net.Listener
	start    string
	more     string
	// pause follows each write of more.
	pause time.Duration
	// written counts the bytes that were written, and closed receives a value when
	// the node has closed the connection.
	written atomic.Int64
	closed  chan struct{}
}

func newEndlessUpstream(t *testing.T, start, more string, pause time.Duration) *endlessUpstream {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	u := &endlessUpstream{listener: listener, start: start, more: more, pause: pause, closed: make(chan struct{}, 1)}
	t.Cleanup(func() { _ = listener.Close() })
	go u.run()
	return u
}

func (u *endlessUpstream) run() {
	connection, err := u.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	text := strings.ReplaceAll(u.start, "$ID", request.Header.Get(idField))
	for {
		count, err := connection.Write([]byte(text))
		u.written.Add(int64(count))
		if err != nil {
			u.closed <- struct{}{}
			return
		}
		text = u.more
		time.Sleep(u.pause)
	}
}

// countingWriter counts the bytes of a response.
type countingWriter struct {
	status int
	bytes  int
}

func (w *countingWriter) WriteHeader(status int, _ map[string][]string) error {
	w.status = status
	return nil
}

func (w *countingWriter) Write(body []byte) (int, error) {
	w.bytes += len(body)
	return len(body), nil
}

func (w *countingWriter) WriteTrailer(map[string][]string) error { return nil }

// TestEndlessBytesAreNoAnswer guards against bytes without end, in a head or a body,
// that keep a request, its connection and its slot until the request's deadline, or
// for longer, when it is clear before that no answer will come.
func TestEndlessBytesAreNoAnswer(t *testing.T) {
	t.Parallel()
	const (
		deadline = time.Second
		early    = 400 * time.Millisecond
		// slack is the time for the node to notice the deadline.
		slack = 300 * time.Millisecond
		// socketBytes is what may lie unread in the buffers of a connection.
		socketBytes = 8 << 20
		ok          = "HTTP/1.1 200 OK\r\n" + idField + ": $ID\r\n"
		rejected    = "HTTP/1.1 503 Service Unavailable\r\nBergamotlead-Not-Run: shed\r\n"
		other       = "HTTP/1.1 200 OK\r\n" + idField + ": another\r\n"
	)
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	cases := []struct {
		name    string
		start   string
		more    string
		pause   time.Duration
		within  time.Duration
		outcome blvalue.Outcome
	}{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 4096), 0, early, blvalue.OutcomeUnknown},
		{"no protocol at all", "", strings.Repeat("\x00", 4096), 0, early, blvalue.OutcomeUnknown},
		{"header fields", ok, strings.Repeat("X-Y: z\r\n", 512), 0, early, blvalue.OutcomeUnknown},
		{"one header field", ok + "X-Y: ", strings.Repeat("z", 4096), 0, early, blvalue.OutcomeUnknown},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", 0, early, blvalue.OutcomeUnknown},
		{"body of another response", other + "\r\n", chunk, 0, early, blvalue.OutcomeUnknown},
		{"chunks of another response", other + "Transfer-Encoding: chunked\r\n\r\n", chunk, 0, early, blvalue.OutcomeUnknown},
		{"responses to other requests", "", other + "Content-Length: 1\r\n\r\nx", 0, early, blvalue.OutcomeUnknown},
		{"slow body of another response", other + "\r\n", "x", 10 * time.Millisecond, early, blvalue.OutcomeUnknown},
		{"body of a rejection", rejected + "\r\n", chunk, 0, early, blvalue.OutcomeNotRun},
		{"slow body of a rejection", rejected + "\r\n", "x", 10 * time.Millisecond, early, blvalue.OutcomeNotRun},
		{"slow header", ok, "X-Y: z\r\n", 10 * time.Millisecond, deadline + slack, blvalue.OutcomeUnknown},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096), 0, early, blvalue.OutcomePartial},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-Y: z\r\n", 512), 0, early, blvalue.OutcomePartial},
		{"body", ok + "\r\n", chunk, 0, deadline + slack, blvalue.OutcomePartial},
		{"slow body", ok + "\r\n", "x", 10 * time.Millisecond, deadline + slack, blvalue.OutcomePartial},
	}
	transports := map[string]http.RoundTripper{"pool": NewPool(idField), "transport": NewTransport()}
	for name, transport := range transports {
		for _, c := range cases {
			if name == "transport" && strings.Contains(c.start+c.more, other) {
				// Only the pool matches responses to requests.
				continue
			}
			t.Run(name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				u := newEndlessUpstream(t, c.start, c.more, c.pause)
				startedAt := time.Now()
				delivery, writer := deliverWithin(t, deadline, transport, u.listener.Addr().String())
				if elapsed := time.Since(startedAt); elapsed > c.within {
					t.Errorf("time: got %s, want at most %s", elapsed, c.within)
				}
				if delivery.Refusal == nil || delivery.Refusal.Outcome != c.outcome {
					t.Errorf("refusal: got %+v, want outcome %s", delivery.Refusal, c.outcome)
				}
				select {
				case <-u.closed:
				case <-time.After(slack):
					t.Errorf("connection: got none closed within %s of the result, want it closed", slack)
				}
				if unread := u.written.Load() - int64(writer.bytes); unread > socketBytes {
					t.Errorf("bytes read but not passed on: got up to %d, want at most %d", unread, socketBytes)
				}
			})
		}
	}
}
