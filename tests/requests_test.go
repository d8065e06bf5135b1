package bltests_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
)

// TestWithdrawnKeyIsRejected withdraws a client key under traffic. Once the
// change is reported in force, no node may accept the key, also on connections
// that stay open.
func TestWithdrawnKeyIsRejected(t *testing.T) {
	const observeTime = 4 * time.Second
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	withdrawn := f.editedDocument(func(d blconfig.Document) blconfig.Document {
		return withValue(d, "accounts", "thies_kiosk", "key_digests", list())
	})
	stop := make(chan struct{})
	var mu sync.Mutex
	lastOK := map[string]time.Time{}
	var wg sync.WaitGroup
	for _, host := range f.Hosts {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				response, err := f.Call(host, http.MethodGet, "/pot/awa/total", f.ClientKeys["thies_kiosk"], "")
				if err == nil && response.Status == http.StatusOK {
					mu.Lock()
					lastOK[host.Spec.Name] = time.Now()
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	started := time.Now()
	f.apply(withdrawn)
	inForce := time.Now()
	time.Sleep(observeTime)
	close(stop)
	wg.Wait()
	for _, host := range f.Hosts {
		last, ok := lastOK[host.Spec.Name]
		if !ok {
			t.Errorf("%s: the key was never accepted, want it accepted before the withdrawal", host.Spec.Name)
		}
		if last.After(inForce) {
			t.Errorf("%s: the key was accepted %v after the withdrawal was reported in force, want it rejected",
				host.Spec.Name, last.Sub(inForce))
		}
	}
	t.Logf("in force after %v", inForce.Sub(started))
}

// TestIsolatedNodeRejectsRequests kills every other node and stops the store, so
// that the remaining node has no contact with a lead. It must refuse requests once
// its configuration is older than the freshness bound, because it can't learn of
// client keys withdrawn since.
func TestIsolatedNodeRejectsRequests(t *testing.T) {
	hosts := blfleet.PotHosts(3, true)
	hosts[2].Upstreams = append(hosts[2].Upstreams, blfleet.WishlistServer(1))
	f := deploy(t, hosts, nil)
	isolated := f.Hosts[2]
	if response, err := f.Call(isolated, http.MethodGet, "/wishlist/x/page", f.ClientKeys[account], ""); err != nil || response.Status != http.StatusOK {
		t.Fatalf("call before the isolation: got %d, %v, want 200", response.Status, err)
	}
	for _, host := range f.Hosts[:2] {
		host.Node.Kill()
	}
	f.setPlatformFaults(map[string]any{"down": true})
	time.Sleep(3 * time.Second)
	response, err := f.Call(isolated, http.MethodGet, "/wishlist/x/page", f.ClientKeys[account], "")
	if err != nil || response.Status != http.StatusServiceUnavailable || response.Outcome != "not_run" {
		t.Errorf("call after 3 s without a lead: got %d %s, %v, want 503 not_run", response.Status, response.Outcome, err)
	}
}

// TestClientKeyIsNotForwarded sends the client key in several places of the
// request, and forged internal headers. No upstream may receive the key, and the
// account must be that of the key.
func TestClientKeyIsNotForwarded(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, false), nil)
	key := f.ClientKeys[account]
	cases := []struct {
		name   string
		header map[string]string
		path   string
		want   int
	}{
		{"in the Authorization header only", nil, "/pot/awa/total", http.StatusOK},
		{"also in another header", map[string]string{"X-Api-Key": key}, "/pot/awa/total", http.StatusOK},
		{"also in a cookie", map[string]string{"Cookie": "session=" + key}, "/pot/awa/total", http.StatusOK},
		{"also in the URL", nil, "/pot/awa/total?key=" + key, http.StatusBadRequest},
		{"forged account header", map[string]string{"Bergamotlead-Client-Account": "bookkeeping"}, "/pot/awa/total", http.StatusOK},
		{"forged fence header", map[string]string{"Bergamotlead-Fence": "99.99"}, "/pot/awa/total", http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.Hosts[0].CallerAddress+c.path, nil)
			if err != nil {
				t.Fatalf("build request: %v", err)
			}
			request.Header.Set("Authorization", "Bearer "+key)
			for name, value := range c.header {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatalf("call: %v", err)
			}
			_ = response.Body.Close()
			if got := response.StatusCode; got != c.want {
				t.Errorf("status: got %d, want %d", got, c.want)
			}
		})
	}
	for _, host := range f.Hosts {
		for _, upstream := range host.Upstreams {
			counts, err := f.Counts(upstream)
			if err != nil || counts.ClientKeysSeen != 0 {
				t.Errorf("client keys received by %s: got %d, %v, want 0", upstream.Spec.Name, counts.ClientKeysSeen, err)
			}
			log, _ := f.WorkLog(upstream)
			for _, work := range log {
				if work.Account != account {
					t.Errorf("account of %s: got %s, want %s", work.RequestID, work.Account, account)
				}
			}
		}
	}
}

