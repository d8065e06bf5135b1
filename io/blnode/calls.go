package blnode

import (
	"context"
	"fmt"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// Heartbeat answers another node's heartbeat.
func (n *Node) Heartbeat(ctx context.Context, heartbeat blassign.Heartbeat) (blassign.HeartbeatReply, error) {
	heartbeat.Reply = blring.NewReply[blassign.HeartbeatReply]()
	if err := n.duties.assign.Put(heartbeat); err != nil {
		return blassign.HeartbeatReply{}, fmt.Errorf("answer heartbeat: %w", err)
	}
	answer, err := await(ctx, heartbeat.Reply)
	if answer.Term == 0 {
		answer.Lead = n.duties.lead.View().Record().Lead
	}
	return answer, err
}

func await[T any](ctx context.Context, reply blring.Reply[T]) (T, error) {
	answer, err := reply.Await(ctx)
	if err != nil {
		return answer, fmt.Errorf("wait for duty: %w", err)
	}
	return answer, nil
}

// Borrow answers another node's request for rate-limit tokens.
func (n *Node) Borrow(
	ctx context.Context, node blvalue.Incarnation, needs []blquota.Need,
) (blquota.BorrowAnswer, error) {
	reply := blring.NewReply[blquota.BorrowAnswer]()
	if err := n.duties.quota.Put(blquota.Borrow{Node: node, Needs: needs, Reply: reply}); err != nil {
		return blquota.BorrowAnswer{}, fmt.Errorf("lend: %w", err)
	}
	return await(ctx, reply)
}

// Spend answers another node's request for tokens of an account.
func (n *Node) Spend(ctx context.Context, spend bladmit.Spend) (bladmit.SpendAnswer, error) {
	spend.Reply = blring.NewReply[bladmit.SpendAnswer]()
	if err := n.duties.admit.Put(spend); err != nil {
		return bladmit.SpendAnswer{}, fmt.Errorf("spend tokens: %w", err)
	}
	return await(ctx, spend.Reply)
}

// AskStandby answers a request of the lead to this node as its standby.
func (n *Node) AskStandby(ctx context.Context, asked bllead.StandbyAsked) (bllead.StandbyAnswer, error) {
	asked.Reply = blring.NewReply[bllead.StandbyAnswer]()
	if err := n.duties.lead.Put(asked); err != nil {
		return bllead.StandbyAnswer{}, fmt.Errorf("answer lead: %w", err)
	}
	return await(ctx, asked.Reply)
}

// LatestConfig returns the configuration that this node distributes as lead or the
// one in force on it, whichever is later.
func (n *Node) LatestConfig() blconfig.Accepted {
	distributed, inForce := n.distributedConfig(), n.configInForce()
	if distributed.LaterThan(inForce) {
		return distributed
	}
	return inForce
}

// distributedConfig returns the configuration that this node distributes as lead.
func (n *Node) distributedConfig() blconfig.Accepted { return n.duties.assign.View().Config() }

// configInForce returns the configuration by which this node handles requests.
func (n *Node) configInForce() blconfig.Accepted { return n.duties.admit.View().Config() }

// Nudge triggers a heartbeat without waiting for the next period.
func (n *Node) Nudge() {
	n.logDropped("member", n.duties.member.Put(blmember.HeartbeatRequested{}))
}
