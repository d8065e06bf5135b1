package blstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const dataChunk = 32 << 10

// serveInChunks writes a JSON string in chunks with a pause after each. It stops
// writing after stopAfter chunks without ending the response.
func serveInChunks(chunks, stopAfter int, pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, `"`)
		for i := range chunks {
			if i == stopAfter {
				<-r.Context().Done()
				return
			}
			_, _ = fmt.Fprint(w, strings.Repeat("x", dataChunk))
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			time.Sleep(pause)
		}
		_, _ = fmt.Fprint(w, `"`)
	}
}

// TestResponseTime guards against a fixed time for a whole response: a large one over
// a slow link never arrived, and each attempt cost as much as a successful one.
func TestResponseTime(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
		most    time.Duration
	}{
		{"slow but steady", serveInChunks(8, -1, 200*time.Millisecond), nil, 5 * time.Second},
		{"stops in the body", serveInChunks(8, 2, 0), StalledError{}, 2 * progressTimeout},
		{"no head", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, StalledError{}, 2 * progressTimeout},
		{"without end", serveInChunks(1<<20, -1, 0), TooLargeError{Limit: MaxResponseBytes}, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(c.handler)
			defer server.Close()
			transport := NewTransport(strings.TrimPrefix(server.URL, "http://"), eraHeader)
			startedAt := time.Now()
			var result string
			_, err := transport.Call(t.Context(), http.MethodGet, "/", nil, &result)
			if !errors.Is(err, c.want) {
				t.Errorf("error: got %v, want %v", err, c.want)
			}
			if elapsed := time.Since(startedAt); elapsed > c.most {
				t.Errorf("time: got %s, want at most %s", elapsed, c.most)
			}
		})
	}
}

// TestWatchMayWait checks that a watch may wait longer for its response than a read.
func TestWatchMayWait(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(progressTimeout + 200*time.Millisecond)
		_, _ = fmt.Fprint(w, `"changed"`)
	}))
	defer server.Close()
	transport := NewTransport(strings.TrimPrefix(server.URL, "http://"), eraHeader)
	var result string
	if _, err := transport.Watch(t.Context(), "/", MaxResponseBytes, &result); err != nil || result != "changed" {
		t.Errorf("Watch: got %q, %v, want changed", result, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := transport.Watch(ctx, "/", MaxResponseBytes, &result); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Watch: got %v, want deadline exceeded", err)
	}
}
