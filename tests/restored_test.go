package bltests_test

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

const (
	// restoreDown is how long the store is unavailable before it returns restored.
	restoreDown = time.Second
	// restoredBound bounds the time from the return of the store until every key is
	// owned and served again.
	restoredBound = 15 * time.Second
)

// restoreStore returns the platform's store to its state at the given time, after
// restoreDown without answers.
func (f *fleet) restoreStore(at time.Time) {
	f.t.Helper()
	f.setPlatformFaults(map[string]any{
		"restore_seconds": time.Since(at).Seconds(), "restore_down_ms": restoreDown.Milliseconds(),
	})
	time.Sleep(restoreDown)
}

// servesEveryKey reports whether a key of about each partition is answered, through
// all hosts in rotation.
func (f *fleet) servesEveryKey() bool {
	for i := range partitions {
		response, err := f.Call(f.Hosts[i%len(f.Hosts)], http.MethodGet, fmt.Sprintf("/pot/probe_%d/total", i), f.ClientKeys[account], "")
		if err != nil || response.Status != http.StatusOK {
			return false
		}
	}
	return true
}

// waitServing waits until every key is served and fails the test after restoredBound.
func (f *fleet) waitServing() {
	f.t.Helper()
	startedAt := time.Now()
	for !f.servesEveryKey() {
		if time.Since(startedAt) > restoredBound {
			f.t.Errorf("keys %s after the return of the store: got some unserved, want all served", restoredBound)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Logf("every key served %s after the return of the store", time.Since(startedAt).Round(time.Millisecond))
}

// checkFencesRise checks the log of accepted work: the fence of a key that changes
// its owner is above every fence under which another owner had it.
func (f *fleet) checkFencesRise() {
	f.t.Helper()
	var log []blfleet.WorkEntry
	for _, host := range f.Hosts {
		for _, upstream := range host.Upstreams {
			part, err := f.WorkLog(upstream)
			if err != nil {
				f.t.Fatalf("log of %s: %v", upstream.Spec.Name, err)
			}
			log = append(log, part...)
		}
	}
	sort.Slice(log, func(i, j int) bool { return log[i].AtNS < log[j].AtNS })
	highest := map[string]blfleet.WorkEntry{}
	for _, work := range log {
		before, ok := highest[work.Key]
		if ok && before.Upstream != work.Upstream && !fenceBelow(before.Fence, work.Fence) {
			f.t.Errorf("key %s: got fence %s at %s after %s at %s, want a higher one", work.Key, work.Fence, work.Upstream, before.Fence, before.Upstream)
		}
		if !ok || fenceBelow(before.Fence, work.Fence) {
			highest[work.Key] = work
		}
	}
}

// fenceBelow reports whether the first fence, in the form term.sequence, is below the
// second.
func fenceBelow(first, second string) bool {
	var numbers [2][2]uint64
	for i, text := range []string{first, second} {
		term, sequence, _ := strings.Cut(text, ".")
		numbers[i][0], _ = strconv.ParseUint(term, 10, 64)
		numbers[i][1], _ = strconv.ParseUint(sequence, 10, 64)
	}
	a, b := numbers[0], numbers[1]
	return a[0] < b[0] || a[0] == b[0] && a[1] < b[1]
}

// TestRestoredStoreGivesKeysToOneOwner restores the store under load from before
// partitions moved or a lead was replaced. Each key must keep a single owner, fences
// must rise, unsafe requests must run once, and every key must be served again.
func TestRestoredStoreGivesKeysToOneOwner(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		checksFence bool
		change      func(f *fleet, lead, other *blfleet.Host)
	}{
		{"a server left", false, func(f *fleet, _, other *blfleet.Host) { f.leave(other) }},
		{"a server joined", false, func(f *fleet, _, _ *blfleet.Host) { f.join() }},
		{"the lead was replaced", false, func(f *fleet, lead, _ *blfleet.Host) { f.replaceLead(lead) }},
		{"the lead was replaced and a server joined", false, func(f *fleet, lead, _ *blfleet.Host) {
			f.replaceLead(lead)
			f.join()
		}},
		{"the lead was replaced and a server joined, fences checked", true, func(f *fleet, lead, _ *blfleet.Host) {
			f.replaceLead(lead)
			f.join()
		}},
		{"the lead was replaced and is lost with the store", false, func(f *fleet, lead, _ *blfleet.Host) {
			f.replaceLead(lead)
			f.replaceLead(f.Lead())
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, blfleet.PotHosts(4, c.checksFence), nil)
			lead, _, other := f.roles()
			time.Sleep(time.Second)
			traffic := f.startTraffic(f.Hosts...)
			before := time.Now()
			time.Sleep(300 * time.Millisecond)
			f.rotateKey(rotated)
			c.change(f, lead, other)
			f.waitOwners()
			f.restoreStore(before)
			time.Sleep(2 * time.Second)
			f.waitServing()
			time.Sleep(2 * time.Second)
			traffic.Stop()
			f.checkOwnership(traffic.Tally)
			f.checkFencesRise()
		})
	}
}

func (f *fleet) waitOwners() {
	f.t.Helper()
	if err := f.WaitOwners("pot", partitions, startWait); err != nil {
		f.t.Fatalf("wait for owners: %v", err)
	}
}

// leave makes the server of a host announce that it leaves.
func (f *fleet) leave(host *blfleet.Host) {
	f.t.Helper()
	if err := f.SetUpstreamFaults(host.Upstreams[0], map[string]any{"leaving": true, "slow_factor": 1}); err != nil {
		f.t.Fatalf("announce leaving: %v", err)
	}
	time.Sleep(time.Second)
}

// join adds a host with another server.
func (f *fleet) join() {
	f.t.Helper()
	hosts := blfleet.PotHosts(len(f.Hosts)+1, f.Hosts[0].Upstreams[0].Spec.ChecksFence)
	if _, err := f.AddHost(hosts[len(f.Hosts)]); err != nil {
		f.t.Fatalf("add host: %v", err)
	}
	time.Sleep(2 * time.Second)
}

// replaceLead kills the lead's node, waits for another lead and starts the node again.
func (f *fleet) replaceLead(lead *blfleet.Host) {
	f.t.Helper()
	lead.Node.Kill()
	if _, err := f.WaitLead(startWait); err != nil {
		f.t.Fatalf("wait for lead: %v", err)
	}
	f.restart(lead)
	time.Sleep(time.Second)
}
