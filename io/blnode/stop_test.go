package blnode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blheader"
	"bergamotlead/io/blhttp"
	"bergamotlead/io/blsettings"
)

const stopTestTimeout = 10 * time.Second

// freeAddress returns a local address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startLoneNode starts a node without a store, a lead or a configuration.
func startLoneNode(t *testing.T) *Node {
	t.Helper()
	n := newLoneNode(t)
	if err := n.Start(t.Context()); err != nil {
		t.Fatalf("start: %v", err)
	}
	return n
}

// newLoneNode returns such a node that isn't running.
func newLoneNode(t *testing.T) *Node {
	t.Helper()
	settings := blsettings.Process{
		Host: "lone", Region: "west", Domain: "west_a", Store: freeAddress(t),
		CallerListen: freeAddress(t), NodeListen: freeAddress(t), UpstreamListen: freeAddress(t), OperatorListen: freeAddress(t),
	}
	clock := bltimer.NewSystem()
	n, err := New(t.Context(), settings, DefaultPlatform(settings, clock), clock, hclog.NewNullLogger())
	if err != nil {
		t.Fatalf("new node: %v", err)
	}
	return n
}

// startSlowRequest sends a request to the node whose body isn't complete, and waits
// until the node handles it.
func startSlowRequest(t *testing.T, n *Node) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{Timeout: stopTestTimeout}).DialContext(t.Context(), "tcp", n.settings.CallerListen)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(stopTestTimeout))
	if _, err := io.WriteString(c, "POST /pot/a HTTP/1.1\r\nHost: lone\r\nContent-Length: 2\r\n\r\no"); err != nil {
		t.Fatalf("send: %v", err)
	}
	for n.callerServer.Counts().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	return c
}

// TestListenersCloseBeforeWorkEnds guards against a stop that closes the listeners
// while requests are unanswered: upstreams' calls and announcements fail then.
func TestListenersCloseBeforeWorkEnds(t *testing.T) {
	n := startLoneNode(t)
	c := startSlowRequest(t, n)
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	time.Sleep(200 * time.Millisecond)
	for _, address := range []string{n.settings.CallerListen, n.settings.UpstreamListen, n.settings.OperatorListen} {
		other, err := (&net.Dialer{Timeout: stopTestTimeout}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Errorf("connection while a request is unanswered: got %v, want none", err)
			continue
		}
		_ = other.Close()
	}
	if _, err := io.WriteString(c, "k"); err != nil {
		t.Fatalf("send: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("response: got %v, want a refusal", err)
	}
	_ = response.Body.Close()
	if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want || !response.Close {
		t.Errorf("response: got %d, close %t, want %d, close true", got, response.Close, want)
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
}

// TestWaitingRequestGetsNoRefusalAtEnd guards against a stop that ends while a request
// waits on the node, without a refusal.
func TestWaitingRequestGetsNoRefusalAtEnd(t *testing.T) {
	const clientKey = "secret"
	n := startLoneNode(t)
	_ = n.duties.admit.Put(bladmit.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Accounts: map[blvalue.AccountName]blconfig.Account{"kiosk": {Name: "kiosk", Rate: 1, Burst: 1, AnyService: true}},
		Digests:  map[string]blvalue.AccountName{blhttp.KeyDigest(clientKey): "kiosk"},
		Routes:   []blconfig.Route{{Service: "pot", Method: http.MethodGet, Path: blconfig.AnyPath}},
		Timing:   blconfig.Timing{Freshness: time.Minute, LoanTTL: blconfig.DefaultLoanTTL, LoanLookahead: blconfig.DefaultLoanLookahead},
		Limits:   blconfig.Limits{ShutdownGrace: time.Second, BodyBytes: 1 << 10, RequestTimeout: stopTestTimeout},
	}}})
	_ = n.duties.admit.Put(bladmit.LeadResponded{SentAt: n.clock.Now()})
	c, err := (&net.Dialer{Timeout: stopTestTimeout}).DialContext(t.Context(), "tcp", n.settings.CallerListen)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /pot/a HTTP/1.1\r\nHost: lone\r\nAuthorization: Bearer "+clientKey+"\r\n\r\n"); err != nil {
		t.Fatalf("send: %v", err)
	}
	for n.stages.Counts().Admission == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := n.Stop(context.Background()); err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("response at the end of the stop: got %v, want a refusal", err)
	}
	_ = response.Body.Close()
	if got, want := response.Header.Get(blheader.Outcome), string(blvalue.OutcomeNotRun); got != want {
		t.Errorf("outcome: got %q, want %q", got, want)
	}
}

