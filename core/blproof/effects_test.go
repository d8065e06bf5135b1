package blproof_test

import (
	"strconv"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

func (n *node) tellLead(message bllead.Message) {
	var effects []bllead.Effect
	n.lead, effects = bllead.Decide(n.lead, message, n.clock())
	n.world.checkLeads()
	for _, effect := range effects {
		n.performLead(effect)
	}
}

func (n *node) tellAssign(message blassign.Message) {
	var effects []blassign.Effect
	n.assign, effects = n.assign.Decide(message, n.clock())
	for _, effect := range effects {
		n.performAssign(effect)
	}
}

func (n *node) tellMember(message blmember.Message) {
	var effects []blmember.Effect
	n.member, effects = blmember.Decide(n.member, message, n.clock())
	for _, effect := range effects {
		n.performMember(effect)
	}
}

func (n *node) tellGrant(message blgrant.Message) {
	var effects []blgrant.Effect
	n.grant, effects = blgrant.Decide(n.grant, message, n.clock())
	for _, effect := range effects {
		if _, ok := effect.(blgrant.Released); ok {
			n.tellMember(blmember.ReportSoon{})
		}
	}
	n.world.checkOwners()
}

// atStore runs a call at the store: request gets there after a delay, answer
// comes back after another. A call that fails gets answered with nil after the
// timeout. Writes may take effect after their caller has given up.
func (n *node) atStore(write bool, request func() func(), failed func(sent bool)) {
	w := n.world
	there := w.delay()
	if write && w.chance(w.lateWrites) {
		there = time.Duration(w.random.IntN(int(3 * time.Second)))
	}
	if w.storeDown || w.storeCut[n.index] {
		n.later(callTimeout/4, func() { failed(false) })
		return
	}
	answered := false
	run := n.run
	w.after(there, func() {
		if w.storeDown || w.storeCut[n.index] {
			return
		}
		answer := request()
		lost := w.chance(w.loseAnswers)
		w.after(w.delay(), func() {
			if lost || answered || answer == nil {
				return
			}
			n.step(run, func() {
				if !answered {
					answered = true
					answer()
				}
			})
		})
	})
	n.later(callTimeout, func() {
		if !answered {
			answered = true
			failed(true)
		}
	})
}

func (n *node) performLead(effect bllead.Effect) {
	w := n.world
	sentAt := n.clock()
	switch e := effect.(type) {
	case bllead.ReadRecord:
		n.atStore(false, func() func() {
			read := bllead.RecordRead{SentAt: sentAt, LeaseHolder: w.store.holder(w.now), LeaseClaim: w.store.leaseClaim,
				LeaseRevision: w.store.leaseRevision(w.now), Stored: w.store.record}
			return func() { n.tellLead(read) }
		}, func(bool) { n.tellLead(bllead.RecordRead{SentAt: sentAt, Failed: true}) })
	case bllead.AcquireLease:
		n.atStore(true, func() func() {
			id, ok := w.store.acquire(e.Claim, e.Revision, lease, w.now)
			result := bllead.LeaseAcquired{
				SentAt: sentAt, Claim: e.Claim, Lease: blplatform.LeaseID(strconv.Itoa(id)), Stored: w.store.record, Failed: !ok,
			}
			return func() { n.tellLead(result) }
		}, func(bool) { n.tellLead(bllead.LeaseAcquired{SentAt: sentAt, Claim: e.Claim, Failed: true}) })
	case bllead.RenewLease:
		id, _ := strconv.Atoi(string(e.Lease))
		n.atStore(true, func() func() {
			ok := w.store.renew(id, lease, w.now)
			return func() { n.tellLead(bllead.LeaseRenewed{SentAt: sentAt, Lease: e.Lease, Lost: !ok}) }
		}, func(bool) { n.tellLead(bllead.LeaseRenewed{SentAt: sentAt, Lease: e.Lease, Failed: true}) })
	case bllead.EndLease:
		id, _ := strconv.Atoi(string(e.Lease))
		n.atStore(true, func() func() { w.store.end(id); return func() {} }, func(bool) {})
	case bllead.WriteRecord:
		n.writeRecord(e)
	case bllead.AskStandby:
		n.askStandby(e)
	case bllead.Identify:
		n.identify(e)
	case bllead.AuthorityChanged:
		authority := e.Authority
		if w.sabotage.authority != nil {
			authority = w.sabotage.authority(authority)
		}
		n.tellAssign(blassign.AuthorityChanged{Authority: authority})
	case bllead.RecordSeen:
		n.tellMember(blmember.RecordSeen{Record: e.Record})
	}
}

func (n *node) writeRecord(e bllead.WriteRecord) {
	w := n.world
	tell := func(outcome blplatform.Outcome, current bllead.Stored) {
		if w.sabotage.recordOutcome != nil {
			outcome = w.sabotage.recordOutcome(outcome)
		}
		n.tellLead(bllead.RecordWritten{WriteID: e.Record.WriteID, Outcome: outcome, Current: current})
	}
	n.atStore(true, func() func() {
		outcome := blplatform.Conflicted
		if w.store.writeRecord(e.Base, e.Record) {
			outcome = blplatform.Written
		}
		current := w.store.record
		if w.loseRecords > 0 {
			w.loseRecords--
			return nil
		}
		return func() { tell(outcome, current) }
	}, func(sent bool) {
		if sent {
			tell(blplatform.Unresolved, bllead.Stored{})
			return
		}
		tell(blplatform.NotSent, bllead.Stored{})
	})
}

// toNode runs a step at the node of the given address, unless the two are cut
// off from one another. A node that doesn't take it in time stays silent.
func (n *node) toNode(address string, step func(*node)) {
	for _, other := range n.world.nodes {
		if other.host.Address != address || n.world.cut[pair(n.index, other.index)] {
			continue
		}
		other.later(n.world.delay(), func() { step(other) })
	}
}

// back runs a step at this node in answer to another.
func (n *node) back(from *node, run int, step func()) {
	if n.world.cut[pair(n.index, from.index)] {
		return
	}
	n.world.after(n.world.delay(), func() { n.step(run, step) })
}

func pair(a, b int) [2]int {
	return [2]int{min(a, b), max(a, b)}
}

func (n *node) askStandby(e bllead.AskStandby) {
	sentAt, run := n.clock(), n.run
	n.toNode(e.Standby.Address, func(other *node) {
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
			said := answer.Answer
			if n.world.sabotage.answer != nil {
				said = n.world.sabotage.answer(said)
			}
			n.back(other, run, func() {
				n.tellLead(bllead.StandbyAnswered{SentAt: sentAt, Asked: e.Standby.Incarnation, Answer: said})
			})
		}
	})
}

