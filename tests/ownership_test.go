package bltests_test

import (
	"syscall"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// checkOwnership holds what upstreams did against single ownership and against what
// callers were told.
func (f *fleet) checkOwnership(tr *blfleet.Tally) {
	f.t.Helper()
	for _, broken := range f.CheckOwnership(tr.ByKey()) {
		f.t.Error(broken)
	}
	if tr.Outcomes()[blfleet.OutcomeAnswered] == 0 {
		f.t.Error("answered requests: got 0, want some")
	}
	f.t.Logf("outcomes: %v", tr.Outcomes())
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
			f.interruptStore(2 * time.Second)
		}},
		{"store down, then standby restarted", true, func(f *fleet, _, standby, _ *blfleet.Host) {
			f.setPlatformFaults(map[string]any{"down": true})
			time.Sleep(800 * time.Millisecond)
			standby.Node.Kill()
			f.restart(standby)
			time.Sleep(1500 * time.Millisecond)
			f.setPlatformFaults(map[string]any{"down": false})
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
			tr.Stop()
			f.checkOwnership(tr.Tally)
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

// TestStoreOutageServesEveryKey keeps the store down and looks whether every
// key is answered all the while, and edits are refused with the reason.
func TestStoreOutageServesEveryKey(t *testing.T) {
	f := deploy(t, potHosts(3, true), nil)
	f.roles()
	time.Sleep(time.Second)
	tr := f.startTraffic(f.Hosts...)
	time.Sleep(300 * time.Millisecond)
	f.setPlatformFaults(map[string]any{"down": true})
	time.Sleep(4 * time.Second)
	if result, err := f.Apply(f.Hosts[0], f.revision, f.document); err == nil {
		t.Errorf("apply during the outage: got %+v, want a refusal", result)
	}
	tr.Stop()
	f.setPlatformFaults(map[string]any{"down": false})
	if got := tr.Outcomes()["not_run"] + tr.Outcomes()["unknown"] + tr.Outcomes()["broken"]; got != 0 {
		t.Errorf("requests not answered: got %d of %v, want 0", got, tr.Outcomes())
	}
	f.checkOwnership(tr.Tally)
}
