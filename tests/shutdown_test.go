package bltests_test

import (
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// TestGracefulShutdownDropsNoRequests terminates a node that is neither lead nor
// standby and then the lead, under a load of slow requests.
func TestGracefulShutdownDropsNoRequests(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(4, true), nil)
	f.roles()
	for _, host := range f.Hosts {
		f.setUpstreamFaults(host.Upstreams[0], map[string]any{"slow_factor": 30})
	}
	lead, _, other := f.roles()
	for _, leaving := range []*blfleet.Host{other, lead} {
		var rest []*blfleet.Host
		for _, host := range f.Hosts {
			if host != other && host != lead {
				rest = append(rest, host)
			}
		}
		traffic := f.startTraffic(rest...)
		time.Sleep(800 * time.Millisecond)
		if !leaving.Node.Terminate(30 * time.Second) {
			t.Fatalf("%s did not exit within 30 s of SIGTERM", leaving.Spec.Name)
		}
		if got := leaving.Node.ExitCode(); got != 0 {
			t.Errorf("exit code of %s: got %d, want 0", leaving.Spec.Name, got)
		}
		time.Sleep(1500 * time.Millisecond)
		traffic.Stop()
		if lost := traffic.Outcomes()["unknown"] + traffic.Outcomes()["broken"] + traffic.Outcomes()["ran_partially_answered"]; lost != 0 {
			t.Errorf("requests interrupted while %s shut down: got %d of %v, want 0", leaving.Spec.Name, lost, traffic.Outcomes())
		}
		t.Logf("%s terminated: %v", leaving.Spec.Name, traffic.Outcomes())
	}
}
