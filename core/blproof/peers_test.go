package blproof_test

import (
	"bergamotlead/core/bllead"
	"bergamotlead/core/blring"
)

// sendTo runs step on the node with the given address after a delay, unless the
// link between the two nodes is cut. A node that is down or has restarted by then
// does not run it and sends no reply.
func (n *node) sendTo(address string, step func(*node)) {
	for _, other := range n.sim.nodes {
		if other.host.Address != address || n.sim.cutLinks[linkKey(n.index, other.index)] {
			continue
		}
		other.scheduleStep(n.sim.delay(), func() { step(other) })
	}
}

// receiveReply runs step on this node after a delay, as the reply of the node
// from. The reply is lost if the link between the two nodes is cut or this node
// is no longer in the given generation.
func (n *node) receiveReply(from *node, generation int, step func()) {
	if n.sim.cutLinks[linkKey(n.index, from.index)] {
		return
	}
	n.sim.schedule(n.sim.delay(), func() { n.runStep(generation, step) })
}

// linkKey returns the key of the link between two nodes, independent of the
// direction.
func linkKey(a, b int) [2]int {
	return [2]int{min(a, b), max(a, b)}
}

func (n *node) askStandby(e bllead.AskStandby) {
	sentAt, generation := n.clock(), n.generation
	n.sendTo(e.Standby.Address, func(other *node) {
		reply := blring.NewReply[bllead.StandbyAnswer]()
		asked := bllead.StandbyAsked{
			Term: e.Term, Lead: n.host, Standby: e.Standby.Incarnation, WantPromise: e.WantPromise, Resigned: e.Resigned, Probe: e.Probe,
			Reply: reply,
		}
		var effects []bllead.Effect
		other.lead, effects = bllead.Decide(other.lead, asked, other.clock())
		for _, effect := range effects {
			answer, ok := effect.(bllead.AnswerStandby)
			if !ok {
				other.performLead(effect)
				continue
			}
			reported := answer.Answer
			if n.sim.mutation.modifyStandbyAnswer != nil {
				reported = n.sim.mutation.modifyStandbyAnswer(reported)
			}
			n.receiveReply(other, generation, func() {
				n.deliverToLead(bllead.StandbyAnswered{SentAt: sentAt, Asked: e.Standby.Incarnation, Answer: reported})
			})
		}
	})
}

func (n *node) identify(e bllead.Identify) {
	generation := n.generation
	replied := false
	n.sendTo(e.Host.Address, func(other *node) {
		incarnation := other.host.Incarnation
		n.receiveReply(other, generation, func() {
			replied = true
			n.deliverToLead(bllead.Identified{Asked: e.Host.Incarnation, Incarnation: incarnation})
		})
	})
	if n.sim.mutation.silenceMeansTerminated {
		n.scheduleStep(callTimeout, func() {
			if !replied {
				n.deliverToLead(bllead.Identified{Asked: e.Host.Incarnation, Incarnation: "nobody"})
			}
		})
	}
}
