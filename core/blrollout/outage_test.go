package blrollout_test

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blrollout"
)

// TestUnknownRecordHoldsNothingBack guards against a service that is served by nobody: after
// the end of a roll-out all upstreams run the target, and a new lead that can't read the
// record held all of them.
func TestUnknownRecordHoldsNothingBack(t *testing.T) {
	d := newDuty(order("pot", 40))
	d.plan.Timing.Freshness = platformFreshness
	d.send(blrollout.ConfigSeen{Accepted: blconfig.Accepted{Revision: 51, Plan: d.plan}})
	view := blassign.RolloutView{Term: term}
	for i := 3; i < 6; i++ {
		view.Upstreams = append(view.Upstreams, blassign.RolloutUpstream{Upstream: upstream("pot", i), Node: node(i)})
		d.report(i, 20)
	}
	for range 30 {
		d.now = d.now.Add(100 * time.Millisecond)
		effects := make([]blrollout.Effect, 0, 3)
		for _, m := range []blrollout.Message{
			blrollout.ViewSeen{View: view}, blrollout.Tick{}, blrollout.RecordLoaded{Term: term, Service: "pot", Failed: true},
		} {
			d.send(m)
			effects = append(effects, d.effects...)
		}
		for _, effect := range effects {
			published, ok := effect.(blrollout.Publish)
			if !ok {
				continue
			}
			if got := published.Admission.Held; len(got) > 0 {
				t.Fatalf("held: got %v, want none", got)
			}
			for _, allowance := range published.Admission.Allowances {
				if !allowance.Unlimited {
					t.Fatalf("allowance: got %+v, want none that replaces one without a limit", allowance)
				}
			}
		}
	}
}
