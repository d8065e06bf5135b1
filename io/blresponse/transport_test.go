package blresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/standin/blbroken"
)

func newTestTransport() *Transport {
	return NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return Dial(ctx, &net.Dialer{}, network, address)
		},
	})
}

// nextRequest sends a request when the connection of the one before it is idle.
type nextRequest struct {
	t         *testing.T
	transport *Transport
	address   string
	done      chan error
}

// sendRequest sends a request and returns the error of its response.
func sendRequest(ctx context.Context, t *testing.T, transport *Transport, address string) error {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/x", nil)
	if err != nil {
		t.Errorf("build request: %v", err)
		return err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err //nolint:wrapcheck // its kind is tested
}

func (n *nextRequest) run() { n.done <- sendRequest(n.t.Context(), n.t, n.transport, n.address) }

// onIdle starts the request and gives it time to get the idle connection.
func (n *nextRequest) onIdle(error) {
	go n.run()
	time.Sleep(50 * time.Millisecond)
}

// TestNextRequestWaitsForTheCheck guards against a request on a connection whose last
// response turns out to be broken: net/http's transport gives the connection to it before
// the head or the trailer of that response has been looked at.
func TestNextRequestWaitsForTheCheck(t *testing.T) {
	places := blbroken.WithInvalidLine("Bad Name: x", "", "two")
	for _, place := range []string{"head without body", "trailer"} {
		t.Run(place, func(t *testing.T) {
			server := blbroken.Start(t, places[place], blbroken.KeepOpen)
			transport := newTestTransport()
			next := &nextRequest{t: t, transport: transport, address: server.Address(), done: make(chan error, 1)}
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{PutIdleConn: next.onIdle})
			if got, want := FaultOf(sendRequest(ctx, t, transport, server.Address())), blvalue.FaultFieldName; got != want {
				t.Errorf("first response: got fault %q, want %q", got, want)
			}
			if got, want := FaultOf(<-next.done), blvalue.FaultFieldName; got != want {
				t.Errorf("second response: got fault %q, want %q", got, want)
			}
			if got, want := server.Requests(), []int{1, 1}; len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
				t.Errorf("requests by connection: got %v, want %v", got, want)
			}
		})
	}
}

// TestWholeResponsesShareAConnection checks that a connection is used again after a whole
// response, also if nobody closes the body of one that has none.
func TestWholeResponsesShareAConnection(t *testing.T) {
	server := blbroken.Start(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", blbroken.KeepOpen)
	transport := newTestTransport()
	for range 3 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address()+"/x", nil)
		if err != nil {
			t.Fatalf("build request: %v", err)
		}
		if _, err := transport.RoundTrip(request); err != nil { //nolint:bodyclose // there is no body
			t.Fatalf("response: got %v, want it", err)
		}
	}
	if got, want := server.Connections(), 1; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}
