package bltests_test

import (
	"sort"
	"syscall"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// checkOwners holds the logs of accepted work of the exclusive service's
// upstreams against single ownership and against what callers were told. Every
// upstream's log must be readable.
func (f *fleet) checkOwners(tr *traffic) {
	f.t.Helper()
	var log []blfleet.Work
	for _, host := range f.Hosts {
		for _, upstream := range host.Upstreams {
			if !upstream.Spec.Exclusive {
				continue
			}
			part, err := f.Log(upstream)
			if err != nil {
				f.t.Fatalf("read log of %s: %v", upstream.Spec.Name, err)
			}
			log = append(log, part...)
		}
	}
	sort.Slice(log, func(i, j int) bool { return log[i].AtNS < log[j].AtNS })
	f.checkOwnersGoForward(log)
	f.checkRuns(log, tr)
}

// checkOwnersGoForward looks for a key that went back to an owner under an
// older fence: two owners whose work interleaves do that.
func (f *fleet) checkOwnersGoForward(log []blfleet.Work) {
	f.t.Helper()
	last := map[string]blfleet.Work{}
	for _, work := range log {
		before, ok := last[work.Key]
		if ok && before.Upstream != work.Upstream && !older(before.Fence, work.Fence) {
			f.t.Errorf("key %s: got work at %s under %s after work at %s under %s, want a higher fence",
				work.Key, work.Upstream, work.Fence, before.Upstream, before.Fence)
		}
		last[work.Key] = work
	}
}

// checkRuns compares the runs of each key with what callers were told: no
// request ran twice, every answer stands for a run, and every run for an
// answer or an unknown outcome.
func (f *fleet) checkRuns(log []blfleet.Work, tr *traffic) {
	f.t.Helper()
	runs, requests := map[string]int{}, map[string]int{}
	for _, work := range log {
		runs[work.Key]++
		requests[work.Request]++
	}
	for request, count := range requests {
		if count > 1 {
			f.t.Errorf("request %s: got %d runs, want at most 1", request, count)
		}
	}
	for key, told := range tr.answers {
		if got := runs[key]; got < told.answered || got > told.answered+told.unknown {
			f.t.Errorf("key %s: got %d runs, want %d to %d", key, got, told.answered, told.answered+told.unknown)
		}
	}
	if tr.outcome["answered"] == 0 {
		f.t.Error("answered requests: got 0, want some")
	}
	f.t.Logf("outcomes: %v", tr.outcome)
}

// older reports whether the first fence was given before the second.
func older(first, second string) bool {
	a, b := parseFence(first), parseFence(second)
	return a[0] < b[0] || a[0] == b[0] && a[1] < b[1]
}

// TestSingleOwnership loses, freezes and cuts processes under load and looks
// at the upstreams' logs of accepted work.
func TestSingleOwnership(t *testing.T) {
	t.Parallel()
	const frozen = 2500 * time.Millisecond
	cases := []struct {
		name        string
		checksFence bool
		hit         func(f *fleet, lead, standby, other *blfleet.Host)
	}{
		{"owner's node killed", true, func(_ *fleet, _, _, other *blfleet.Host) { other.Node.Kill() }},
		{"owner's node killed, no fence check", false, func(_ *fleet, _, _, other *blfleet.Host) { other.Node.Kill() }},
		{"owner's node frozen and thawed", true, func(_ *fleet, _, _, other *blfleet.Host) {
			freeze(other.Node, frozen)
		}},
		{"owner's upstream frozen and thawed", true, func(_ *fleet, _, _, other *blfleet.Host) {
			freeze(other.Upstreams[0].Process, frozen)
		}},
		{"lead's node killed", true, func(_ *fleet, lead, _, _ *blfleet.Host) { lead.Node.Kill() }},
		{"lead's node frozen and thawed", true, func(_ *fleet, lead, _, _ *blfleet.Host) { freeze(lead.Node, frozen) }},
		{"lead and owner killed", true, func(_ *fleet, lead, _, other *blfleet.Host) {
			lead.Node.Kill()
			other.Node.Kill()
		}},
		{"lead and standby killed and restarted", true, func(f *fleet, lead, standby, _ *blfleet.Host) {
			lead.Node.Kill()
			standby.Node.Kill()
			f.restart(lead)
			f.restart(standby)
		}},
		{"store down and back", true, func(f *fleet, _, _, _ *blfleet.Host) {
			f.storeDown(2 * time.Second)
		}},
		{"store down, then standby restarted", true, func(f *fleet, _, standby, _ *blfleet.Host) {
			f.faults(map[string]any{"down": true})
			time.Sleep(800 * time.Millisecond)
			standby.Node.Kill()
			f.restart(standby)
			time.Sleep(1500 * time.Millisecond)
			f.faults(map[string]any{"down": false})
		}},
		{"leases lapse while the lead is frozen", true, func(f *fleet, lead, _, _ *blfleet.Host) {
			freeze(lead.Node, 700*time.Millisecond)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, potHosts(4, c.checksFence), nil)
			lead, standby, other := f.roles()
			tr := f.startTraffic(f.Hosts...)
			time.Sleep(500 * time.Millisecond)
			c.hit(f, lead, standby, other)
			time.Sleep(3500 * time.Millisecond)
			tr.end()
			f.checkOwners(tr)
		})
	}
}

// freeze stops a process for a while and lets it go on as if nothing had
// happened.
func freeze(process *blfleet.Process, length time.Duration) {
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
}

func (f *fleet) faults(faults map[string]any) {
	f.t.Helper()
	if err := f.PlatformFaults(faults); err != nil {
		f.t.Fatalf("set faults of the platform: %v", err)
	}
}

func (f *fleet) storeDown(length time.Duration) {
	f.t.Helper()
	f.faults(map[string]any{"down": true})
	time.Sleep(length)
	f.faults(map[string]any{"down": false})
}

func (f *fleet) restart(host *blfleet.Host) {
	f.t.Helper()
	if err := f.StartNode(host); err != nil {
		f.t.Fatalf("restart %s: %v", host.Spec.Name, err)
	}
}

// TestStoreOutageServesEveryKey keeps the store down and looks whether every
// key is answered all the while, and edits are refused with the reason.
func TestStoreOutageServesEveryKey(t *testing.T) {
	f := deploy(t, potHosts(3, true), nil)
	f.roles()
	time.Sleep(time.Second)
	tr := f.startTraffic(f.Hosts...)
	time.Sleep(300 * time.Millisecond)
	f.faults(map[string]any{"down": true})
	time.Sleep(4 * time.Second)
	if result, err := f.Apply(f.Hosts[0], f.revision, f.document); err == nil {
		t.Errorf("apply during the outage: got %+v, want a refusal", result)
	}
	tr.end()
	f.faults(map[string]any{"down": false})
	if got := tr.outcome["not_run"] + tr.outcome["unknown"] + tr.outcome["broken"]; got != 0 {
		t.Errorf("requests not answered: got %d of %v, want 0", got, tr.outcome)
	}
	f.checkOwners(tr)
}
