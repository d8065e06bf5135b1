package bltests_test

import (
	"syscall"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// checkOwnership checks the upstreams' work logs for single ownership and
// against the outcomes reported to callers.
func (f *fleet) checkOwnership(tally *blfleet.Tally) {
	f.t.Helper()
	for _, violation := range f.CheckOwnership(tally.ByKey()) {
		f.t.Error(violation)
	}
	if tally.Outcomes()[blfleet.OutcomeAnswered] == 0 {
		f.t.Error("answered requests: got 0, want at least 1")
	}
	f.t.Logf("outcomes: %v", tally.Outcomes())
}

// TestSingleOwnership kills and freezes processes and stops the store under
// load, and checks the upstreams' logs of accepted work for two owners of a key.
func TestSingleOwnership(t *testing.T) {
	t.Parallel()
	const freezeTime = 2500 * time.Millisecond
	cases := []struct {
		name        string
		checksFence bool
		inject      func(f *fleet, lead, standby, other *blfleet.Host)
	}{
		{"owner's node killed", true, func(_ *fleet, _, _, other *blfleet.Host) { other.Node.Kill() }},
		{"owner's node killed, no fence check", false, func(_ *fleet, _, _, other *blfleet.Host) { other.Node.Kill() }},
		{"owner's node frozen and resumed", true, func(_ *fleet, _, _, other *blfleet.Host) {
			freeze(other.Node, freezeTime)
		}},
		{"owner's upstream frozen and resumed", true, func(_ *fleet, _, _, other *blfleet.Host) {
			freeze(other.Upstreams[0].Process, freezeTime)
		}},
		{"lead's node killed", true, func(_ *fleet, lead, _, _ *blfleet.Host) { lead.Node.Kill() }},
		{"lead's node frozen and resumed", true, func(_ *fleet, lead, _, _ *blfleet.Host) { freeze(lead.Node, freezeTime) }},
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
		{"store outage", true, func(f *fleet, _, _, _ *blfleet.Host) {
			f.interruptStore(2 * time.Second)
		}},
		{"standby restarted during a store outage", true, func(f *fleet, _, standby, _ *blfleet.Host) {
			f.setPlatformFaults(map[string]any{"down": true})
			time.Sleep(800 * time.Millisecond)
			standby.Node.Kill()
			f.restart(standby)
			time.Sleep(1500 * time.Millisecond)
			f.setPlatformFaults(map[string]any{"down": false})
		}},
		{"leases expire while the lead is frozen", true, func(f *fleet, lead, _, _ *blfleet.Host) {
			freeze(lead.Node, 700*time.Millisecond)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, blfleet.PotHosts(4, c.checksFence), nil)
			lead, standby, other := f.roles()
			traffic := f.startTraffic(f.Hosts...)
			time.Sleep(500 * time.Millisecond)
			c.inject(f, lead, standby, other)
			time.Sleep(3500 * time.Millisecond)
			traffic.Stop()
			f.checkOwnership(traffic.Tally)
		})
	}
}

// freeze suspends a process for the given time and resumes it. The process does
// not notice and continues with the state that it had before.
func freeze(process *blfleet.Process, length time.Duration) {
	process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	process.Signal(syscall.SIGCONT)
}

func (f *fleet) setPlatformFaults(faults map[string]any) {
	f.t.Helper()
	if err := f.SetPlatformFaults(faults); err != nil {
		f.t.Fatalf("set faults of the platform: %v", err)
	}
}

func (f *fleet) interruptStore(length time.Duration) {
	f.t.Helper()
	f.setPlatformFaults(map[string]any{"down": true})
	time.Sleep(length)
	f.setPlatformFaults(map[string]any{"down": false})
}

func (f *fleet) restart(host *blfleet.Host) {
	f.t.Helper()
	if err := f.StartNode(host); err != nil {
		f.t.Fatalf("restart %s: %v", host.Spec.Name, err)
	}
}

// TestStoreOutageServesEveryKey stops the store for 4 s. Every request must be
// answered during the outage, and a configuration change must be refused.
func TestStoreOutageServesEveryKey(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(3, true), nil)
	f.roles()
	time.Sleep(time.Second)
	traffic := f.startTraffic(f.Hosts...)
	time.Sleep(300 * time.Millisecond)
	f.setPlatformFaults(map[string]any{"down": true})
	time.Sleep(4 * time.Second)
	if result, err := f.Apply(f.Hosts[0], f.revision, f.document); err == nil {
		t.Errorf("apply during the outage: got %+v, want an error", result)
	}
	traffic.Stop()
	f.setPlatformFaults(map[string]any{"down": false})
	if got := traffic.Outcomes()["not_run"] + traffic.Outcomes()["unknown"] + traffic.Outcomes()["broken"]; got != 0 {
		t.Errorf("requests not answered: got %d of %v, want 0", got, traffic.Outcomes())
	}
	f.checkOwnership(traffic.Tally)
}
