package blnode

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/blhold"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blpurse"
	"bergamotlead/core/blvalue"
)

const (
	// shortQueue is for jobs of which a later one replaces an earlier one.
	shortQueue = 4
	// longQueue is for jobs that each matter.
	longQueue = 4096
)

// workers are the threads that wait for other processes.
type workers struct {
	lease     *blduty.Worker[bllead.Effect]
	record    *blduty.Worker[bllead.Effect]
	peer      *blduty.Worker[bllead.Effect]
	assign    *blduty.Worker[blassign.Effect]
	watch     *blduty.Worker[watchJob]
	heartbeat *blduty.Worker[blmember.SendHeartbeat]
	borrow    *blduty.Worker[bladmit.Borrow]
	nudge     *blduty.Worker[blassign.Nudge]
	upstream  *blduty.Worker[grantJob]
	hold      *blduty.Worker[blhold.Send]
	reload    *blduty.Worker[reloadJob]
}

func (n *Node) newWorkers() {
	lead := leadWork{
		store: n.store, keys: n.keys, self: n.self, clock: n.clock, lease: n.leaseTTL,
		put:   func(m bllead.Message) error { return n.duties.lead.Put(m) },
		count: n.metrics.StoreCall,
	}
	peer := peerWork{
		client: n.client, clock: n.clock, self: n.self,
		put: func(m bllead.Message) error { return n.duties.lead.Put(m) },
	}
	assign := assignWork{
		store: n.store, source: n.platform.Config, keys: n.keys, logger: n.logger, config: n.configRead,
		put:   func(m blassign.Message) error { return n.duties.assign.Put(m) },
		count: n.metrics.StoreCall,
	}
	watch := configWatch{
		source: n.platform.Config, logger: n.logger, config: n.configSeen, wanted: n.watchesConfig,
		fresh: n.sourceChanged, count: n.metrics.StoreCall, failing: &atomic.Bool{},
		again: func(job watchJob) { n.drop("watch", n.workers.watch.Put(job)) },
	}
	heartbeat := heartbeatWork{
		client: n.client, grant: func(m blgrant.Message) error { return n.duties.grant.Put(m) },
		put: func(m blmember.Message) error { return n.duties.member.Put(m) }, loads: n.upstreamLoads,
	}
	borrow := borrowWork{
		client: n.client, clock: n.clock, self: n.self,
		lead: func() blvalue.Host { return n.duties.member.View().Lead() },
		put:  func(m bladmit.Message) error { return n.duties.admit.Put(m) },
	}
	n.workers = workers{
		lease:     blduty.NewWorker("lease", shortQueue, lead.perform),
		record:    blduty.NewWorker("record", shortQueue, lead.perform),
		peer:      blduty.NewWorker("peer", shortQueue, peer.perform),
		assign:    blduty.NewWorker("assign", longQueue, assign.perform),
		watch:     blduty.NewWorker("watch", 1, watch.perform),
		heartbeat: blduty.NewWorker("heartbeat", 1, heartbeat.perform),
		borrow:    blduty.NewWorker("borrow", 1, borrow.perform),
		nudge:     blduty.NewWorker("nudge", shortQueue, nudgeWork{client: n.client}.perform),
		upstream:  blduty.NewWorker("upstream", longQueue, newGrantWork(n.clock).perform),
		hold:      blduty.NewWorker("hold", 1, n.sendOrders),
		reload: blduty.NewWorker("reload", 1, configReload{
			source: n.platform.Config, logger: n.logger, config: n.configSeen, fresh: n.sourceChanged,
			count: n.metrics.StoreCall,
		}.perform),
	}
}

func (w workers) start() {
	w.lease.Start()
	w.record.Start()
	w.peer.Start()
	w.assign.Start()
	w.watch.Start()
	w.heartbeat.Start()
	w.borrow.Start()
	w.nudge.Start()
	w.upstream.Start()
	w.hold.Start()
	w.reload.Start()
}

// stop ends the workers. A watch of the store may wait for long, so nobody
// waits for it.
func (w workers) stop() {
	w.lease.Stop()
	w.record.Stop()
	w.peer.Stop()
	w.assign.Stop()
	w.heartbeat.Stop()
	w.borrow.Stop()
	w.nudge.Stop()
	w.upstream.Stop()
	w.hold.Stop()
	w.reload.Stop()
}

func (n *Node) leaseTTL() time.Duration {
	timing := n.duties.admit.View().Config().Plan.Timing
	if timing.LeadLease == 0 {
		return n.platform.Timing.Lease
	}
	return timing.LeadLease
}

// leads reports whether this process is lead.
func (n *Node) leads() bool {
	return n.duties.assign.View().Authority().Term != 0
}

// upstreamLoads returns the work of the upstreams beside this node.
func (n *Node) upstreamLoads() []blassign.UpstreamLoad {
	var loads []blassign.UpstreamLoad
	for _, gate := range n.duties.deliver.View().Gates().All() {
		loads = append(loads, blassign.UpstreamLoad{Incarnation: gate.Incarnation(), Load: gate.Load()})
	}
	return loads
}

// missesLead reports whether no lead has answered this node for a while, or
// none that reaches the store.
func (n *Node) missesLead() bool {
	member := n.duties.member.View()
	return member.LeadBlind() || n.clock.Now().Sub(member.HeardAt()) > leadPatience
}

// watchesConfig reports whether this process watches the configuration.
func (n *Node) watchesConfig() bool {
	return n.platform.FollowsConfig || n.leads()
}

// sourceChanged notes whether this node reads configurations itself.
func (n *Node) sourceChanged(fresh bool) {
	if n.platform.FollowsConfig {
		n.drop("member", n.duties.member.Put(blmember.SourceChanged{Fresh: fresh}))
	}
}

// configSeen takes a configuration that this node read itself.
func (n *Node) configSeen(accepted blconfig.Accepted) {
	if n.platform.FollowsConfig {
		blduty.PutWaiting[blmember.Message](n.duties.member.Put, blmember.ConfigSeen{Accepted: accepted})
	}
	n.configRead(accepted)
}

// sendOrders calls the upstream that keeps its grants.
func (n *Node) sendOrders(send blhold.Send) {
	answers := n.platform.Orders.Send(context.Background(), send)
	blduty.PutWaiting[blhold.Message](n.duties.hold.Put, blhold.Sent{
		Incarnation: send.Upstream.Incarnation, Answers: answers,
	})
}

// configRead hands a configuration of the store to the lead's duties.
func (n *Node) configRead(accepted blconfig.Accepted) {
	blduty.PutWaiting[blassign.Message](n.duties.assign.Put, blassign.ConfigSeen{Accepted: accepted})
	blduty.PutWaiting[blpurse.Message](n.duties.purse.Put, blpurse.ConfigSeen{Accepted: accepted})
}
