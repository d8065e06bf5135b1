package blnode

import (
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/bloperator"
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
	status.Rollouts = n.rolloutStatus()
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
