package blnode

import (
	"bergamotlead/core/blassign"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blrollout"
)

func (n *Node) performRollout(effect blrollout.Effect) {
	switch e := effect.(type) {
	case blrollout.LoadRecord, blrollout.WriteRecord:
		n.rolloutQueued(e, n.workers.rollout.Put(e))
	case blrollout.WriteStatus:
		n.rolloutQueued(e, n.workers.rolloutStatus.Put(e))
	case blrollout.Publish:
		blduty.PutBlocking[blassign.Message](n.duties.assign.Put, e.Admission)
	case blrollout.Decided:
		n.logDecision(e)
	}
}

// rolloutQueued answers a call to the store that was dropped because the queue of its
// worker was full.
func (n *Node) rolloutQueued(effect blrollout.Effect, err error) {
	if err == nil {
		return
	}
	n.logDropped("rollout", err)
	n.logDropped("rollout", n.duties.rollout.Put(rolloutDropped(effect)))
}

// versionCounts are the results of a version in one class, as the log shows them.
type versionCounts struct {
	Version  string `json:"version"`
	Class    string `json:"class"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	Slow     uint64 `json:"slow"`
}

// Names of the two sides of a roll-out in logs and metrics.
const (
	versionTarget = "target"
	versionOther  = "other"
)

func versionName(target bool) string {
	if target {
		return versionTarget
	}
	return versionOther
}

// logDecision logs a decision on a roll-out with the counts on which it was based.
func (n *Node) logDecision(decided blrollout.Decided) {
	counts := make([]versionCounts, 0, len(decided.Results))
	for _, r := range decided.Results {
		counts = append(counts, versionCounts{
			Version: versionName(r.Target), Class: r.Class, Answered: r.Answered, Failed: r.Failed, Slow: r.Slow,
		})
	}
	n.logger.Info("roll-out decided", "service", string(decided.Service), "target", decided.Order.Target,
		"order", decided.Order.Revision, "decision", decided.Decision, "reason", decided.Reason, "results", counts)
}
