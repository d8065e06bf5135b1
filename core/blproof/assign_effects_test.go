package blproof_test

import (
	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blplatform"
)

func (n *node) deliverToAssign(message blassign.Message) {
	var effects []blassign.Effect
	n.assign, effects = n.assign.Decide(message, n.clock())
	for _, effect := range effects {
		n.performAssign(effect)
	}
}

func (n *node) performAssign(effect blassign.Effect) {
	sim := n.sim
	switch e := effect.(type) {
	case blassign.LoadConfig:
		n.callStore(false, func() func() {
			return func() {
				n.deliverToAssign(blassign.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: plan()}.WithMaxGrantTTL(0)})
			}
		}, func(bool) {})
	case blassign.LoadChunk:
		n.callStore(false, func() func() {
			loaded := blassign.ChunkLoaded{Term: e.Term, ID: e.ID, Chunk: sim.store.chunk(e.ID.Index)}
			return func() { n.deliverToAssign(loaded) }
		}, func(bool) { n.deliverToAssign(blassign.ChunkLoaded{Term: e.Term, ID: e.ID, Failed: true}) })
	case blassign.WriteChunk:
		n.writeChunk(e)
	case blassign.Nudge:
		for _, host := range e.Nodes {
			n.sendTo(host.Address, func(other *node) { other.deliverToMember(blmember.HeartbeatRequested{}) })
		}
	case blassign.PeersSeen:
		n.deliverToLead(bllead.PeersSeen{Peers: e.Peers, Known: e.Known, Active: e.Active, Candidate: e.Candidate, Retiring: e.Retiring})
	case blassign.AnswerHeartbeat:
		e.Reply.Put(e.HeartbeatReply)
	}
}

func (n *node) writeChunk(e blassign.WriteChunk) {
	sim := n.sim
	report := func(outcome blplatform.Outcome, current blassign.Chunk) {
		if sim.mutation.modifyChunkOutcome != nil {
			outcome = sim.mutation.modifyChunkOutcome(outcome)
		}
		n.deliverToAssign(blassign.ChunkWritten{
			Term: e.Chunk.Term, ID: e.ID, WriteID: e.Chunk.WriteID, Outcome: outcome, Current: current,
		})
	}
	n.callStore(true, func() func() {
		outcome := blplatform.Conflicted
		if sim.store.writeChunk(e.ID.Index, e.Base, e.Chunk) {
			outcome = blplatform.Written
		}
		current := sim.store.chunk(e.ID.Index)
		return func() { report(outcome, current) }
	}, func(sent bool) {
		if sent {
			report(blplatform.Unresolved, blassign.Chunk{})
			return
		}
		report(blplatform.NotSent, blassign.Chunk{})
	})
}
