package blnode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blgrpc/blproto"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blstore"
)

// Status returns the node's state, as composed from the latest states of the
// duties.
func (n *Node) Status() bloperator.Status {
	now := n.clock.Now()
	member := n.duties.member.View()
	lead := n.duties.lead.View()
	status := bloperator.Status{
		Host: n.self.Name, Incarnation: n.self.Incarnation, Domain: n.self.Domain, Region: n.settings.Region,
		Role: string(lead.Role()), Term: member.Term(), Lead: member.Lead().Name,
		ConfigRevision: member.Revision(), HeardAgoMS: now.Sub(member.LastContact()).Milliseconds(),
		Upstreams: n.upstreamStatus(),
	}
	assign := n.duties.assign.View()
	authority := assign.Authority()
	if !authority.Holds(now) {
		return status
	}
	status.Standby = authority.Standby.Name
	status.MayChange = authority.MayChange
	status.Moves = assign.Moves()
	for _, m := range assign.Members() {
		entry := bloperator.Member{
			Host: m.Host.Name, Domain: m.Host.Domain, Address: m.Host.Address, ConfigRevision: m.ConfigRevision,
			HeardAgoMS: now.Sub(m.LastHeartbeatAt).Milliseconds(), Leaving: m.Leaving,
		}
		for _, upstream := range m.Upstreams {
			entry.Upstreams = append(entry.Upstreams, upstream.Name)
		}
		status.Members = append(status.Members, entry)
	}
	return status
}

func (n *Node) upstreamStatus() []bloperator.Upstream {
	upstreams := n.duties.deliver.View().Upstreams()
	announcements := n.duties.member.View().Announcements(n.clock.Now())
	list := make([]bloperator.Upstream, 0, len(announcements))
	for _, a := range announcements {
		entry := bloperator.Upstream{
			Name: a.Upstream.Name, Service: a.Upstream.Service, Address: a.Address,
			Leaving: a.Upstream.Leaving, Cold: a.Cold,
		}
		if upstream, ok := upstreams.Get(a.Upstream.Name); ok {
			entry.Running = upstream.Running()
			entry.Waiting = upstream.Waiting()
			entry.Limit = upstream.Limit()
		}
		for _, grant := range n.duties.grant.View().Grants() {
			if grant.Upstream == a.Upstream.Name {
				entry.Partitions = grant.Set.Len()
				entry.Fence = grant.Fence.String()
			}
		}
		list = append(list, entry)
	}
	return list
}

// Assignment returns the owners of a service's partitions according to this
// node's directory.
func (n *Node) Assignment(name blvalue.ServiceName) (bloperator.Assignment, bool) {
	service, ok := n.duties.admit.View().Config().Plan.Services[name]
	if !ok || service.Kind != blconfig.ServiceExclusive {
		return bloperator.Assignment{}, false
	}
	directory := n.duties.route.View().Directory()
	assignment := bloperator.Assignment{
		Service: name, Partitions: service.Partitions, Counts: map[blvalue.UpstreamName]int{},
	}
	for i := range service.Partitions {
		entry, _ := directory.Owner(name, blvalue.Partition(i))
		assignment.Owners = append(assignment.Owners, entry.Upstream.Name)
		assignment.Counts[entry.Upstream.Name]++
	}
	return assignment, true
}

// OwnerOf returns the owner of a key according to this node's directory.
func (n *Node) OwnerOf(name blvalue.ServiceName, key blvalue.Key) (blvalue.UpstreamName, bool) {
	service := n.duties.admit.View().Config().Plan.Services[name]
	if service.Kind != blconfig.ServiceExclusive {
		return "", false
	}
	entry, ok := n.duties.route.View().Directory().Owner(name, blvalue.PartitionOf(key, service.Partitions))
	return entry.Upstream.Name, ok
}

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

// UnknownHostError reports a host that is not named in the lead record.
type UnknownHostError struct {
	Host blvalue.HostName
}

// Error implements error.
func (e UnknownHostError) Error() string {
	return fmt.Sprintf("host %s is neither lead nor standby", e.Host)
}

// MarkLost records in the store that the process of a host named in the lead
// record has ended and will not come back. Only an operator can know that.
func (n *Node) MarkLost(ctx context.Context, host blvalue.HostName) error {
	entry, err := n.store.Get(ctx, n.keys.LeadRecord())
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	stored, err := blstore.DecodeRecord(entry)
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	incarnation, ok := recordedIncarnation(stored.Record, host)
	if !ok {
		return UnknownHostError{Host: host}
	}
	lost, err := n.store.Get(ctx, n.keys.LostHosts())
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	list, err := blstore.DecodeLost(lost)
	if err != nil || slices.Contains(list, incarnation) {
		return err
	}
	value, err := blstore.EncodeLost(append(list, incarnation))
	if err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	if _, err := blplatform.Write(ctx, n.store, n.keys.LostHosts(), lost.Revision, value); err != nil {
		return fmt.Errorf("mark host lost: %w", err)
	}
	return nil
}

func recordedIncarnation(record bllead.Record, host blvalue.HostName) (blvalue.Incarnation, bool) {
	switch host {
	case record.Lead.Name:
		return record.Lead.Incarnation, true
	case record.Standby.Name:
		return record.Standby.Incarnation, true
	}
	return "", false
}

// addGauges registers gauges for the states of the duties.
func (n *Node) addGauges() {
	n.metrics.Gauge("bergamotlead_lead_term", func() float64 { return float64(n.duties.member.View().Term()) })
	n.metrics.Gauge("bergamotlead_config_revision", func() float64 { return float64(n.duties.member.View().Revision()) })
	n.metrics.Gauge("bergamotlead_requests_running", func() float64 {
		return float64(n.duties.deliver.View().Running())
	})
	n.metrics.Gauge("bergamotlead_partitions_granted", func() float64 {
		total := 0
		for _, grant := range n.duties.grant.View().Grants() {
			total += grant.Set.Len()
		}
		return float64(total)
	})
	n.metrics.Gauge("bergamotlead_partitions_moved", func() float64 { return float64(n.duties.assign.View().Moves()) })
	n.metrics.Gauge("bergamotlead_leads", func() float64 {
		if n.duties.assign.View().Authority().Holds(n.clock.Now()) {
			return 1
		}
		return 0
	})
}
