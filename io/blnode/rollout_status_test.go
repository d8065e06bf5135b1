package blnode

import (
	"bytes"
	"strings"
	"testing"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blvalue"
)

// TestRolloutGaugesOfANodeThatIsNotLead guards against metrics that show an earlier
// roll-out on a node that isn't lead.
func TestRolloutGaugesOfANodeThatIsNotLead(t *testing.T) {
	n := newLoneNode(t)
	plan := blconfig.Plan{}
	plan.Rollouts = map[blvalue.ServiceName]blconfig.RolloutOrder{"pot": {Service: "pot", Target: "v2"}}
	n.addRolloutGauges(plan)
	n.addRolloutGauges(plan)
	var output bytes.Buffer
	n.metrics.Write(&output)
	for _, want := range []string{
		`bergamotlead_rollout_state{service="pot",state="running"} 0`, `bergamotlead_rollout_canaries{service="pot"} 0`,
		`bergamotlead_rollout_requests_reserved{service="pot"} 0`, `bergamotlead_rollout_requests_used{service="pot"} 0`,
		`bergamotlead_rollout_failed{service="pot",version="target"} 0`, `bergamotlead_rollout_slow{service="pot",version="other"} 0`,
	} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("metrics: got %s, want %s", output.String(), want)
		}
	}
}