// TestOutcomeMatchesExecution injects upstream failures and compares the outcome
// reported to the caller with the number of times the upstream ran the request.
func TestOutcomeMatchesExecution(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	owner, key := f.ownedBy(f.Hosts[0])
	other := f.Hosts[1]
	cases := []struct {
		name    string
		faults  map[string]any
		method  string
		path    string
		status  int
		outcome string
		runs    [2]int
		broken  bool
	}{
		{"connection closed after execution, not idempotent", map[string]any{"break_after_run": 1}, http.MethodPost, "contributions", http.StatusBadGateway, "unknown", [2]int{1, 1}, false},
		{"connection closed after execution, idempotent", map[string]any{"break_after_run": 1}, http.MethodGet, "total", http.StatusOK, "", [2]int{2, 2}, false},
		{"small response truncated, not idempotent", map[string]any{"cut_answers": 1}, http.MethodPost, "contributions", http.StatusBadGateway, "ran_partially_answered", [2]int{1, 1}, false},
		{"small response truncated, idempotent", map[string]any{"cut_answers": 1}, http.MethodGet, "total", http.StatusOK, "", [2]int{2, 2}, false},
		{"large response truncated, not idempotent", map[string]any{"cut_answers": 1, "answer_bytes": 1 << 20}, http.MethodPost, "contributions", 0, "", [2]int{1, 1}, true},
		{"large response truncated, idempotent", map[string]any{"cut_answers": 1, "answer_bytes": 1 << 20}, http.MethodGet, "total", 0, "", [2]int{1, 1}, true},
		{"complete large response", map[string]any{"answer_bytes": 1 << 20}, http.MethodPost, "contributions", http.StatusOK, "", [2]int{1, 1}, false},
		{"slower than the request's timeout, not idempotent", map[string]any{"slow_factor": 400}, http.MethodPost, "contributions", http.StatusGatewayTimeout, "unknown", [2]int{0, 1}, false},
	}
	for _, host := range []*blfleet.Host{f.Hosts[0], other} {
		for _, c := range cases {
			t.Run(host.Spec.Name+" "+c.name, func(t *testing.T) {
				before := f.runs(owner)
				f.setUpstreamFaults(owner, c.faults)
				response, err := f.callWithTimeout(host, c.method, "/pot/"+key+"/"+c.path, "500ms")
				f.setUpstreamFaults(owner, map[string]any{"slow_factor": 1, "break_after_run": 0, "cut_answers": 0, "answer_bytes": 0})
				time.Sleep(50 * time.Millisecond)
				runs := f.runs(owner) - before
				if c.broken != (err != nil) {
					t.Errorf("connection broken: got %v, want %t", err, c.broken)
				}
				if !c.broken && (response.Status != c.status || response.Outcome != c.outcome) {
					t.Errorf("response: got %d %q, want %d %q", response.Status, response.Outcome, c.status, c.outcome)
				}
				if runs < c.runs[0] || runs > c.runs[1] {
					t.Errorf("runs: got %d, want %d to %d", runs, c.runs[0], c.runs[1])
				}
			})
		}
	}
}

func (f *fleet) setUpstreamFaults(upstream *blfleet.RunningUpstream, faults map[string]any) {
	f.t.Helper()
	if err := f.SetUpstreamFaults(upstream, faults); err != nil {
		f.t.Fatalf("set faults of %s: %v", upstream.Spec.Name, err)
	}
}

func (f *fleet) runs(upstream *blfleet.RunningUpstream) int {
	f.t.Helper()
	counts, err := f.Counts(upstream)
	if err != nil {
		f.t.Fatalf("read counts: %v", err)
	}
	return counts.Runs
}

// ownedBy returns a host's pot server and a key that it owns.
func (f *fleet) ownedBy(host *blfleet.Host) (*blfleet.RunningUpstream, string) {
	f.t.Helper()
	upstream := host.Upstreams[0]
	for i := range 500 {
		key := fmt.Sprintf("search_%d", i)
		response, err := f.Call(host, http.MethodGet, "/pot/"+key+"/total", f.ClientKeys[account], "")
		if err == nil && response.Upstream == upstream.Spec.Name {
			return upstream, key
		}
	}
	f.t.Fatalf("no key owned by %s found", upstream.Spec.Name)
	return nil, ""
}

