package bltests_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

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