// TestKeylessRequestsProlongStop guards against a leaving node that admits callers'
// requests without a key as calls of its upstream when that runs nothing.
func TestKeylessRequestsProlongStop(t *testing.T) {
	n := startLoneNode(t)
	_ = n.duties.admit.Put(bladmit.ConfigChanged{Accepted: blconfig.Accepted{Revision: 1, Plan: blconfig.Plan{
		Accounts: map[blvalue.AccountName]blconfig.Account{"kiosk": {Name: "kiosk", Rate: 1, Burst: 1, AnyService: true}},
		Routes:   []blconfig.Route{{Service: "pot", Method: http.MethodGet, Path: blconfig.AnyPath, Open: true}},
		Timing:   blconfig.Timing{Freshness: time.Minute, LoanTTL: blconfig.DefaultLoanTTL, LoanLookahead: blconfig.DefaultLoanLookahead},
		Limits:   blconfig.Limits{ShutdownGrace: stopTestTimeout, BodyBytes: 1 << 10, RequestTimeout: stopTestTimeout},
	}}})
	_ = n.duties.admit.Put(bladmit.LeadResponded{SentAt: n.clock.Now()})
	slow := startSlowRequest(t, n)
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	const want = `"reason":"leaving"`
	body := ""
	for until := time.Now().Add(stopTestTimeout / 2); !strings.Contains(body, want) && time.Now().Before(until); {
		body = refusalOfKeylessRequest(t, n)
	}
	if !strings.Contains(body, want) {
		t.Errorf("response: got %s, want %s", body, want)
	}
	delivery := n.Deliver(t.Context(), bldeliver.Order{Target: blroute.Target{Upstream: "pot_1"}, Timeout: time.Second}, nil)
	if got, want := delivery.Refusal.Reason, blvalue.ReasonLeaving; got != want || !delivery.Retryable {
		t.Errorf("order of another node: got %q, retryable %t, want %q, retryable true", got, delivery.Retryable, want)
	}
	_ = slow.Close()
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
}

func refusalOfKeylessRequest(t *testing.T, n *Node) string {
	t.Helper()
	c, err := (&net.Dialer{Timeout: stopTestTimeout}).DialContext(t.Context(), "tcp", n.settings.CallerListen)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /pot/a HTTP/1.1\r\nHost: lone\r\n\r\n"); err != nil {
		t.Fatalf("send: %v", err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("response: got %v, want a refusal", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("response: %v", err)
	}
	return string(body)
}

// TestRefusalOfLeavingCutsFurtherRequest guards against a refusal that ends a connection
// although a further request has been read from it.
func TestRefusalOfLeavingCutsFurtherRequest(t *testing.T) {
	n := startLoneNode(t)
	slow := startSlowRequest(t, n)
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop(context.Background()) }()
	for body := ""; !strings.Contains(body, `"reason":"leaving"`); {
		body = refusalOfKeylessRequest(t, n)
	}
	c, err := (&net.Dialer{Timeout: stopTestTimeout}).DialContext(t.Context(), "tcp", n.settings.CallerListen)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(stopTestTimeout))
	request := "GET /pot/a HTTP/1.1\r\nHost: lone\r\n\r\n"
	if _, err := io.WriteString(c, request+request); err != nil {
		t.Fatalf("send: %v", err)
	}
	reader := bufio.NewReader(c)
	for _, closes := range []bool{false, true} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response: got %v, want a refusal", err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.Close != closes {
			t.Errorf("response: got close %t, want %t", response.Close, closes)
		}
	}
	_ = slow.Close()
	if err := <-stopped; err != nil {
		t.Errorf("stop: got %v, want none", err)
	}
}
