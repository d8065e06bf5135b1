package blnode

import (
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blduty"
	"bergamotlead/core/bllead"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blgrpc/blproto"
)

// TestChangeWaitsForAuthorityOfNewLead guards against a change that the lead rejects
// because no lead is known, in the moment between its record and its authority.
func TestChangeWaitsForAuthorityOfNewLead(t *testing.T) {
	cases := []struct {
		name string
		lead bool
		want blproto.ApplyReply_Result
	}{
		// A lead without the store refuses every change.
		{"authority follows", true, blproto.ApplyReply_RESULT_REFUSED},
		{"no authority follows", false, blproto.ApplyReply_RESULT_NOT_LEAD},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := &Node{clock: bltimer.NewSystem()}
			n.duties.assign = blduty.New("assign", ringCapacity, blassign.New(placement{}), blassign.Decide[placement],
				func(blassign.Effect) {}, n.clock)
			n.duties.assign.Start()
			t.Cleanup(n.duties.assign.Stop)
			if c.lead {
				time.AfterFunc(becomeLeadTimeout/4, func() {
					_ = n.duties.assign.Put(blassign.AuthorityChanged{Authority: bllead.Authority{
						Term: 1, Until: n.clock.Now().Add(time.Minute),
					}})
				})
			}
			if got := n.applyOnceLead(t.Context(), blgrpc.Change{}).Result; got != c.want {
				t.Errorf("result: got %v, want %v", got, c.want)
			}
		})
	}
}
