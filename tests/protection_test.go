package bltests_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// flood sends contributions to many keys through every host from many callers.
func (f *fleet) flood(callers int, length time.Duration) {
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				path := fmt.Sprintf("/pot/flood_%d/contributions", (i*131+n)%512)
				_, _ = f.Call(f.Hosts[(i+n)%len(f.Hosts)], http.MethodPost, path, f.Keys[account], "1")
			}
		})
	}
	wg.Wait()
}

// TestColdUpstreamIsProtected starts upstreams cold under full load and has
// one turn cold without a word. Each takes every request it is sent, so that
// what it was sent can be counted there.
func TestColdUpstreamIsProtected(t *testing.T) {
	hosts := potHosts(3, true)
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
	turned := f.Hosts[1].Upstreams[0]
	f.setUpstreamFaults(turned, map[string]any{"cold_ms": 2000, "hide_cold": true})
	f.flood(24, 1900*time.Millisecond)
	f.checkCold("cold start without a word")
}

func (f *fleet) checkCold(what string) {
	f.t.Helper()
	for _, host := range f.Hosts {
		counts, err := f.Counts(host.Upstreams[0])
		if err != nil {
			f.t.Fatalf("read counts: %v", err)
		}
		if got, want := counts.MaxConcurrentCold, host.Upstreams[0].Spec.ColdSlots; got > want {
			f.t.Errorf("%s: requests at once at %s: got %d, want at most %d", what, host.Spec.Name, got, want)
		}
		f.t.Logf("%s: %s had at most %d at once cold, %d ever", what, host.Spec.Name, counts.MaxConcurrentCold, counts.MaxConcurrent)
	}
}

// TestOverloadOutcomesAndConcurrencyLimit offers far more than the upstreams bear.
func TestOverloadOutcomesAndConcurrencyLimit(t *testing.T) {
	f := deploy(t, potHosts(3, true), nil)
	f.roles()
	tr := blfleet.NewTally()
	end := time.Now().Add(3 * time.Second)
	var wg sync.WaitGroup
	for i := range 96 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				key := fmt.Sprintf("over_%d", (i*131+n)%64)
				answer, err := f.Call(f.Hosts[(i+n)%3], http.MethodPost, "/pot/"+key+"/contributions", f.Keys[account], "1")
				tr.Record(key, answer, err)
			}
		})
	}
	wg.Wait()
	f.checkOwnership(tr)
	if got := tr.Outcomes()["unknown"] + tr.Outcomes()["broken"]; got != 0 {
		t.Errorf("requests without a truthful answer: got %d of %v, want 0", got, tr.Outcomes())
	}
	for _, host := range f.Hosts {
		counts, err := f.Counts(host.Upstreams[0])
		if err != nil || counts.MaxConcurrent > host.Upstreams[0].Spec.Slots {
			t.Errorf("requests at once at %s: got %d, %v, want at most %d", host.Spec.Name, counts.MaxConcurrent, err, host.Upstreams[0].Spec.Slots)
		}
	}
}

// TestRestartedUpstreamRegainsPartitions restarts an upstream and looks whether
// its keys are served again.
func TestRestartedUpstreamRegainsPartitions(t *testing.T) {
	f := deploy(t, potHosts(3, true), nil)
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
			t.Fatal("partitions of the returned upstream: got 0, want some")
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
