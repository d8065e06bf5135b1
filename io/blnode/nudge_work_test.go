package blnode

import (
	"context"
	"strconv"
	"testing"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

// TestSilentNodesDelayNudges guards against a node that keeps partitions for too long, since
// the nudge of it waits for nodes that don't answer.
func TestSilentNodesDelayNudges(t *testing.T) {
	t.Parallel()
	const (
		silent = 20
		// bound is how long two upstreams may hold the same partitions.
		bound = 500 * time.Millisecond
	)
	nodes := make([]blvalue.Host, 0, silent+1)
	for i := range silent + 1 {
		nodes = append(nodes, blvalue.Host{Address: strconv.Itoa(i)})
	}
	begin := time.Now()
	nudged := make(chan time.Duration, 1)
	sender := nudgeSender{nudge: func(ctx context.Context, address string) error {
		if address == strconv.Itoa(silent) {
			nudged <- time.Since(begin)
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}}
	sender.perform(blassign.Nudge{Nodes: nodes})
	if got := <-nudged; got >= bound {
		t.Errorf("nudge behind %d silent nodes: got %v, want less than %v", silent, got, bound)
	}
}
