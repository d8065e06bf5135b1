package blupstream

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// TestPace checks that long responses are forwarded at the limited rate, and others at once.
func TestPace(t *testing.T) {
	now := bltimer.Instant(time.Minute)
	p, wait := newPace(-1).withForwarded(freeBytes, now)
	if wait != 0 {
		t.Errorf("wait after %d bytes: got %s, want 0", freeBytes, wait)
	}
	p, wait = p.withForwarded(pacedBytesPerSecond, now.Add(time.Second))
	if want := time.Second; wait != want {
		t.Errorf("wait after the bytes of one second more: got %s, want %s", wait, want)
	}
	p, wait = p.withForwarded(pacedBytesPerSecond, now.Add(2*time.Second))
	if want := time.Second; wait != want {
		t.Errorf("wait after those of another second: got %s, want %s", wait, want)
	}
	if _, wait = p.withForwarded(1, now.Add(3*time.Second)); wait != 0 {
		t.Errorf("wait once the rate is kept: got %s, want 0", wait)
	}
}

// TestLongResponseIsSlow guards against responses that have an end, and are held up by the
// limit for those that may have none.
func TestLongResponseIsSlow(t *testing.T) {
	cases := []struct {
		name   string
		length int64
		paced  bool
	}{
		{"length known", maxPlausibleBytes, false},
		{"length unknown", -1, true},
		{"length beyond belief", maxPlausibleBytes + 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, wait := newPace(c.length).withForwarded(maxPlausibleBytes, bltimer.Instant(time.Minute))
			if got := wait > 0; got != c.paced {
				t.Errorf("waits: got %t, want %t", got, c.paced)
			}
		})
	}
}

// TestEndlessBodyTakesProcessorTime guards against a node that forwards a body without
// end as fast as it arrives.
func TestEndlessBodyTakesProcessorTime(t *testing.T) {
	t.Parallel()
	const (
		deadline = time.Second
		// slack is what may be read while the deadline passes.
		slack = 4 << 20
		ok    = "HTTP/1.1 200 OK\r\n" + idField + ": $ID\r\n"
	)
	chunk := "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"
	cases := []struct{ name, start, more string }{
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat(chunk, 16)},
		{"no length", ok + "\r\n", strings.Repeat(chunk, 16)},
		{"length", ok + "Content-Length: 100000000000\r\n\r\n", strings.Repeat(chunk, 16)},
	}
	transports := map[string]http.RoundTripper{"pool": NewPool(idField), "transport": NewTransport()}
	for name, transport := range transports {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				t.Parallel()
				u := newEndlessUpstream(t, c.start, c.more, 0)
				delivery, writer := deliverWithin(t, deadline, transport, u.listener.Addr().String())
				if delivery.Refusal == nil || delivery.Refusal.Outcome != blvalue.OutcomePartial {
					t.Errorf("refusal: got %+v, want outcome %s", delivery.Refusal, blvalue.OutcomePartial)
				}
				if got, want := writer.bytes, freeBytes+pacedBytesPerSecond+slack; got > want {
					t.Errorf("bytes forwarded in %s: got %d, want at most %d", deadline, got, want)
				}
			})
		}
	}
}
