package blnode

import (
	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blrollout"
)

// configSourceChanged informs the member duty whether this node's own reads of
// the configuration succeed.
func (n *Node) configSourceChanged(succeeded bool) {
	if n.platform.AllNodesReadConfig {
		n.logDropped("member", n.duties.member.Put(blmember.ConfigSourceChanged{ReadsStore: succeeded}))
	}
}

// publishLocalConfig passes a configuration that this node has read itself to the
// member duty, if every node reads configurations, and to the lead's duties.
func (n *Node) publishLocalConfig(accepted blconfig.Accepted) {
	n.stateLog.logStore(accepted)
	if n.platform.AllNodesReadConfig {
		blduty.PutBlocking[blmember.Message](n.duties.member.Put, blmember.ConfigSeen{
			Accepted: accepted, Origin: blmember.OriginSource,
		})
	}
	n.publishConfig(accepted)
}

// publishFetchedConfig passes a configuration of another node to the member duty
// and to the lead's duties.
func (n *Node) publishFetchedConfig(accepted blconfig.Accepted) {
	blduty.PutBlocking[blmember.Message](n.duties.member.Put, blmember.ConfigSeen{Accepted: accepted, Origin: blmember.OriginNode})
	n.publishConfig(accepted)
}

// publishConfig passes a configuration to the duties that act for the lead: assign,
// rollout and quota.
func (n *Node) publishConfig(accepted blconfig.Accepted) {
	blduty.PutBlocking[blassign.Message](n.duties.assign.Put, blassign.ConfigSeen{Accepted: accepted})
	blduty.PutBlocking[blrollout.Message](n.duties.rollout.Put, blrollout.ConfigSeen{Accepted: accepted})
	blduty.PutBlocking[blquota.Message](n.duties.quota.Put, blquota.ConfigSeen{Accepted: accepted})
}
