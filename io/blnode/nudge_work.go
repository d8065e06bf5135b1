package blnode

import (
	"context"
	"sync"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

const (
	// nudgeTimeout is short because a node that misses a nudge sends its next
	// heartbeat soon anyway.
	nudgeTimeout = 50 * time.Millisecond
	// maxConcurrentNudges is the maximum number of concurrent nudges.
	maxConcurrentNudges = 16
)

// nudgeSender asks nodes to send a heartbeat immediately.
type nudgeSender struct {
	nudge func(ctx context.Context, address string) error
}

// perform nudges all nodes. One that doesn't answer delays few others.
func (s nudgeSender) perform(effect blassign.Nudge) {
	next := make(chan blvalue.Host, len(effect.Nodes))
	for _, node := range effect.Nodes {
		next <- node
	}
	close(next)
	var pending sync.WaitGroup
	for range min(maxConcurrentNudges, len(effect.Nodes)) {
		pending.Go(func() { s.run(next) })
	}
	pending.Wait()
}

func (s nudgeSender) run(next <-chan blvalue.Host) {
	for node := range next {
		ctx, cancel := context.WithTimeout(context.Background(), nudgeTimeout)
		_ = s.nudge(ctx, node.Address)
		cancel()
	}
}
