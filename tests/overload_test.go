package bltests_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// flood sends contributions to 512 keys through all hosts, from the given number
// of concurrent callers.
func (f *fleet) flood(callers int, length time.Duration) {
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				path := fmt.Sprintf("/pot/flood_%d/contributions", (i*131+n)%512)
				_, _ = f.Call(f.Hosts[(i+n)%len(f.Hosts)], http.MethodPost, path, f.ClientKeys[account], "1")
			}
		})
	}
	wg.Wait()
}

// TestColdUpstreamIsProtected starts upstreams in cold start under full load,
// and then puts one into a cold start that it does not announce. Load shedding
// is off at the upstreams, so that they count every request sent to them.
func TestColdUpstreamIsProtected(t *testing.T) {
	hosts := blfleet.PotHosts(3, true)
	for i := range hosts {
		hosts[i].Upstreams[0].ColdFor = 4 * time.Second
		hosts[i].Upstreams[0].ServiceTime = 5 * time.Millisecond
	}
	f := deploy(t, hosts, nil)
	for _, host := range f.Hosts {
		f.setUpstreamFaults(host.Upstreams[0], map[string]any{"no_shed": true})
	}
	f.flood(24, 3*time.Second)
	f.checkCold("announced cold start")
	unannounced := f.Hosts[1].Upstreams[0]
	f.setUpstreamFaults(unannounced, map[string]any{"cold_ms": 2000, "hide_cold": true})
	f.flood(24, 1900*time.Millisecond)
	f.checkCold("unannounced cold start")
}

func (f *fleet) checkCold(phase string) {
	f.t.Helper()
	for _, host := range f.Hosts {
		counts, err := f.Counts(host.Upstreams[0])
		if err != nil {
			f.t.Fatalf("read counts: %v", err)
		}
		if got, want := counts.MaxConcurrentCold, host.Upstreams[0].Spec.ColdSlots; got > want {
			f.t.Errorf("%s: concurrent requests at %s: got %d, want at most %d", phase, host.Spec.Name, got, want)
		}
		f.t.Logf("%s: %s had at most %d concurrent requests in cold start, %d overall", phase, host.Spec.Name, counts.MaxConcurrentCold, counts.MaxConcurrent)
	}
}

// TestOverloadOutcomesAndConcurrencyLimit offers far more load than the capacity
// of the upstreams. No outcome may be unknown, and no upstream may get more
// concurrent requests than it has slots.
func TestOverloadOutcomesAndConcurrencyLimit(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	tally := blfleet.NewTally()
	end := time.Now().Add(3 * time.Second)
	var wg sync.WaitGroup
	for i := range 96 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				key := fmt.Sprintf("over_%d", (i*131+n)%64)
				response, err := f.Call(f.Hosts[(i+n)%3], http.MethodPost, "/pot/"+key+"/contributions", f.ClientKeys[account], "1")
				tally.Record(key, response, err)
			}
		})
	}
	wg.Wait()
	f.checkOwnership(tally)
	if got := tally.Outcomes()["unknown"] + tally.Outcomes()["broken"]; got != 0 {
		t.Errorf("requests with an unknown outcome or a broken connection: got %d of %v, want 0", got, tally.Outcomes())
	}
	for _, host := range f.Hosts {
		counts, err := f.Counts(host.Upstreams[0])
		if err != nil || counts.MaxConcurrent > host.Upstreams[0].Spec.Slots {
			t.Errorf("concurrent requests at %s: got %d, %v, want at most %d", host.Spec.Name, counts.MaxConcurrent, err, host.Upstreams[0].Spec.Slots)
		}
	}
}

// TestRestartedUpstreamRegainsPartitions kills an upstream, restarts it after 3 s
// and checks that it is granted partitions again.
func TestRestartedUpstreamRegainsPartitions(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	upstream := f.Hosts[2].Upstreams[0]
	upstream.Process.Kill()
	time.Sleep(3 * time.Second)
	if err := f.StartUpstream(upstream); err != nil {
		t.Fatalf("restart upstream: %v", err)
	}
	if err := f.WaitOwners("pot", partitions, 10*time.Second); err != nil {
		t.Fatalf("wait for owners: %v", err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for f.grantedPartitions(upstream) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("partitions of the restarted upstream: got 0, want at least 1")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (f *fleet) grantedPartitions(upstream *blfleet.RunningUpstream) int {
	f.t.Helper()
	for _, host := range f.Hosts {
		status, err := f.Status(host)
		if err != nil {
			continue
		}
		for _, u := range status.Upstreams {
			if string(u.Name) == upstream.Spec.Name {
				return u.Partitions
			}
		}
	}
	return 0
}
