package blproof_test

import (
	"fmt"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// node is one simulated process and the upstream beside it.
type node struct {
	sim         *simulation
	index       int
	generation  int
	host        blvalue.Host
	clockRate   float64
	clockOffset time.Duration
	pausedUntil time.Duration
	suspensions []suspension
	down        bool
	// server is the upstream beside the node if it keeps its grants itself, and
	// stoodStillAtStart for how long the host had been suspended when the process started.
	server            *upstream
	stoodStillAtStart time.Duration
	// term is the term in which the node is lead, or zero.
	term uint64

	lead   bllead.State
	assign blassign.State[placement]
	member blmember.State
	grant  blgrant.State

	reconciler blreconciler.State
}

// start starts or restarts the node as a new incarnation without any state of
// the previous one.
func (n *node) start() {
	n.generation++
	n.down = false
	n.term = 0
	n.host = blvalue.Host{
		Name: blvalue.HostName(fmt.Sprintf("host_%d", n.index)), Address: fmt.Sprintf("address_%d", n.index),
		Incarnation: blvalue.Incarnation(fmt.Sprintf("%d.%d", n.index, n.generation)),
		Domain:      blvalue.DomainName([]string{"a", "b", "c"}[n.index%3]),
	}
	if n.sim.holdLimit > 0 {
		// With a hold limit the nodes differ in capacity, and leadership moves to
		// nodes of higher capacity.
		n.host.Capacity = []int{16, 80, 16, 40}[n.index%4]
	}
	n.lead = bllead.New(n.host, bllead.Timing{Lease: leaseTTL, GrantTTL: grantTTL, ClockMargin: clockMargin, HoldLimit: n.sim.holdLimit})
	n.assign = blassign.New(placement{}).WithSelf(n.host.Incarnation)
	n.member = blmember.New(n.host)
	n.grant = blgrant.New()
	n.stoodStillAtStart = n.stoodStill()
	n.reconciler = n.newReconciler()
}

// clock returns the local time of the node, which has an offset and drifts by up
// to 1 %.
func (n *node) clock() bltimer.Instant {
	return bltimer.Instant(n.clockOffset + time.Duration(float64(n.sim.now-n.uncounted())*n.clockRate))
}

// scheduleStep runs step on this node after d, or at the end of a pause of the
// node. The step is discarded if the node is down or has restarted by then.
func (n *node) scheduleStep(d time.Duration, step func()) {
	generation := n.generation
	n.sim.schedule(d, func() { n.runStep(generation, step) })
}

func (n *node) runStep(generation int, step func()) {
	if n.down || n.generation != generation {
		return
	}
	if n.pausedUntil > n.sim.now {
		n.sim.schedule(n.pausedUntil-n.sim.now, func() { n.runStep(generation, step) })
		return
	}
	step()
}

func (n *node) tick() {
	n.sim.schedule(tickInterval, n.tick)
	if n.down || n.pausedUntil > n.sim.now {
		return
	}
	n.deliverToLead(bllead.Tick{})
	n.deliverToAssign(blassign.Tick{})
	n.deliverToMember(blmember.Announced{Announcement: blmember.Announcement{Upstream: n.upstream()}})
	n.deliverToMember(blmember.Tick{})
	n.deliverToGrant(blgrant.Tick{})
	n.tickReconciler()
	n.startRandomRequest()
}

func (n *node) upstream() blvalue.Upstream {
	listed := blvalue.Upstream{
		Name: blvalue.UpstreamName(fmt.Sprintf("pot_%d", n.index)), Service: "pot", Slots: 6, ChecksFence: true,
		Incarnation: blvalue.Incarnation(fmt.Sprintf("upstream_%d", n.index)),
	}
	if n.server != nil {
		listed.KeepsGrants, listed.ID, listed.StartedAt = true, blvalue.UpstreamID(listed.Incarnation), 1
	}
	return listed
}

// startRandomRequest starts a request on a random partition. If the node holds a
// grant for it, the request runs for a random time below 600 ms.
func (n *node) startRandomRequest() {
	p := blvalue.Partition(n.sim.random.IntN(partitions))
	reply := blring.NewReply[blgrant.BeginAnswer]()
	var effects []blgrant.Effect
	n.grant, effects = blgrant.Decide(n.grant, blgrant.Begin{Service: "pot", Partition: p, Reply: reply}, n.clock())
	answer := effects[0].(blgrant.AnswerBegin).Answer
	if answer.Refusal != nil {
		n.sim.refused++
		return
	}
	n.sim.served++
	n.checkFence(p, answer.Permit.Fence)
	n.scheduleStep(time.Duration(n.sim.random.IntN(int(600*time.Millisecond))), func() {
		n.deliverToGrant(blgrant.End{Permit: answer.Permit.ID})
	})
}
