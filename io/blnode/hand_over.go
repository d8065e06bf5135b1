package blnode

import (
	"context"
	"time"

	"bergamotlead/core/blduty"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
)

const (
	// maxHandOverWait is how long a leaving node waits at most for its partitions
	// to be assigned to new owners.
	maxHandOverWait = 10 * time.Second
	// handOverOverrun limits how long a leaving node still waits for new owners
	// after callers have been redirected. In-flight requests need the rest of the
	// grace period to complete.
	handOverOverrun      = 500 * time.Millisecond
	handOverPollInterval = 20 * time.Millisecond
	// typicalHandOverTime is how long it usually takes until the partitions of a
	// leaving node have new owners.
	typicalHandOverTime = 900 * time.Millisecond
)

// keepOwnership waits, while this node still owns its partitions, until
// typicalHandOverTime before the platform has redirected callers.
func (n *Node) keepOwnership(ctx context.Context) {
	if n.platform.DrainDelay <= typicalHandOverTime {
		return
	}
	select {
	case <-time.After(n.platform.DrainDelay - typicalHandOverTime):
	case <-ctx.Done():
	}
}

// handOverLimit returns how long a leaving node waits at most for new owners.
// Callers have been redirected after drainDelay. If it is zero, they are told at
// once to use other nodes.
func handOverLimit(drainDelay time.Duration) time.Duration {
	if drainDelay == 0 {
		return maxHandOverWait
	}
	return min(drainDelay, typicalHandOverTime) + handOverOverrun
}

// handOver hands over the partitions and then the lead. It waits until no
// partition is granted on this node any more, or until handOverLimit has passed
// because no node takes them.
func (n *Node) handOver(ctx context.Context) {
	blduty.PutBlocking[blmember.Message](n.duties.member.Put, blmember.Leave{})
	ctx, cancel := context.WithTimeout(ctx, handOverLimit(n.platform.DrainDelay))
	defer cancel()
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for n.hasGrantedPartitions() && ctx.Err() == nil {
		<-ticker.C
	}
	blduty.PutBlocking[bllead.Message](n.duties.lead.Put, bllead.Resign{})
}

func (n *Node) hasGrantedPartitions() bool {
	for _, grant := range n.duties.grant.View().Grants() {
		if grant.Set.Len()+grant.Revoked().Len() > 0 && n.clock.Now().Before(grant.Until) {
			return true
		}
	}
	return false
}
