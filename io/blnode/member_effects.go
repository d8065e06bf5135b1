package blnode

import (
	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blupstream"
)

func (n *Node) performMember(effect blmember.Effect) {
	switch e := effect.(type) {
	case blmember.SendHeartbeat:
		n.logDropped("heartbeat", n.workers.heartbeat.Put(e))
	case blmember.UpstreamsSeen:
		n.upstreamsSeen(e)
	case blmember.GrantsOffered:
		n.logDropped("grant", n.duties.grant.Put(e.Offered))
	case blmember.AllowancesGiven:
		n.logDropped("deliver", n.duties.deliver.Put(bldeliver.AllowancesSeen{SentAt: e.SentAt, Term: e.Term, Allowances: e.Allowances}))
	case blmember.ConfigChanged:
		n.configChanged(e)
	case blmember.ReloadConfig:
		n.reloadConfig(reloadJob{revision: e.Revision})
	case blmember.FetchConfig:
		n.logDropped("fetch", n.workers.fetch.Put(fetchJob{from: e.From, known: n.configInForce}))
	case blmember.DirectoryChanged:
		blduty.PutBlocking[blroute.Message](n.duties.route.Put, blroute.DirectoryChanged{Directory: e.Directory})
		blduty.PutBlocking[bldeliver.Message](n.duties.deliver.Put, bldeliver.DirectoryChanged{Directory: e.Directory})
	case blmember.NodesChanged:
		blduty.PutBlocking[bladmit.Message](n.duties.admit.Put, bladmit.NodesChanged{Nodes: e.Nodes})
		n.logDropped("lead", n.duties.lead.Put(bllead.NodesCounted{Nodes: len(e.Nodes)}))
	case blmember.LeadResponded:
		n.stateLog.logLead(e.Lead, e.Term)
		n.logDropped("lead", n.duties.lead.Put(bllead.LeadResponded{Term: e.Term}))
		n.logDropped("admit", n.duties.admit.Put(bladmit.LeadResponded{SentAt: e.SentAt}))
	}
}

func (n *Node) upstreamsSeen(e blmember.UpstreamsSeen) {
	n.stateLog.logUpstreams(e.Announcements)
	upstreams := make([]blvalue.Upstream, 0, len(e.Announcements))
	for _, a := range e.Announcements {
		upstreams = append(upstreams, a.Upstream)
	}
	blduty.PutBlocking[blgrant.Message](n.duties.grant.Put, blgrant.UpstreamsSeen{Upstreams: upstreams})
	blduty.PutBlocking[bldeliver.Message](n.duties.deliver.Put, bldeliver.UpstreamsSeen{Announcements: e.Announcements})
	received := make([]blupstream.ReceivedAnnouncement, 0, len(e.Announcements))
	for _, a := range e.Announcements {
		received = append(received, blupstream.NewReceivedAnnouncement(n.clock, a))
	}
	n.logDropped("upstream", n.workers.upstream.Put(grantJob{announcements: received}))
	for _, a := range e.Announcements {
		if a.Upstream.KeepsGrants {
			blduty.PutBlocking[blreconciler.Message](n.duties.reconciler.Put, blreconciler.UpstreamSeen{
				Upstream: a.Upstream, Address: a.Address, Partitions: n.partitionCount(a.Upstream.Service),
			})
		}
	}
}

// reloadConfig requests a reread of the configuration, if this node reads it
// itself.
func (n *Node) reloadConfig(job reloadJob) {
	if n.platform.AllNodesReadConfig {
		n.logDropped("reload", n.workers.reload.Put(job))
	}
}

func (n *Node) partitionCount(service blvalue.ServiceName) int {
	return n.duties.admit.View().Config().Plan.Services[service].Partitions
}

// configChanged brings a newer configuration into force on this node.
func (n *Node) configChanged(change blmember.ConfigChanged) {
	accepted := change.Accepted
	blduty.PutBlocking[bladmit.Message](n.duties.admit.Put, bladmit.ConfigChanged{Accepted: accepted})
	blduty.PutBlocking[blroute.Message](n.duties.route.Put, blroute.ConfigChanged{Accepted: accepted})
	blduty.PutBlocking[bldeliver.Message](n.duties.deliver.Put, bldeliver.ConfigChanged{Accepted: accepted})
	n.addRolloutGauges(accepted.Plan)
	timing := accepted.Plan.Timing
	blduty.PutBlocking[bllead.Message](n.duties.lead.Put, bllead.TimingChanged{Timing: bllead.Timing{
		Lease: timing.LeadLease, GrantTTL: timing.GrantTTL, ClockMargin: timing.ClockMargin,
		HoldLimit: n.platform.Timing.HoldLimit,
	}})
	n.logger.Info("configuration in force", "revision", accepted.Revision, "version", accepted.Version, "routes", len(accepted.Plan.Routes),
		"accounts", len(accepted.Plan.Accounts), "origin", string(change.Origin), "bytes", len(accepted.Source),
		"ignored", len(accepted.Ignored))
	for _, reason := range accepted.Ignored[:min(len(accepted.Ignored), maxIgnoredLines)] {
		n.logger.Warn("configuration entry ignored", "revision", accepted.Revision, "error", reason)
	}
}

// maxIgnoredLines limits the log lines about ignored entries of one configuration.
const maxIgnoredLines = 20
