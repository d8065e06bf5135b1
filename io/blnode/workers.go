package blnode

import (
	"context"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/blvalue"
)

const (
	// shortQueueCapacity is for jobs that are superseded by later ones.
	shortQueueCapacity = 4
	// longQueueCapacity is for jobs that must each be performed.
	longQueueCapacity = 4096
)

// workers are the threads that make blocking calls to other processes.
type workers struct {
	lease   *blduty.Worker[bllead.Effect]
	record  *blduty.Worker[bllead.Effect]
	peer    *blduty.Worker[bllead.Effect]
	assign  *blduty.Worker[blassign.Effect]
	rollout *blduty.Worker[blrollout.Effect]
	// rolloutStatus is a worker of its own, so that statuses don't delay records.
	rolloutStatus *blduty.Worker[blrollout.Effect]
	watch         *blduty.Worker[watchJob]
	heartbeat     *blduty.Worker[blmember.SendHeartbeat]
	borrow        *blduty.Worker[bladmit.Borrow]
	delegates     delegateWorkers
	nudge         *blduty.Worker[blassign.Nudge]
	probe         *blduty.Worker[blassign.ProbeHosts]
	upstream      *blduty.Worker[grantJob]
	reconciler    *blduty.Worker[blreconciler.Send]
	release       *blduty.Worker[blreconciler.Release]
	reclaim       *blduty.Worker[blreconciler.Reclaim]
	reload        *blduty.Worker[reloadJob]
	fetch         *blduty.Worker[fetchJob]
}

func (n *Node) newWorkers() {
	if source, ok := n.platform.Config.(documentSource); ok {
		n.platform.Config = source.withKnown(n.LatestConfig)
	}
	lead := leadStore{
		store: n.store, keys: n.keys, self: n.self, clock: n.clock, leaseTTL: n.leaseTTL,
		put:       func(m bllead.Message) error { return n.duties.lead.Put(m) },
		countCall: n.metrics.StoreCall, logger: n.logger,
	}
	peer := peerCaller{
		client: n.client, clock: n.clock, self: n.self,
		put: func(m bllead.Message) error { return n.duties.lead.Put(m) },
	}
	assign := assignStore{
		store: n.store, source: n.platform.Config, keys: n.keys, logger: n.logger, leaseTTL: n.leaseTTL, onConfig: n.publishConfig,
		put:       func(m blassign.Message) error { return n.duties.assign.Put(m) },
		countCall: n.metrics.StoreCall,
	}
	rollout := n.newRolloutStore()
	current := &currentWatch{}
	watch := configWatcher{
		current: current,
		source:  n.platform.Config, onConfig: n.publishLocalConfig, enabled: n.watchesConfig,
		outage: n.newOutageLog("configuration not watched", "configuration watched again"),
		onRead: n.configSourceChanged, countCall: n.metrics.StoreCall,
		requeue: func(job watchJob) { n.logDropped("watch", n.workers.watch.Put(job)) },
	}
	heartbeat := heartbeatSender{
		client: n.client, grant: func(m blgrant.Message) error { return n.duties.grant.Put(m) },
		put: func(m blmember.Message) error { return n.duties.member.Put(m) }, loads: n.upstreamLoads,
		results:    n.upstreamResults,
		reclaiming: func() bool { return n.duties.reconciler.View().Reclaiming() },
		outage:     n.newOutageLog("heartbeat not answered", "heartbeat answered again"),
	}
	borrow := tokenBorrower{
		client: n.client, clock: n.clock, self: n.self,
		lead: func() blvalue.Host { return n.duties.member.View().Lead() },
		put:  func(m bladmit.Message) error { return n.duties.admit.Put(m) },
	}
	delegate := delegateAsker{
		client: n.client, domain: n.self.Domain, put: func(m bladmit.Message) error { return n.duties.admit.Put(m) },
		outage: n.newOutageLog("delegate didn't answer", "delegates answer again"),
	}
	n.workers = workers{
		lease:         blduty.NewWorker("lease", shortQueueCapacity, lead.perform),
		record:        blduty.NewWorker("record", shortQueueCapacity, lead.perform),
		peer:          blduty.NewWorker("peer", shortQueueCapacity, peer.perform),
		assign:        blduty.NewWorker("assign", longQueueCapacity, assign.perform),
		rollout:       blduty.NewWorker("rollout", longQueueCapacity, rollout.perform),
		rolloutStatus: blduty.NewWorker("rollout_status", longQueueCapacity, rollout.perform),
		watch:         blduty.NewWorker("watch", 1, watch.perform),
		heartbeat:     blduty.NewWorker("heartbeat", 1, heartbeat.perform),
		borrow:        blduty.NewWorker("borrow", 1, borrow.perform),
		delegates:     newDelegateWorkers(delegate.perform),
		nudge:         blduty.NewWorker("nudge", shortQueueCapacity, nudgeSender{nudge: n.client.Nudge}.perform),
		probe:         blduty.NewWorker("probe", 1, hostProber{put: func(m blassign.Message) error { return n.duties.assign.Put(m) }}.perform),
		upstream:      blduty.NewWorker("upstream", longQueueCapacity, newGrantForwarder(n.clock, n.recordFailedGrant).perform),
		reconciler:    blduty.NewWorker("reconciler", 1, n.sendOrders),
		release:       blduty.NewWorker("release", 1, n.release),
		reclaim:       blduty.NewWorker("reclaim", 1, n.reclaim),
		reload: blduty.NewWorker("reload", 1, configReloader{
			source: n.platform.Config, onConfig: n.publishLocalConfig, onRead: n.configSourceChanged,
			inForce: n.configInForce, onMissed: current.restart,
			outage:    n.newOutageLog("configuration not read", "configuration read again"),
			countCall: n.metrics.StoreCall,
		}.perform),
		fetch: blduty.NewWorker("fetch", 1, configFetcher{
			client: n.client, onConfig: n.publishFetchedConfig,
			outage: n.newOutageLog("configuration not fetched", "configuration fetched again"),
		}.perform),
	}
}

