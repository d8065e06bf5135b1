package blserver

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// blockReading lets another goroutine read the body of a request until that fails.
func blockReading(r *http.Request) {
	reading := make(chan struct{})
	body := r.Body
	go func() {
		close(reading)
		_, _ = io.Copy(io.Discard, body)
	}()
	<-reading
}

// TestFinalAnswerDoesntWaitForTheBody guards against answers that are held back for as long
// as a client doesn't send the rest of its body: net/http reads it before it writes a head,
// and waits for whoever reads it.
func TestFinalAnswerDoesntWaitForTheBody(t *testing.T) {
	const pause = 50 * time.Millisecond
	start := strings.Repeat("7", 1000)
	bodies := map[string]string{
		"short":   "Content-Length: 300000\r\n\r\n" + start,
		"long":    "Content-Length: 3000000\r\n\r\n" + start,
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(start), start),
	}
	for name, body := range bodies {
		for _, reading := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, read %t", name, reading), func(t *testing.T) {
				address := startLimited(t, Limits{}, func(w http.ResponseWriter, r *http.Request) {
					LimitBody(r.Context(), time.Hour, 0)
					if reading {
						blockReading(r)
						time.Sleep(pause)
					}
					w.WriteHeader(http.StatusGatewayTimeout)
				})
				c := dialLimited(t, address)
				_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: site\r\n"+body)
				response, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Fatalf("response: got %v, want one", err)
				}
				_ = response.Body.Close()
				if got := response.StatusCode; got != http.StatusGatewayTimeout || !response.Close {
					t.Errorf("response: got %d, close %t, want %d, close true", got, response.Close, http.StatusGatewayTimeout)
				}
				if got, err := io.Copy(io.Discard, c.reader); got > 0 || err != nil {
					t.Errorf("connection after the response: got %d bytes, %v, want its end", got, err)
				}
			})
		}
	}
}

// TestAnswerBeforeTheBodyArrives guards against a reset by which a client that still sends
// its body loses the answer.
func TestAnswerBeforeTheBodyArrives(t *testing.T) {
	const bodyBytes = 8 << 20
	address := startLimited(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dialLimited(t, address)
	go func() {
		_, _ = io.WriteString(c, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: %d\r\n\r\n", bodyBytes))
		_, _ = io.WriteString(c, strings.Repeat("7", bodyBytes))
	}()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatalf("response: got %v, want one", err)
	}
	_ = response.Body.Close()
	if got := response.StatusCode; got != http.StatusServiceUnavailable {
		t.Errorf("response: got %d, want %d", got, http.StatusServiceUnavailable)
	}
}

// TestShortUnreadBodyKeepsTheConnection guards against a connection that ends for a body
// that has arrived and that no one wanted.
func TestShortUnreadBodyKeepsTheConnection(t *testing.T) {
	address := startLimited(t, Limits{}, answerPath)
	c := dialLimited(t, address)
	c.t = t
	for _, path := range []string{"/a", "/b"} {
		c.send("POST " + path + " HTTP/1.1\r\nHost: site\r\nContent-Length: 3\r\n\r\n777")
		c.want(path, false)
	}
}

// TestBodyMayStallAgain guards against a limit on stalls that ends a slow client: it begins
// anew whenever something arrives.
func TestBodyMayStallAgain(t *testing.T) {
	const (
		stall  = 200 * time.Millisecond
		pause  = stall / 2
		pieces = 6
	)
	got := make(chan error, 1)
	address := startLimited(t, Limits{}, func(_ http.ResponseWriter, r *http.Request) {
		LimitBody(r.Context(), time.Hour, stall)
		_, err := io.Copy(io.Discard, r.Body)
		got <- err
	})
	c := dialLimited(t, address)
	_, _ = io.WriteString(c, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: %d\r\n\r\n", pieces))
	for range pieces {
		time.Sleep(pause)
		_, _ = io.WriteString(c, "7")
	}
	if err := <-got; err != nil {
		t.Errorf("slow body: got %v, want nil", err)
	}
	c = dialLimited(t, address)
	_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: site\r\nContent-Length: 2\r\n\r\n7")
	if err := <-got; err == nil {
		t.Error("stalled body: got nil, want an error")
	}
}
