package blnode

import (
	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
)

func (n *Node) performLead(effect bllead.Effect) {
	switch e := effect.(type) {
	case bllead.AuthorityChanged:
		n.authorityChanged(e.Authority)
	case bllead.RecordSeen:
		blduty.PutBlocking[blmember.Message](n.duties.member.Put, blmember.RecordSeen{Record: e.Record})
	case bllead.EraSeen:
		n.logger.Info("the store was restored from an older copy", "era", uint64(e.Era))
	case bllead.TakeoverPostponed:
		n.logger.Info("takeover postponed after a restore of the store", "era", uint64(e.Era), "term", e.Term)
	case bllead.AnswerStandby:
		e.Reply.Put(e.Answer)
	case bllead.RenewLease, bllead.AcquireLease, bllead.EndLease:
		n.logDropped("lease", n.workers.lease.Put(e))
	case bllead.ReadRecord, bllead.WriteRecord:
		n.logDropped("record", n.workers.record.Put(e))
	case bllead.AskStandby, bllead.Identify:
		n.logDropped("peer", n.workers.peer.Put(e))
	}
}

// logDropped logs a job or message that was dropped because the queue of its worker
// or duty was full. The duty that issued it issues it again.
func (n *Node) logDropped(worker string, err error) {
	if err != nil {
		n.logger.Debug("job dropped", "worker", worker, "error", err)
	}
}

func (n *Node) authorityChanged(authority bllead.Authority) {
	last := n.duties.assign.View().Authority()
	blduty.PutBlocking[blassign.Message](n.duties.assign.Put, n.ownershipAuthority(last, authority))
	blduty.PutBlocking[blrollout.Message](n.duties.rollout.Put, blrollout.AuthorityChanged{Authority: authority})
	blduty.PutBlocking[blquota.Message](n.duties.quota.Put, blquota.AuthorityChanged{Authority: authority})
	if n.platform.AllNodesReadConfig && authority.Term != 0 && last.Term != authority.Term {
		// The configuration in force lets the new lead start before it has read the
		// latest one.
		n.publishConfig(n.configInForce())
	}
	if last.Term != authority.Term || last.MayChange != authority.MayChange {
		n.logger.Info("authority changed", "term", authority.Term, "may_change", authority.MayChange,
			"standby", string(authority.Standby.Name))
	}
}

// ownershipAuthority returns the message that tells the ownership duty of an authority, at
// the start of a term with the directory of the earlier lead.
func (n *Node) ownershipAuthority(last, authority bllead.Authority) blassign.AuthorityChanged {
	changed := blassign.AuthorityChanged{Authority: authority}
	if last.Term != authority.Term {
		changed.Entries = n.duties.route.View().Directory().Entries()
	}
	return changed
}

func (n *Node) performAssign(effect blassign.Effect) {
	switch e := effect.(type) {
	case blassign.AnswerHeartbeat:
		e.Reply.Put(e.HeartbeatReply)
	case blassign.PeersSeen:
		n.logDropped("lead", n.duties.lead.Put(bllead.PeersSeen{Peers: e.Peers, Known: e.Known, Active: e.Active, Candidate: e.Candidate, Retiring: e.Retiring}))
	case blassign.LoadConfig:
		n.loadConfig(e)
	case blassign.ReloadConfig:
		n.reloadConfig(reloadJob{})
	case blassign.FetchConfig:
		n.logDropped("fetch", n.workers.fetch.Put(fetchJob{from: e.From, known: n.distributedConfig}))
	case blassign.Nudge:
		n.logDropped("nudge", n.workers.nudge.Put(e))
	case blassign.ProbeHosts:
		n.logDropped("probe", n.workers.probe.Put(e))
	case blassign.RolloutView:
		n.logDropped("rollout", n.duties.rollout.Put(blrollout.ViewSeen{View: e}))
	case blassign.ResultsReported:
		n.logDropped("rollout", n.duties.rollout.Put(blrollout.ResultsSeen{Reported: e}))
	case blassign.WithholdingChanged:
		n.stateLog.logWithholding(e)
	case blassign.LoadChunk, blassign.WriteChunk:
		n.logDropped("assign", n.workers.assign.Put(e))
	}
}

