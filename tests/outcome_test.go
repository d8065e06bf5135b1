package bltests_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

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