func (n *node) identify(e bllead.Identify) {
	run := n.run
	heard := false
	n.toNode(e.Address, func(other *node) {
		incarnation := other.host.Incarnation
		n.back(other, run, func() {
			heard = true
			n.tellLead(bllead.Identified{Address: e.Address, Incarnation: incarnation})
		})
	})
	if n.world.sabotage.silenceIsEnd {
		n.later(callTimeout, func() {
			if !heard {
				n.tellLead(bllead.Identified{Address: e.Address, Incarnation: "nobody"})
			}
		})
	}
}

func (n *node) performAssign(effect blassign.Effect) {
	w := n.world
	switch e := effect.(type) {
	case blassign.LoadConfig:
		n.atStore(false, func() func() {
			return func() {
				n.tellAssign(blassign.ConfigSeen{Accepted: blconfig.Accepted{Revision: 1, Plan: plan()}.WithGrantBound(0)})
			}
		}, func(bool) {})
	case blassign.LoadChunk:
		n.atStore(false, func() func() {
			loaded := blassign.ChunkLoaded{Term: e.Term, ID: e.ID, Chunk: w.store.chunks[e.ID.Index]}
			return func() { n.tellAssign(loaded) }
		}, func(bool) { n.tellAssign(blassign.ChunkLoaded{Term: e.Term, ID: e.ID, Failed: true}) })
	case blassign.WriteChunk:
		n.writeChunk(e)
	case blassign.Nudge:
		for _, host := range e.Nodes {
			n.toNode(host.Address, func(other *node) { other.tellMember(blmember.ReportSoon{}) })
		}
	case blassign.PeersSeen:
		n.tellLead(bllead.PeersSeen{Peers: e.Peers, Known: e.Known, Heard: e.Heard, Fresh: e.Fresh})
	case blassign.Answer:
		e.Reply.Put(e.HeartbeatReply)
	}
}

func (n *node) writeChunk(e blassign.WriteChunk) {
	w := n.world
	tell := func(outcome blplatform.Outcome, current blassign.Chunk) {
		if w.sabotage.chunkOutcome != nil {
			outcome = w.sabotage.chunkOutcome(outcome)
		}
		n.tellAssign(blassign.ChunkWritten{
			Term: e.Chunk.Term, ID: e.ID, WriteID: e.Chunk.WriteID, Outcome: outcome, Current: current,
		})
	}
	n.atStore(true, func() func() {
		outcome := blplatform.Conflicted
		if w.store.writeChunk(e.ID.Index, e.Base, e.Chunk) {
			outcome = blplatform.Written
		}
		current := w.store.chunks[e.ID.Index]
		return func() { tell(outcome, current) }
	}, func(sent bool) {
		if sent {
			tell(blplatform.Unresolved, blassign.Chunk{})
			return
		}
		tell(blplatform.NotSent, blassign.Chunk{})
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
		n.tellGrant(blgrant.UpstreamsSeen{Upstreams: upstreams})
	case blmember.GrantsOffered:
		offered := e.Offered
		if n.world.sabotage.offered != nil {
			offered = n.world.sabotage.offered(offered, n.clock())
		}
		n.tellGrant(offered)
	case blmember.LeadHeard:
		n.tellLead(bllead.LeadHeard{Term: e.Term})
	}
}

func (n *node) sendHeartbeat(e blmember.SendHeartbeat) {
	run := n.run
	heartbeat := e.Heartbeat
	var effects []blgrant.Effect
	n.grant, effects = blgrant.Decide(n.grant, blgrant.ReportAsked{}, n.clock())
	heartbeat.Held = effects[0].(blgrant.Report).Held
	for i := range heartbeat.Held {
		if !e.ListHeld {
			heartbeat.Held[i].HasSet, heartbeat.Held[i].Set = false, blvalue.PartitionSet{}
		}
	}
	if n.world.sabotage.releasedEarly {
		for i := range heartbeat.Held {
			heartbeat.Held[i].Fence.Sequence += 1000
		}
	}
	answered := false
	n.toNode(e.To.Address, func(other *node) {
		heartbeat.Reply = blring.NewReply[blassign.HeartbeatReply]()
		other.tellAssign(heartbeat)
		from := other.host
		reply, err := heartbeat.Reply.Await(closedContext())
		n.back(other, run, func() {
			if answered {
				return
			}
			answered = true
			n.tellMember(blmember.Answered{SentAt: e.SentAt, From: from, Reply: reply, Failed: err != nil})
		})
	})
	n.later(callTimeout, func() {
		if !answered && n.world.sabotage.offered == nil {
			answered = true
			n.tellMember(blmember.Answered{SentAt: e.SentAt, From: e.To, Failed: true})
		}
	})
}
