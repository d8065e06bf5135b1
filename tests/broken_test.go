package bltests_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"bergamotlead/tools/blfleet"
)

// TestBrokenAnswersOfOneUpstream guards against broken answers of an upstream that reach
// callers of either host as answers, or as requests that have not run.
func TestBrokenAnswersOfOneUpstream(t *testing.T) {
	const uploads = 40
	f := deploy(t, blfleet.PotHosts(2, true), nil)
	owner := f.Hosts[0]
	upstream, key := f.ownedBy(owner)
	faults := map[string]string{"reset": "connection_reset", "status": "invalid_status", "field": "invalid_field_name"}
	for kind, fault := range faults {
		t.Run(kind, func(t *testing.T) {
			f.setUpstreamFaults(upstream, map[string]any{"broken": kind})
			defer f.setUpstreamFaults(upstream, map[string]any{"broken": ""})
			counts := map[string]int{}
			for i := range uploads {
				outcome, err := f.upload(f.Hosts[i%2], key)
				counts[outcome]++
				if err == nil && (outcome == "" || outcome == "not_run") {
					t.Errorf("upload: got outcome %q, want one that doesn't exclude that it ran", outcome)
				}
			}
			metric := `bergamotlead_broken_responses_total{source="upstream",fault="` + fault + `"}`
			if got := f.metrics(owner); !strings.Contains(got, metric) {
				t.Errorf("metrics: got none named %s", metric)
			}
			t.Logf("outcomes: %v", counts)
		})
	}
	if status, sent := f.awaitOrdinaryTo(f.Hosts[1], key); status != http.StatusOK {
		t.Errorf("request after the faults: got %d after %d attempts, want %d", status, sent, http.StatusOK)
	}
}

// upload sends a large request for a key. It returns the outcome that a refusal tells, and
// an error if there is no whole answer.
func (f *fleet) upload(host *blfleet.Host, key string) (string, error) {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost,
		"http://"+host.CallerAddress+"/pot/"+key+"/contributions", strings.NewReader(strings.Repeat("7", largeBodyBytes)))
	if err != nil {
		f.t.Fatalf("build request: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.ClientKeys[account])
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err //nolint:wrapcheck // only whether there is one matters
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.Header.Get("Bergamotlead-Outcome"), err //nolint:wrapcheck // as above
}

// metrics returns the metrics of a host.
func (f *fleet) metrics(host *blfleet.Host) string {
	response, err := http.Get("http://" + host.OperatorAddress + "/metrics")
	if err != nil {
		f.t.Fatalf("read metrics: %v", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatalf("read metrics: %v", err)
	}
	return string(text)
}