// loadConfig reads the configuration for the lead.
func (n *Node) loadConfig(effect blassign.LoadConfig) {
	if n.platform.AllNodesReadConfig {
		n.reloadConfig(reloadJob{})
		return
	}
	n.logDropped("assign", n.workers.assign.Put(effect))
	n.logDropped("watch", n.workers.watch.Put(watchJob{}))
}

func (n *Node) performQuota(effect blquota.Effect) {
	effect.Reply.Put(effect.Answer)
}

func (n *Node) performGrant(effect blgrant.Effect) {
	switch e := effect.(type) {
	case blgrant.AnswerBegin:
		e.Reply.Put(e.Answer)
	case blgrant.Report:
		e.Reply.Put(e.Held)
	case blgrant.CancelRequest:
		e.Cancel()
	case blgrant.GrantChanged:
		n.stateLog.logGrant(e.Grant)
		if e.Grant.KeptByUpstream() {
			blduty.PutBlocking[blreconciler.Message](n.duties.reconciler.Put, blreconciler.GrantChanged{Grant: e.Grant})
			return
		}
		n.logDropped("upstream", n.workers.upstream.Put(grantJob{grant: &e.Grant}))
	case blgrant.Released:
		n.logDropped("member", n.duties.member.Put(blmember.HeartbeatRequested{}))
	}
}

func (n *Node) performReconciler(effect blreconciler.Effect) {
	switch e := effect.(type) {
	case blreconciler.Send:
		n.ordersQueued("reconciler", e, n.workers.reconciler.Put(e))
	case blreconciler.Release:
		n.ordersQueued("release", e.Send, n.workers.release.Put(e))
	case blreconciler.Reclaim:
		n.ordersQueued("reclaim", e.Send, n.workers.reclaim.Put(e))
	case blreconciler.HoldingsChanged:
		n.logDropped("grant", n.duties.grant.Put(e.Holdings))
	case blreconciler.UpstreamResponded:
		n.logDropped("member", n.duties.member.Put(blmember.UpstreamResponded{Incarnation: e.Incarnation}))
	case blreconciler.UpstreamStopped:
		n.logDropped("member", n.duties.member.Put(blmember.UpstreamStopped{Incarnation: e.Incarnation}))
	}
}

// ordersQueued answers orders that were dropped because the queue of their worker was
// full: the reconciler waits for an answer before it sends more.
func (n *Node) ordersQueued(worker string, send blreconciler.Send, err error) {
	if err == nil {
		return
	}
	n.logDropped(worker, err)
	n.logDropped("reconciler", n.duties.reconciler.Put(send.Unsent()))
}

func (n *Node) performAdmit(effect bladmit.Effect) {
	switch e := effect.(type) {
	case bladmit.FindTarget:
		if err := n.duties.route.Put(e.Find); err != nil {
			e.Find.Reply.Put(blroute.Answer{Refusal: blvalue.NotRun(blvalue.ReasonOverload, err.Error())})
		}
	case bladmit.Refuse:
		e.Reply.Put(blroute.Answer{Refusal: e.Refusal, Account: e.Account, RetryAfter: e.RetryAfter})
	case bladmit.AnswerRecheck:
		e.Reply.Put(e.Refusal)
	case bladmit.Borrow:
		n.logDropped("borrow", n.workers.borrow.Put(e))
	case bladmit.AnswerSpend:
		e.Reply.Put(e.Answer)
	case bladmit.AskDelegate:
		n.askDelegate(e)
	}
}

// askDelegate queues a request to a delegate. A request that is dropped counts as
// one that the delegate didn't answer.
func (n *Node) askDelegate(ask bladmit.AskDelegate) {
	if err := n.workers.delegates.put(ask); err != nil {
		n.logDropped("delegate", err)
		n.logDropped("admit", n.duties.admit.Put(bladmit.DelegateAnswered{Account: ask.Account, Delegate: ask.Delegate, Failed: true}))
	}
}

func (n *Node) performRoute(effect blroute.Effect) {
	effect.Reply.Put(effect.Answer)
}

func (n *Node) performDeliver(effect bldeliver.Effect) {
	if effect.Upload.Cancel != nil {
		n.logEndedUpload(effect.Upload)
		effect.Upload.Cancel()
		return
	}
	effect.Reply.Put(effect.Answer)
}
