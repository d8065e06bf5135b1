package blproof_test

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

var debug bool

func (n *node) deliverToMember(message blmember.Message) {
	var effects []blmember.Effect
	n.member, effects = blmember.Decide(n.member, message, n.clock())
	for _, effect := range effects {
		n.performMember(effect)
	}
}

func (n *node) deliverToGrant(message blgrant.Message) {
	var effects []blgrant.Effect
	n.grant, effects = blgrant.Decide(n.grant, message, n.clock())
	for _, effect := range effects {
		switch e := effect.(type) {
		case blgrant.Released:
			n.deliverToMember(blmember.HeartbeatRequested{})
		case blgrant.GrantChanged:
			n.grantChanged(e.Grant)
		}
	}
	n.sim.checkOwners()
}

// callStore simulates a call to the store. The function request runs at the store
// after a delay, and the answer that it returns runs on this node after another
// delay. A nil answer is lost. onFailure is called with sent set to false after a
// quarter of callTimeout if the store is unreachable at the time of the call, and
// with sent set to true if there is no answer within callTimeout. Writes may take
// effect after their caller has timed out.
func (n *node) callStore(write bool, request func() func(), onFailure func(sent bool)) {
	sim := n.sim
	requestDelay := sim.delay()
	if write && sim.occurs(sim.lateWritesPerThousand) {
		requestDelay = time.Duration(sim.random.IntN(int(3 * time.Second)))
	}
	if sim.storeDown || sim.cutStoreLinks[n.index] {
		n.scheduleStep(callTimeout/4, func() { onFailure(false) })
		return
	}
	answered := false
	generation := n.generation
	sim.schedule(requestDelay, func() {
		if sim.storeDown || sim.cutStoreLinks[n.index] {
			return
		}
		answer := request()
		answerLost := sim.occurs(sim.lostAnswersPerThousand)
		sim.schedule(sim.delay(), func() {
			if answerLost || answered || answer == nil {
				return
			}
			n.runStep(generation, func() {
				if !answered {
					answered = true
					answer()
				}
			})
		})
	})
	n.scheduleTimeout(callTimeout, func() {
		if !answered {
			answered = true
			onFailure(true)
		}
	})
}

func (n *node) performMember(effect blmember.Effect) {
	switch e := effect.(type) {
	case blmember.SendHeartbeat:
		n.sendHeartbeat(e)
	case blmember.UpstreamsSeen:
		upstreams := make([]blvalue.Upstream, 0, len(e.Announcements))
		for _, a := range e.Announcements {
			upstreams = append(upstreams, a.Upstream)
		}
		n.deliverToGrant(blgrant.UpstreamsSeen{Upstreams: upstreams})
		for _, seen := range upstreams {
			n.upstreamSeen(seen)
		}
	case blmember.GrantsOffered:
		offered := e.Offered
		if n.sim.mutation.modifyOffer != nil {
			offered = n.sim.mutation.modifyOffer(offered, n.clock())
		}
		n.deliverToGrant(offered)
	case blmember.LeadResponded:
		n.deliverToLead(bllead.LeadResponded{Term: e.Term})
	}
}

func (n *node) sendHeartbeat(e blmember.SendHeartbeat) {
	generation := n.generation
	heartbeat := e.Heartbeat
	var effects []blgrant.Effect
	n.grant, effects = blgrant.Decide(n.grant, blgrant.ReportRequested{}, n.clock())
	heartbeat.Held = effects[0].(blgrant.Report).Held
	for i := range heartbeat.Held {
		if !e.ListHeld {
			heartbeat.Held[i].HasSet, heartbeat.Held[i].Set = false, blvalue.PartitionSet{}
		}
	}
	if n.sim.mutation.reportHeldAsReleased {
		for i := range heartbeat.Held {
			heartbeat.Held[i].Fence.Sequence += 1000
		}
	}
	answered := false
	n.sendTo(e.To.Address, func(other *node) {
		heartbeat.Reply = blring.NewReply[blassign.HeartbeatReply]()
		other.deliverToAssign(heartbeat)
		from := other.host
		reply, err := heartbeat.Reply.Await(shortContext())
		n.receiveReply(other, generation, func() {
			if answered {
				return
			}
			answered = true
			n.deliverToMember(blmember.HeartbeatAnswered{SentAt: e.SentAt, From: from, Reply: reply, Failed: err != nil})
		})
	})
	// While a mutation modifies offers, a heartbeat doesn't time out, so that late
	// replies also reach the node.
	n.scheduleTimeout(callTimeout, func() {
		if !answered && n.sim.mutation.modifyOffer == nil {
			answered = true
			n.deliverToMember(blmember.HeartbeatAnswered{SentAt: e.SentAt, From: e.To, Failed: true})
		}
	})
}
