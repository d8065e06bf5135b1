package blnode

import (
	"context"
	"time"

	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blgrpc/blproto"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blstore"
)

// Config returns the configuration in force on this node.
func (n *Node) Config() bloperator.Config {
	config := n.duties.admit.View().Config()
	_, text := splitSource(config.Source)
	return bloperator.Config{Revision: config.Revision, Document: text}
}

// Change stores a configuration. It forwards the change to the lead if this node
// isn't lead.
func (n *Node) Change(ctx context.Context, change bloperator.Change) bloperator.ChangeResult {
	request := blgrpc.Change{
		BaseRevision: change.BaseRevision, Document: []byte(change.Document), Wait: time.Duration(change.WaitMS) * time.Millisecond,
	}
	result := n.Apply(ctx, request)
	if result.Result == blproto.ApplyReply_RESULT_NOT_LEAD {
		result = n.forwardToLead(ctx, request)
	}
	return bloperator.ChangeResult{
		Result: resultName(result.Result), Revision: result.Revision, InForce: result.InForce,
		Detail: result.Detail, Document: string(result.Document),
	}
}

// forwardToLead forwards a change to the lead. If the call fails, the outcome of
// the change is reported as unknown.
func (n *Node) forwardToLead(ctx context.Context, change blgrpc.Change) blgrpc.ChangeResult {
	lead := n.knownLead(ctx)
	if lead.IsZero() {
		return noLeadKnown()
	}
	if lead.Incarnation == n.self.Incarnation {
		return n.applyOnceLead(ctx, change)
	}
	result, err := n.client.Apply(ctx, lead.Address, change)
	if err != nil {
		return blgrpc.ChangeResult{Result: blproto.ApplyReply_RESULT_UNKNOWN, Detail: err.Error()}
	}
	return result
}

func noLeadKnown() blgrpc.ChangeResult {
	return blgrpc.ChangeResult{Result: blproto.ApplyReply_RESULT_NOT_LEAD, Detail: "no lead is known"}
}

// becomeLeadTimeout bounds the wait of a change on a node that the lead record names
// and that has yet to take up its authority.
const becomeLeadTimeout = 200 * time.Millisecond

// applyOnceLead applies a change as soon as this node has the authority of the lead.
func (n *Node) applyOnceLead(ctx context.Context, change blgrpc.Change) blgrpc.ChangeResult {
	timeout := time.NewTimer(becomeLeadTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for !n.duties.assign.View().Authority().Holds(n.clock.Now()) {
		select {
		case <-ticker.C:
		case <-timeout.C:
			return noLeadKnown()
		case <-ctx.Done():
			return noLeadKnown()
		}
	}
	return n.Apply(ctx, change)
}

// knownLead returns the lead that this node heard from last, or the one named in
// the store if none has answered in time. If the store can't be
// read, it returns the lead of the last lead record that this node has seen.
func (n *Node) knownLead(ctx context.Context) blvalue.Host {
	member := n.duties.member.View()
	if lead := member.Lead(); !lead.IsZero() && !member.LeadOverdue(n.clock.Now()) {
		return lead
	}
	n.metrics.StoreCall("get")
	entry, err := n.store.Get(ctx, n.keys.LeadRecord())
	if err != nil {
		return n.duties.lead.View().Record().Lead
	}
	stored, err := blstore.DecodeRecord(entry)
	if err != nil {
		return n.duties.lead.View().Record().Lead
	}
	return stored.Record.Lead
}

func resultName(result blproto.ApplyReply_Result) string {
	switch result {
	case blproto.ApplyReply_RESULT_ACCEPTED:
		return bloperator.ResultAccepted
	case blproto.ApplyReply_RESULT_CONFLICT:
		return bloperator.ResultConflict
	case blproto.ApplyReply_RESULT_REFUSED:
		return bloperator.ResultRefused
	case blproto.ApplyReply_RESULT_NOT_LEAD:
		return bloperator.ResultNoLead
	case blproto.ApplyReply_RESULT_UNKNOWN, blproto.ApplyReply_RESULT_UNSPECIFIED:
	}
	return bloperator.ResultUnknown
}
