package blassign_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

// TestMissedProbesProlongWithholding guards against partitions that nobody is granted: a
// host that is up, but missed a probe now and then, had them withheld again and again.
func TestMissedProbesProlongWithholding(t *testing.T) {
	const length = 40 * time.Millisecond
	h, before := newHarnessWithAbsentNode(t)
	h.probed(false)
	end := h.now.Add(10 * benchPlan().Timing.GrantTTL)
	for i := 0; h.now.Before(end); i++ {
		h.now = h.now.Add(length)
		h.probed(i%4 != 3)
		for node := range h.heartbeats[1:] {
			h.sendHeartbeat(node + 1)
		}
		h.send(blassign.Tick{})
	}
	if got, want := h.heldByOthers(before), before.Len(); got != want {
		t.Errorf("partitions that others hold after ten grants' time: got %d, want %d", got, want)
	}
}

// TestResumeAmongLostDomain guards against a second owner: the second probe of a host that
// had resumed waited for those of all hosts of a failure domain without power.
func TestResumeAmongLostDomain(t *testing.T) {
	const (
		absent = 66
		tick   = 10 * time.Millisecond
		limit  = 300 * time.Millisecond
	)
	h := newHarnessWithKeptGrants(absent + 1)
	earliest, until := h.now.Add(2*time.Second), h.now.Add(4*time.Second)
	resumed := until
	for h.now.Before(until) {
		h.now = h.now.Add(tick)
		h.sendHeartbeat(absent)
		probed, withheld := h.tickWithProbes("host_0", resumed.Before(h.now))
		if withheld {
			break
		}
		if probed && resumed == until && earliest.Before(h.now) {
			resumed = h.now
		}
	}
	if got := h.now.Sub(resumed); got > limit || got == 0 {
		t.Errorf("time from the resume to the withholding: got %v, want %v at most", got, limit)
	}
}

// tickWithProbes sends a tick and answers its probes: all hosts are silent but one, which
// refuses connections if it is up. It reports whether that one was probed, and whether
// partitions were withheld.
func (h *harness) tickWithProbes(host blvalue.HostName, up bool) (probed, withheld bool) {
	var effects, answers []blassign.Effect
	h.state, effects = h.state.Decide(blassign.Tick{}, h.now)
	for _, effect := range effects {
		probe, _ := effect.(blassign.ProbeHosts)
		for _, target := range probe.Hosts {
			probed = probed || target.Name == host
			h.state, answers = h.state.Decide(blassign.HostProbed{Host: target, Refused: up && target.Name == host}, h.now)
			for _, answer := range answers {
				changed, _ := answer.(blassign.WithholdingChanged)
				withheld = withheld || changed.Withheld
			}
		}
	}
	return probed, withheld
}
