package blnode

import (
	"bytes"
	"strings"
	"testing"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blrollout"
	"bergamotlead/io/bllog"
)

// TestDecisionIsLoggedWithItsCounts guards against a rollback that operators can't explain
// from the log.
func TestDecisionIsLoggedWithItsCounts(t *testing.T) {
	var output bytes.Buffer
	n := &Node{logger: bllog.New("host_1", "info", &output)}
	n.performRollout(blrollout.Decided{
		Service: "pot", Order: blconfig.RolloutOrder{Service: "pot", Target: "v2", Revision: 30}, Decision: "rolled_back",
		Reason: "view: 21 of 40 requests failed",
		Results: []blrollout.VersionResults{
			{Class: "view", Answered: 900, Failed: 1}, {Target: true, Class: "view", Answered: 40, Failed: 21, Slow: 3},
		},
	})
	line := output.String()
	for _, want := range []string{
		`"@message":"roll-out decided"`, `"service":"pot"`, `"target":"v2"`, `"order":30`, `"decision":"rolled_back"`,
		`"reason":"view: 21 of 40 requests failed"`,
		`{"version":"other","class":"view","answered":900,"failed":1,"slow":0}`,
		`{"version":"target","class":"view","answered":40,"failed":21,"slow":3}`,
	} {
		if !strings.Contains(line, want) {
			t.Errorf("line: got %s, want it to contain %s", line, want)
		}
	}
	if got := strings.Count(strings.TrimSpace(line), "\n"); got != 0 {
		t.Errorf("lines: got %d, want 1", got+1)
	}
}