// callWithTimeout sends a request with the given Bergamotlead-Timeout.
func (f *fleet) callWithTimeout(host *blfleet.Host, method, path, timeout string) (blfleet.Response, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+host.CallerAddress+path, strings.NewReader("1"))
	if err != nil {
		return blfleet.Response{}, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.ClientKeys[account])
	request.Header.Set("Bergamotlead-Timeout", timeout)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return blfleet.Response{}, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return blfleet.Response{}, fmt.Errorf("read response: %w", err)
	}
	return blfleet.Response{Status: response.StatusCode, Outcome: response.Header.Get("Bergamotlead-Outcome")}, nil
}

// TestBadInput sends malformed requests and requests that must be rejected.
func TestBadInput(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, false), nil)
	raw := func(lines ...string) string { return strings.Join(lines, "\r\n") + "\r\n\r\n" }
	auth := "Authorization: Bearer " + f.ClientKeys[account]
	cases := []struct {
		name, text string
		status     int
	}{
		{"no key in the path", raw("GET /pot HTTP/1.1", "Host: x", auth), 400},
		{"a key that is too long", raw("GET /pot/"+strings.Repeat("a", 600)+" HTTP/1.1", "Host: x", auth), 400},
		{"a bad escape", raw("GET /pot/%zz HTTP/1.1", "Host: x", auth), 400},
		{"an invalid timeout", raw("GET /pot/a/total HTTP/1.1", "Host: x", auth, "Bergamotlead-Timeout: soon"), 400},
		{"a body above the limit", raw("POST /pot/a/contributions HTTP/1.1", "Host: x", auth, "Content-Length: 99999999"), 400},
		{"headers above the limit", raw("GET /pot/a/total HTTP/1.1", "Host: x", auth, "X: "+strings.Repeat("a", 1<<18)), 431},
		{"no such service", raw("GET /nothing/a HTTP/1.1", "Host: x", auth), 404},
		{"no such method", raw("BREW /pot/a/total HTTP/1.1", "Host: x", auth), 404},
		{"no client key", raw("GET /pot/a/total HTTP/1.1", "Host: x"), 401},
		{"two client keys", raw("GET /pot/a/total HTTP/1.1", "Host: x", auth, auth), 401},
		{"not HTTP", raw("hello"), 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			connection, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.Hosts[0].CallerAddress)
			if err != nil {
				t.Fatalf("dial: %v", err)
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(connection, c.text)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatalf("read response: %v", err)
			}
			_ = response.Body.Close()
			if got := response.StatusCode; got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
		})
	}
}

// TestOversizedBodyDoesNotLowerUpstreamLimit sends a body of unknown length that
// exceeds the size limit. The caller is at fault, so the upstream's concurrency
// limit must not decrease.
func TestOversizedBodyDoesNotLowerUpstreamLimit(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	owner, key := f.ownedBy(f.Hosts[0])
	f.flood(12, time.Second)
	before := f.limitOf(owner)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+f.Hosts[0].CallerAddress+"/pot/"+key+"/contributions", io.MultiReader(strings.NewReader(strings.Repeat("7", 3<<20))))
	if err != nil {
		t.Fatalf("build request: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.ClientKeys[account])
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
		if got := response.StatusCode; got != http.StatusBadRequest {
			t.Errorf("status: got %d, want 400", got)
		}
	}
	if got := f.limitOf(owner); got < before {
		t.Errorf("limit of the upstream: got %d after %d, want no decrease", got, before)
	}
}

func (f *fleet) limitOf(upstream *blfleet.RunningUpstream) int {
	f.t.Helper()
	for _, host := range f.Hosts {
		status, err := f.Status(host)
		if err != nil {
			f.t.Fatalf("status of %s: %v", host.Spec.Name, err)
		}
		for _, u := range status.Upstreams {
			if string(u.Name) == upstream.Spec.Name {
				return u.Limit
			}
		}
	}
	return 0
}

// TestLargeBodiesPass sends bodies that are larger than every buffer on the path.
func TestLargeBodiesPass(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	body := strings.Repeat("7", 900<<10)
	for i := range 12 {
		response, err := f.Call(f.Hosts[i%3], http.MethodPost, fmt.Sprintf("/pot/large_%d/contributions", i), f.ClientKeys[account], body)
		if err != nil || response.Status != http.StatusOK {
			t.Errorf("call %d: got %d %s, %v, want 200", i, response.Status, response.Body, err)
		}
	}
}
