package blupstream

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blresponse"
	"bergamotlead/standin/blbroken"
)

// unframedHeads are heads of responses without a length.
var unframedHeads = map[string]string{
	"HTTP/1.1":          "HTTP/1.1 200 OK\r\n" + idField + ": $ID\r\n\r\n",
	"connection closes": "HTTP/1.1 200 OK\r\n" + idField + ": $ID\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + idField + ": $ID\r\n\r\n",
	"status 500":        "HTTP/1.1 500 Internal Server Error\r\n" + idField + ": $ID\r\n\r\n",
}

// sendUpload sends a request through transport and returns the body of its response.
func sendUpload(t *testing.T, transport http.RoundTripper, address string) (string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatalf("build request: %v", err)
	}
	request.Header.Set(idField, "id")
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatalf("send request: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestResetDuringUpload guards against a response without a length that passes for whole
// although its connection was reset. The system reports a reset once. If the writer of the
// request gets the report, the reader of the response sees an orderly end.
func TestResetDuringUpload(t *testing.T) {
	for name, newTransport := range bothTransports {
		for kind, head := range unframedHeads {
			for _, size := range []int{0, 10, 100_000} {
				t.Run(name+", "+kind+", "+strconv.Itoa(size)+" bytes", func(t *testing.T) {
					server := blbroken.Start(t, head+strings.Repeat("x", size), blbroken.EndReset)
					body, err := sendUpload(t, blbroken.NewWriterFirst(newTransport(), server), server.Address())
					if err == nil {
						t.Errorf("body: got %d bytes as a whole response, want an error", len(body))
					}
				})
			}
		}
	}
}

// TestResetDuringUploadIsNoAnswer guards against the same response where it reaches a caller,
// before anything has been passed on and after.
func TestResetDuringUploadIsNoAnswer(t *testing.T) {
	cases := []struct {
		name    string
		size    int
		outcome blvalue.Outcome
		started bool
	}{
		{"short response", 10, blvalue.OutcomeUnknown, false},
		{"long response", copyBytes + 1, blvalue.OutcomePartial, true},
	}
	for name, newTransport := range bothTransports {
		for _, c := range cases {
			t.Run(name+", "+c.name, func(t *testing.T) {
				server := blbroken.Start(t, unframedHeads["HTTP/1.1"]+strings.Repeat("x", c.size), blbroken.EndReset)
				delivery, _ := deliverWithin(t, 10*time.Second, blbroken.NewWriterFirst(newTransport(), server), server.Address())
				if delivery.Refusal == nil {
					t.Fatal("refusal: got none, want one")
				}
				if got, want := delivery.Refusal.Outcome, c.outcome; got != want {
					t.Errorf("outcome: got %s, want %s", got, want)
				}
				if got, want := delivery.Refusal.Reason, blvalue.ReasonUpstreamFailed; got != want {
					t.Errorf("reason: got %s, want %s", got, want)
				}
				if got, want := delivery.Fault, blvalue.FaultReset; got != want {
					t.Errorf("fault: got %q, want %q", got, want)
				}
				if got, want := delivery.Started, c.started; got != want {
					t.Errorf("started: got %v, want %v", got, want)
				}
			})
		}
	}
}

// TestOrderlyEndDuringUpload checks that a response without a length is whole if the server
// ends its side in order while the request is still being written, whatever becomes of the
// request.
func TestOrderlyEndDuringUpload(t *testing.T) {
	const size = 100_000
	for name, newTransport := range bothTransports {
		for kind, head := range unframedHeads {
			t.Run(name+", "+kind, func(t *testing.T) {
				server := blbroken.Start(t, head+strings.Repeat("x", size), blbroken.EndInOrder)
				server.End()
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address()+"/x", endlessBody{})
				if err != nil {
					t.Fatalf("build request: %v", err)
				}
				request.ContentLength = -1
				request.Header.Set(idField, "id")
				response, err := newTransport().RoundTrip(request)
				if err != nil {
					t.Fatalf("send request: %v", err)
				}
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				if len(body) != size || err != nil {
					t.Errorf("body: got %d bytes, %v, want %d bytes and no error", len(body), err, size)
				}
			})
		}
	}
}

// TestLostWriteLeavesResponse guards against a response that has arrived, and that is lost
// because the rest of the request met the reset of the connection.
func TestLostWriteLeavesResponse(t *testing.T) {
	// More than the reader of the connection buffers.
	whole := strings.Repeat("x", 20_000)
	server := blbroken.Start(t, "HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n"+whole, blbroken.EndReset)
	c, err := dial(t.Context(), server.Address())
	if err != nil {
		t.Fatalf("connect: %v", err)
	}
	defer c.close()
	if _, err := io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n"); err != nil {
		t.Fatalf("write head: %v", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatalf("read: %v", err)
	}
	server.End()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Address()+"/x", endlessBody{})
	if err != nil {
		t.Fatalf("build request: %v", err)
	}
	(&requestWriter{connection: c, request: request, done: make(chan error, 1)}).run()
	response, err := blresponse.ReadResponse(bufio.NewReader(c.reader), request)
	if err != nil {
		t.Fatalf("response: got %v, want it", err)
	}
	body, err := io.ReadAll(response.Body)
	if len(body) != len(whole) || err != nil {
		t.Errorf("body: got %d bytes, %v, want %d", len(body), err, len(whole))
	}
	_ = response.Body.Close()
}
