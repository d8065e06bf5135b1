package blserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blmemory"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/blbudget"
	"bergamotlead/io/blmetric"
)

// newBudget returns the budget of a process with the given memory.
func newBudget(memoryMB int) *blbudget.Budget {
	return blbudget.New(blmemory.NewLimits(memoryMB, 0), bltimer.NewSystem(), blmetric.New(), hclog.NewNullLogger())
}

// startLimited starts a site with limits.
func startLimited(t testing.TB, limits Limits, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	server := NewLimited(listener, &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout, IdleTimeout: testTimeout}, limits)
	go func() { _ = server.Serve() }()
	t.Cleanup(func() { _ = server.http.Close() })
	return listener.Addr().String()
}

func answerPath(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }

func dialLimited(t testing.TB, address string) caller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return caller{Conn: c, reader: bufio.NewReader(c)}
}

// head returns the start of a request with header lines of different names.
func head(lines int) string {
	var text strings.Builder
	text.WriteString("GET /x HTTP/1.1\r\nHost: site\r\n")
	for i := range lines {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// TestHeadsBeyondLimitsAreRefused guards against heads that fill the memory, and against
// limits that refuse a head of the platform.
func TestHeadsBeyondLimitsAreRefused(t *testing.T) {
	const smallMB = 1
	headLimits := func() HeadLimits { return HeadLimits{Bytes: 16 << 10} }
	longField := "A: " + strings.Repeat("v", 16_000) + "\r\n\r\n"
	cases := []struct {
		name     string
		memoryMB int
		text     string
		status   int
	}{
		{"ordinary", smallMB, head(10) + "\r\n", http.StatusOK},
		{"one long field", smallMB, head(1) + longField, http.StatusOK},
		{"as many lines as fit into 16 KB", 0, "GET /x HTTP/1.1\r\nHost: s\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n", http.StatusOK},
		{"too many bytes", 0, head(1) + "A: " + strings.Repeat("v", 24_000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"too many lines without an end", 0, head(1) + strings.Repeat("a:\n", MaxHeadLines), http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := startLimited(t, Limits{Budget: newBudget(c.memoryMB), Head: headLimits}, answerPath)
			client := dialLimited(t, address)
			go func() { _, _ = io.WriteString(client, c.text) }()
			response, err := http.ReadResponse(client.reader, nil)
			if err != nil {
				t.Fatalf("response: got %v, want status %d", err, c.status)
			}
			_ = response.Body.Close()
			if response.StatusCode != c.status {
				t.Errorf("status: got %d, want %d", response.StatusCode, c.status)
			}
		})
	}
}

// TestHeadWithoutMemoryIsRefused guards against a head that is read although there is no
// memory for it. The refusal says that the request hasn't run, so it must not run.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	budget := newBudget(1)
	limit := budget.View().Limits().RequestBytes - budget.View().Limits().MessageBytes
	other := budget.Open(blmemory.ListenerCallers, "other", func() { t.Error("other connection: got closed, want open") })
	other.Enter(blmemory.PhasePassed)
	if !other.Reserve(blmemory.KindBody, limit) {
		t.Fatal("reserve: got refused, want granted")
	}
	address := startLimited(t, Limits{Budget: budget}, func(http.ResponseWriter, *http.Request) { t.Error("request: got run, want refused") })
	client := dialLimited(t, address)
	_, _ = io.WriteString(client, head(1000)+"\r\n")
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatalf("response: got %v, want status 503", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("response: got %d, %v, want 503 with a time to come back", response.StatusCode, response.Header)
	}
}

// TestSharesOfRequestsAreReturned guards against shares that stay taken after requests,
// and against ordinary requests that take any.
func TestSharesOfRequestsAreReturned(t *testing.T) {
	budget := newBudget(0)
	during := make(chan int64, 1)
	address := startLimited(t, Limits{Budget: budget}, func(_ http.ResponseWriter, _ *http.Request) {
		during <- budget.View().Used(blmemory.KindHead)
	})
	client := dialLimited(t, address)
	for _, c := range []struct {
		lines int
		taken bool
	}{{10, false}, {1000, true}, {10, false}} {
		_, _ = io.WriteString(client, head(c.lines)+"\r\n")
		if got := <-during; got > 0 != c.taken {
			t.Errorf("share of a head of %d lines: got %d, want one %t", c.lines, got, c.taken)
		}
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil {
			t.Fatalf("response: %v", err)
		}
		_ = response.Body.Close()
	}
	_ = client.Close()
	for range 100 {
		if budget.View().Used(blmemory.KindConnection) == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	for kind := range blmemory.KindCount {
		if got := budget.View().Used(kind); got != 0 {
			t.Errorf("shares of %s: got %d, want 0", kind, got)
		}
	}
}

// TestLinesOfEarlierHeadsDontCount guards against a connection that is refused after many
// requests whose heads end without a carriage return.
func TestLinesOfEarlierHeadsDontCount(t *testing.T) {
	const lines, requests = 500, 2*MaxHeadLines/500 + 1
	client := dialLimited(t, startLimited(t, Limits{Budget: newBudget(0)}, answerPath))
	for i := range requests {
		_, _ = io.WriteString(client, strings.ReplaceAll(head(lines)+"\r\n", "\r", ""))
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Fatalf("status of request %d: got %d, want 200", i, response.StatusCode)
		}
	}
}

// TestTimesOfTheConfiguration guards against heads that arrive for longer than the
// configuration allows, and against idle connections that end before it does.
func TestTimesOfTheConfiguration(t *testing.T) {
	const headerTimeout, idleTimeout = 200 * time.Millisecond, 800 * time.Millisecond
	address := startLimited(t, Limits{Head: func() HeadLimits {
		return HeadLimits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}}, answerPath)
	t.Run("reuse within the idle time", func(t *testing.T) {
		client := dialLimited(t, address)
		client.t = t
		for range 3 {
			time.Sleep(idleTimeout * 3 / 4)
			client.send(get("/a"))
			client.want("/a", false)
		}
	})
	for name, text := range map[string]string{"new": "", "partial head": "GET /a HTTP/1.1\r\nA:", "idle": get("/a")} {
		t.Run(name, func(t *testing.T) {
			client := dialLimited(t, address)
			startedAt := time.Now()
			_, _ = io.WriteString(client, text)
			_, err := io.Copy(io.Discard, client.reader)
			if elapsed := time.Since(startedAt); err != nil || elapsed > testTimeout/2 {
				t.Errorf("end of the connection: got %v after %s, want one after at most %s", err, elapsed, idleTimeout)
			}
		})
	}
}

// BenchmarkOrdinaryRequest measures what the shares cost an ordinary request.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for name, limits := range map[string]Limits{"without": {}, "with": {Budget: newBudget(0)}} {
		b.Run(name, func(b *testing.B) {
			client := dialLimited(b, startLimited(b, limits, answerPath))
			_ = client.SetDeadline(time.Time{})
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(client, get("/a"))
				response, err := http.ReadResponse(client.reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
