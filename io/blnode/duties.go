package blnode

import (
	"time"

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
	"bergamotlead/core/bltimer"
)

// ringCapacity is the number of messages that can be queued for a duty.
const ringCapacity = 4096

// tickPeriod is the interval at which duties receive ticks.
const tickPeriod = 50 * time.Millisecond

// reloadPeriod is the interval at which the lead, or a node without one, rereads
// the configuration.
const reloadPeriod = 600 * time.Millisecond

type (
	placement = blassign.LeastMoves
	selection = blroute.LocalityFirst
	judge     = blrollout.SequentialTest
)

// duties are the threads that run the decision functions.
type duties struct {
	lead       *blduty.Duty[bllead.State, bllead.Message, bllead.Effect]
	assign     *blduty.Duty[blassign.State[placement], blassign.Message, blassign.Effect]
	rollout    *blduty.Duty[blrollout.Rollouts[judge], blrollout.Message, blrollout.Effect]
	quota      *blduty.Duty[blquota.State, blquota.Message, blquota.Effect]
	member     *blduty.Duty[blmember.State, blmember.Message, blmember.Effect]
	grant      *blduty.Duty[blgrant.State, blgrant.Message, blgrant.Effect]
	admit      *blduty.Duty[bladmit.State, bladmit.Message, bladmit.Effect]
	route      *blduty.Duty[blroute.State[selection], blroute.Message, blroute.Effect]
	deliver    *blduty.Duty[bldeliver.State, bldeliver.Message, bldeliver.Effect]
	reconciler *blduty.Duty[blreconciler.State, blreconciler.Message, blreconciler.Effect]
}

func (n *Node) newDuties() {
	n.duties = duties{
		lead: blduty.New("lead", ringCapacity, bllead.New(n.self, n.platform.Timing),
			bllead.Decide, n.performLead, n.clock),
		assign: blduty.New("assign", ringCapacity, blassign.New(placement{}).WithSelf(n.self.Incarnation),
			blassign.Decide[placement], n.performAssign, n.clock),
		rollout: blduty.New("rollout", ringCapacity, blrollout.NewWith(judge{}), blrollout.Decide[judge], n.performRollout, n.clock),
		quota:   blduty.New("quota", ringCapacity, blquota.New(), blquota.Decide, n.performQuota, n.clock),
		member: blduty.New("member", ringCapacity, blmember.New(n.self).WithUpstreamTimeouts(n.platform.UpstreamTimeouts),
			blmember.Decide, n.performMember, n.clock),
		grant: blduty.New("grant", ringCapacity, blgrant.New(), blgrant.Decide, n.performGrant, n.clock),
		admit: blduty.New("admit", ringCapacity, n.newAdmission(), bladmit.Decide, n.performAdmit, n.clock),
		route: blduty.New("route", ringCapacity, blroute.New(selection{Domain: n.self.Domain}),
			blroute.Decide[selection], n.performRoute, n.clock),
		deliver:    blduty.New("deliver", ringCapacity, bldeliver.New().WithDomain(n.self.Domain), bldeliver.Decide, n.performDeliver, n.clock),
		reconciler: blduty.New("reconciler", ringCapacity, n.newReconciliation(), n.decideReconciliation, n.performReconciler, n.clock),
	}
}

// decideReconciliation is the decision of the reconciler duty, by what the clock tells of
// suspensions of the host.
func (n *Node) decideReconciliation(
	s blreconciler.State, m blreconciler.Message, now bltimer.Instant,
) (blreconciler.State, []blreconciler.Effect) {
	return blreconciler.Decide(s.WithSuspended(n.clock.Suspended(), now), m, now)
}

// newReconciliation returns the initial state of the reconciler duty.
func (n *Node) newReconciliation() blreconciler.State {
	timing := blreconciler.Timing{GrantTTL: n.platform.Timing.GrantTTL, ClockMargin: n.platform.Timing.ClockMargin}
	state := blreconciler.New(timing, n.clock.Now())
	return state.WithAddress(n.platform.UpstreamAddress).WithSuspendedBefore(n.clock.SuspendedBefore())
}

// newAdmission returns the initial state of the admission duty. Where only the lead
// reads configurations, requests wait for a lead, since a node without one doesn't
// know of withdrawn keys.
func (n *Node) newAdmission() bladmit.State {
	admission := bladmit.New(n.self)
	if n.platform.AllNodesReadConfig {
		return admission.WithFallback()
	}
	return admission
}

func (d duties) start() {
	d.lead.Start()
	d.assign.Start()
	d.rollout.Start()
	d.quota.Start()
	d.member.Start()
	d.grant.Start()
	d.admit.Start()
	d.route.Start()
	d.deliver.Start()
	d.reconciler.Start()
}

// stop stops the duties in the order of the message flow, senders first.
func (d duties) stop() {
	d.member.Stop()
	d.lead.Stop()
	d.rollout.Stop()
	d.assign.Stop()
	d.quota.Stop()
	d.admit.Stop()
	d.route.Stop()
	d.deliver.Stop()
	d.grant.Stop()
	d.reconciler.Stop()
}

// subscribeTicks subscribes the duties to ticks. Duties that are idle at times
// receive ticks only while they wait for something.
func (n *Node) subscribeTicks() {
	bltimer.Subscribe(n.timer, tickPeriod, n.duties.lead.Ring(),
		func(bltimer.Tick) bllead.Message { return bllead.Tick{} })
	bltimer.Subscribe(n.timer, tickPeriod, n.duties.member.Ring(),
		func(tick bltimer.Tick) blmember.Message {
			n.stateLog.logSuspension(tick.Suspended)
			return blmember.Tick{}
		})
	bltimer.SubscribeWhile(n.timer, tickPeriod, n.duties.assign.Ring(),
		func(bltimer.Tick) blassign.Message { return blassign.Tick{} }, n.isLead)
	bltimer.SubscribeWhile(n.timer, tickPeriod, n.duties.rollout.Ring(),
		func(bltimer.Tick) blrollout.Message { return blrollout.Tick{} },
		func() bool { return n.duties.rollout.View().Busy() })
	// A watch can miss changes when the store compacts its history. The lead
	// therefore rereads the configuration periodically, and so does a node that
	// hears from no lead, or only from one that doesn't reach the store.
	bltimer.SubscribeWhile(n.timer, reloadPeriod, n.workers.reload.Ring(),
		func(bltimer.Tick) reloadJob { return reloadJob{} }, n.reloadDue)
	bltimer.SubscribeWhile(n.timer, tickPeriod, n.duties.reconciler.Ring(),
		func(bltimer.Tick) blreconciler.Message { return blreconciler.Tick{} },
		func() bool { return n.duties.reconciler.View().Busy() })
	bltimer.SubscribeWhile(n.timer, tickPeriod, n.duties.grant.Ring(),
		func(bltimer.Tick) blgrant.Message { return blgrant.Tick{} },
		func() bool { return n.duties.grant.View().Running() > 0 })
	bltimer.SubscribeWhile(n.timer, tickPeriod, n.duties.admit.Ring(),
		func(bltimer.Tick) bladmit.Message { return bladmit.Tick{} },
		func() bool { return n.duties.admit.View().Busy(n.clock.Now()) })
	bltimer.SubscribeWhile(n.timer, tickPeriod, n.duties.deliver.Ring(),
		func(bltimer.Tick) bldeliver.Message { return bldeliver.Tick{} },
		func() bool { return n.duties.deliver.View().Waiting() > 0 })
}