// newRolloutStore returns what performs the rollout duty's calls to the store.
func (n *Node) newRolloutStore() rolloutStore {
	return rolloutStore{
		store: n.store, statuses: n.platform.Rollouts, keys: n.keys, clock: n.clock, leaseTTL: n.leaseTTL,
		authority: func() bllead.Authority { return n.duties.assign.View().Authority() },
		put:       func(m blrollout.Message) { blduty.PutBlocking(n.duties.rollout.Put, m) },
		countCall: n.metrics.StoreCall, logger: n.logger,
		reads:        n.newOutageLog("record of a roll-out not read", "record of a roll-out read again"),
		writes:       n.newOutageLog("record of a roll-out not written", "record of a roll-out written again"),
		statusWrites: n.newOutageLog("status of a roll-out not written", "status of a roll-out written again"),
	}
}

func (n *Node) newOutageLog(lost, regained string) *outageLog {
	return newOutageLog(n.logger, n.clock, lost, regained)
}

func (w workers) start() {
	w.lease.Start()
	w.record.Start()
	w.peer.Start()
	w.assign.Start()
	w.rollout.Start()
	w.rolloutStatus.Start()
	w.watch.Start()
	w.heartbeat.Start()
	w.borrow.Start()
	w.delegates.start()
	w.nudge.Start()
	w.probe.Start()
	w.upstream.Start()
	w.reconciler.Start()
	w.release.Start()
	w.reclaim.Start()
	w.reload.Start()
	w.fetch.Start()
}

// stop stops the workers except the watch worker: a watch of the store can block
// for up to watchTimeout, so stop doesn't wait for it.
func (w workers) stop() {
	w.lease.Stop()
	w.record.Stop()
	w.peer.Stop()
	w.assign.Stop()
	w.rollout.Stop()
	w.rolloutStatus.Stop()
	w.heartbeat.Stop()
	w.borrow.Stop()
	w.delegates.stop()
	w.nudge.Stop()
	w.probe.Stop()
	w.upstream.Stop()
	w.reconciler.Stop()
	w.release.Stop()
	w.reclaim.Stop()
	w.reload.Stop()
	w.fetch.Stop()
}

func (n *Node) leaseTTL() time.Duration {
	timing := n.duties.admit.View().Config().Plan.Timing
	if timing.LeadLease == 0 {
		return n.platform.Timing.Lease
	}
	return timing.LeadLease
}

func (n *Node) isLead() bool {
	return n.duties.assign.View().Authority().Term != 0
}

// upstreamLoads returns the loads of the local upstreams.
func (n *Node) upstreamLoads() []blassign.UpstreamLoad {
	var loads []blassign.UpstreamLoad
	for _, upstream := range n.duties.deliver.View().Upstreams().All() {
		loads = append(loads, blassign.UpstreamLoad{Incarnation: upstream.Incarnation(), Load: upstream.Load()})
	}
	return loads
}

// upstreamResults returns the results of the local upstreams, and the directory version
// from which on they count.
func (n *Node) upstreamResults() ([]blvalue.UpstreamResults, blassign.DirectoryVersion) {
	deliver := n.duties.deliver.View()
	return deliver.Results(n.clock.Now()), deliver.Directory()
}

// leadUnavailable reports whether no lead has answered this node in time, or the
// lead has reported that it doesn't reach the store.
func (n *Node) leadUnavailable() bool {
	member := n.duties.member.View()
	return member.LeadStoreLost() || member.LeadOverdue(n.clock.Now())
}

// watchesConfig reports whether this process watches the configuration. On some
// platforms every node does, on the others only the lead.
func (n *Node) watchesConfig() bool {
	return n.platform.AllNodesReadConfig || n.isLead()
}

// sendOrders sends orders to an upstream that keeps its grants itself.
func (n *Node) sendOrders(send blreconciler.Send) {
	startedAt := n.clock.Now()
	answers := n.platform.Orders.Send(context.Background(), send)
	n.logOrders(send, answers, n.clock.Now().Sub(startedAt))
	n.recordBrokenOrders(send, answers)
	blduty.PutBlocking[blreconciler.Message](n.duties.reconciler.Put, blreconciler.OrdersAnswered{
		Incarnation: send.Upstream.Incarnation, Answers: answers,
	})
}

// release takes partitions of an upstream back.
func (n *Node) release(r blreconciler.Release) { n.sendOrders(r.Send) }

// reclaim takes all partitions of an upstream back.
func (n *Node) reclaim(r blreconciler.Reclaim) { n.sendOrders(r.Send) }
