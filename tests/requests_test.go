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

// TestWithdrawnKeyIsRejected withdraws a key in live traffic and looks for how long
// it goes on working, at every node and on connections that stay open.
func TestWithdrawnKeyIsRejected(t *testing.T) {
	const target = 4 * time.Second
	f := deploy(t, potHosts(3, true), nil)
	f.roles()
	withdrawn := f.edited(func(d blconfig.Document) blconfig.Document {
		return set(d, "accounts", "thies_kiosk", "key_digests", list())
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
				answer, err := f.Call(host, http.MethodGet, "/pot/awa/total", f.Keys["thies_kiosk"], "")
				if err == nil && answer.Status == http.StatusOK {
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
	time.Sleep(target)
	close(stop)
	wg.Wait()
	for _, host := range f.Hosts {
		last, ok := lastOK[host.Spec.Name]
		if !ok {
			t.Errorf("%s: the key never worked, want it to work before", host.Spec.Name)
		}
		if last.After(inForce) {
			t.Errorf("%s: the key worked %v after the withdrawal was told in force, want not at all",
				host.Spec.Name, last.Sub(inForce))
		}
	}
	t.Logf("in force after %v", inForce.Sub(started))
}

// TestIsolatedNodeRejectsRequests freezes every other node, so that one hears
// no lead, and looks whether it refuses within its freshness bound.
func TestIsolatedNodeRejectsRequests(t *testing.T) {
	hosts := potHosts(3, true)
	hosts[2].Upstreams = append(hosts[2].Upstreams, blfleet.WishlistServer(1))
	f := deploy(t, hosts, nil)
	alone := f.Hosts[2]
	if answer, err := f.Call(alone, http.MethodGet, "/wishlist/x/page", f.Keys[account], ""); err != nil || answer.Status != http.StatusOK {
		t.Fatalf("call before the cut: got %d, %v, want 200", answer.Status, err)
	}
	for _, host := range f.Hosts[:2] {
		host.Node.Kill()
	}
	f.setPlatformFaults(map[string]any{"down": true})
	time.Sleep(3 * time.Second)
	answer, err := f.Call(alone, http.MethodGet, "/wishlist/x/page", f.Keys[account], "")
	if err != nil || answer.Status != http.StatusServiceUnavailable || answer.Outcome != "not_run" {
		t.Errorf("call after 3 s without a lead: got %d %s, %v, want 503 not_run", answer.Status, answer.Outcome, err)
	}
}

// TestClientKeyIsNotForwarded sends the client key in many places.
func TestClientKeyIsNotForwarded(t *testing.T) {
	f := deploy(t, potHosts(3, false), nil)
	key := f.Keys[account]
	cases := []struct {
		name   string
		header map[string]string
		path   string
		want   int
	}{
		{"as it should be", nil, "/pot/awa/total", http.StatusOK},
		{"once more in another field", map[string]string{"X-Api-Key": key}, "/pot/awa/total", http.StatusOK},
		{"within a cookie", map[string]string{"Cookie": "session=" + key}, "/pot/awa/total", http.StatusOK},
		{"in the URL", nil, "/pot/awa/total?key=" + key, http.StatusBadRequest},
		{"claiming an account", map[string]string{"Bergamotlead-Client-Account": "bookkeeping"}, "/pot/awa/total", http.StatusOK},
		{"claiming a fence", map[string]string{"Bergamotlead-Fence": "99.99"}, "/pot/awa/total", http.StatusOK},
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
			if err != nil || counts.KeysSeen != 0 {
				t.Errorf("keys seen by %s: got %d, %v, want 0", upstream.Spec.Name, counts.KeysSeen, err)
			}
			log, _ := f.WorkLog(upstream)
			for _, work := range log {
				if work.Account != account {
					t.Errorf("account of %s: got %s, want %s", work.Request, work.Account, account)
				}
			}
		}
	}
}

// TestOutcomeMatchesExecution brings an upstream's failures about and holds what the caller is
// told against the upstream's log.
func TestOutcomeMatchesExecution(t *testing.T) {
	f := deploy(t, potHosts(3, true), nil)
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
		{"breaks after it ran, not idempotent", map[string]any{"break_after_run": 1}, http.MethodPost, "contributions", http.StatusBadGateway, "unknown", [2]int{1, 1}, false},
		{"breaks after it ran, idempotent", map[string]any{"break_after_run": 1}, http.MethodGet, "total", http.StatusOK, "", [2]int{2, 2}, false},
		{"cut in the middle of a small answer, not idempotent", map[string]any{"cut_answers": 1}, http.MethodPost, "contributions", http.StatusBadGateway, "ran_partially_answered", [2]int{1, 1}, false},
		{"cut in the middle of a small answer, idempotent", map[string]any{"cut_answers": 1}, http.MethodGet, "total", http.StatusOK, "", [2]int{2, 2}, false},
		{"cut in the middle of a large answer, not idempotent", map[string]any{"cut_answers": 1, "answer_bytes": 1 << 20}, http.MethodPost, "contributions", 0, "", [2]int{1, 1}, true},
		{"cut in the middle of a large answer, idempotent", map[string]any{"cut_answers": 1, "answer_bytes": 1 << 20}, http.MethodGet, "total", 0, "", [2]int{1, 1}, true},
		{"a large answer", map[string]any{"answer_bytes": 1 << 20}, http.MethodPost, "contributions", http.StatusOK, "", [2]int{1, 1}, false},
		{"slower than the caller waits, not idempotent", map[string]any{"slow_factor": 400}, http.MethodPost, "contributions", http.StatusGatewayTimeout, "unknown", [2]int{0, 1}, false},
	}
	for _, host := range []*blfleet.Host{f.Hosts[0], other} {
		for _, c := range cases {
			t.Run(host.Spec.Name+" "+c.name, func(t *testing.T) {
				before := f.runs(owner)
				f.setUpstreamFaults(owner, c.faults)
				answer, err := f.callWithTimeout(host, c.method, "/pot/"+key+"/"+c.path, "500ms")
				f.setUpstreamFaults(owner, map[string]any{"slow_factor": 1, "break_after_run": 0, "cut_answers": 0, "answer_bytes": 0})
				time.Sleep(50 * time.Millisecond)
				runs := f.runs(owner) - before
				if c.broken != (err != nil) {
					t.Errorf("connection broken: got %v, want %t", err, c.broken)
				}
				if !c.broken && (answer.Status != c.status || answer.Outcome != c.outcome) {
					t.Errorf("answer: got %d %q, want %d %q", answer.Status, answer.Outcome, c.status, c.outcome)
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

// ownedBy returns the pot server of a host and a key that it owns.
func (f *fleet) ownedBy(host *blfleet.Host) (*blfleet.RunningUpstream, string) {
	f.t.Helper()
	upstream := host.Upstreams[0]
	for i := range 500 {
		key := fmt.Sprintf("search_%d", i)
		answer, err := f.Call(host, http.MethodGet, "/pot/"+key+"/total", f.Keys[account], "")
		if err == nil && answer.Upstream == upstream.Spec.Name {
			return upstream, key
		}
	}
	f.t.Fatalf("no key owned by %s found", upstream.Spec.Name)
	return nil, ""
}

// callWithTimeout sends a request that waits for the given time.
func (f *fleet) callWithTimeout(host *blfleet.Host, method, path, timeout string) (blfleet.Answer, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+host.CallerAddress+path, strings.NewReader("1"))
	if err != nil {
		return blfleet.Answer{}, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.Keys[account])
	request.Header.Set("Bergamotlead-Timeout", timeout)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return blfleet.Answer{}, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return blfleet.Answer{}, fmt.Errorf("read answer: %w", err)
	}
	return blfleet.Answer{Status: response.StatusCode, Outcome: response.Header.Get("Bergamotlead-Outcome")}, nil
}

// TestBadInput sends requests that can't be read.
func TestBadInput(t *testing.T) {
	f := deploy(t, potHosts(3, false), nil)
	raw := func(lines ...string) string { return strings.Join(lines, "\r\n") + "\r\n\r\n" }
	auth := "Authorization: Bearer " + f.Keys[account]
	cases := []struct {
		name, text string
		status     int
	}{
		{"no key in the path", raw("GET /pot HTTP/1.1", "Host: x", auth), 400},
		{"a key that is too long", raw("GET /pot/"+strings.Repeat("a", 600)+" HTTP/1.1", "Host: x", auth), 400},
		{"a bad escape", raw("GET /pot/%zz HTTP/1.1", "Host: x", auth), 400},
		{"a timeout that is none", raw("GET /pot/a/total HTTP/1.1", "Host: x", auth, "Bergamotlead-Timeout: soon"), 400},
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
				t.Fatalf("read answer: %v", err)
			}
			_ = response.Body.Close()
			if got := response.StatusCode; got != c.status {
				t.Errorf("status: got %d, want %d", got, c.status)
			}
		})
	}
}

// TestOversizedBodyDoesNotLowerUpstreamLimit sends a body of unknown length above
// the limit. The upstream's limit must not fall for it.
func TestOversizedBodyDoesNotLowerUpstreamLimit(t *testing.T) {
	f := deploy(t, potHosts(3, true), nil)
	owner, key := f.ownedBy(f.Hosts[0])
	f.flood(12, time.Second)
	before := f.limitOf(owner)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+f.Hosts[0].CallerAddress+"/pot/"+key+"/contributions", io.MultiReader(strings.NewReader(strings.Repeat("7", 3<<20))))
	if err != nil {
		t.Fatalf("build request: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.Keys[account])
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
		if got := response.StatusCode; got != http.StatusBadRequest {
			t.Errorf("status: got %d, want 400", got)
		}
	}
	if got := f.limitOf(owner); got < before {
		t.Errorf("limit of the upstream: got %d after %d, want no fall", got, before)
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

// TestLargeBodiesPass streams a body and an answer above every buffer.
func TestLargeBodiesPass(t *testing.T) {
	f := deploy(t, potHosts(3, true), nil)
	body := strings.Repeat("7", 900<<10)
	for i := range 12 {
		answer, err := f.Call(f.Hosts[i%3], http.MethodPost, fmt.Sprintf("/pot/large_%d/contributions", i), f.Keys[account], body)
		if err != nil || answer.Status != http.StatusOK {
			t.Errorf("call %d: got %d %s, %v, want 200", i, answer.Status, answer.Body, err)
		}
	}
}
