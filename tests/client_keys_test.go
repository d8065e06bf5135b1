package bltests_test

import (
	"net/http"
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
