package blproof_test

import (
	"fmt"
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

var debug bool

func (n *node) deliverToLead(message bllead.Message) {
	defer func(r bllead.Role) {
		if debug && n.sim.now > 6*time.Second {
			if _, tick := message.(bllead.Tick); !tick || r != n.lead.Role() {
				println(n.sim.now.String(), n.index, fmt.Sprintf("%T %+v", message, message), string(r), "->", string(n.lead.Role()))
			}
		}
	}(n.lead.Role())
	var effects []bllead.Effect
	n.lead, effects = bllead.Decide(n.lead, message, n.clock())
	n.sim.checkLeads()
	for _, effect := range effects {
		n.performLead(effect)
	}
}

func (n *node) deliverToAssign(message blassign.Message) {
	var effects []blassign.Effect
	n.assign, effects = n.assign.Decide(message, n.clock())
	for _, effect := range effects {
		n.performAssign(effect)
	}
}

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

func (n *node) performLead(effect bllead.Effect) {
	sim := n.sim
	sentAt := n.clock()
	switch e := effect.(type) {
	case bllead.ReadRecord:
		n.callStore(false, func() func() {
			read := bllead.RecordRead{SentAt: sentAt, LeaseHolder: sim.store.currentHolder(sim.now), LeaseClaim: sim.store.data.leaseClaim,
				LeaseRevision: sim.store.leaseRevision(sim.now), Stored: sim.store.record()}
			return func() { n.deliverToLead(read) }
		}, func(bool) { n.deliverToLead(bllead.RecordRead{SentAt: sentAt, Failed: true}) })
	case bllead.AcquireLease:
		n.callStore(true, func() func() {
			id, ok := sim.store.acquireLease(e.Claim, e.Revision, leaseTTL, sim.now)
			result := bllead.LeaseAcquired{
				SentAt: sentAt, Claim: e.Claim, Lease: id, LeaseRevision: sim.store.leaseRevision(sim.now), Stored: sim.store.record(),
				Failed: !ok,
			}
			return func() { n.deliverToLead(result) }
		}, func(bool) { n.deliverToLead(bllead.LeaseAcquired{SentAt: sentAt, Claim: e.Claim, Failed: true}) })
	case bllead.RenewLease:
		n.callStore(true, func() func() {
			ok := sim.store.renewLease(e.Lease, leaseTTL, sim.now)
			stored, era := sim.store.record(), sim.store.era
			return func() {
				n.deliverToLead(bllead.LeaseRenewed{SentAt: sentAt, Lease: e.Lease, Era: era, Lost: !ok, Read: !ok, Stored: stored})
			}
		}, func(bool) { n.deliverToLead(bllead.LeaseRenewed{SentAt: sentAt, Lease: e.Lease, Failed: true}) })
	case bllead.EndLease:
		n.callStore(true, func() func() { sim.store.endLease(e.Lease); return func() {} }, func(bool) {})
	case bllead.WriteRecord:
		n.writeRecord(e)
	case bllead.AskStandby:
		n.askStandby(e)
	case bllead.Identify:
		n.identify(e)
	case bllead.AuthorityChanged:
		authority := e.Authority
		if sim.mutation.modifyAuthority != nil {
			authority = sim.mutation.modifyAuthority(authority)
		}
		n.checkTerm(authority.Term)
		n.deliverToAssign(blassign.AuthorityChanged{Authority: authority})
	case bllead.RecordSeen:
		n.deliverToMember(blmember.RecordSeen{Record: e.Record})
	}
}

func (n *node) writeRecord(e bllead.WriteRecord) {
	sim := n.sim
	report := func(outcome blplatform.Outcome, current bllead.Stored) {
		if sim.mutation.modifyRecordOutcome != nil {
			outcome = sim.mutation.modifyRecordOutcome(outcome)
		}
		n.deliverToLead(bllead.RecordWritten{WriteID: e.Record.WriteID, Outcome: outcome, Current: current})
	}
	n.callStore(true, func() func() {
		outcome := blplatform.Conflicted
		if sim.store.writeRecord(e.Base, e.Record) {
			outcome = blplatform.Written
		}
		current := sim.store.record()
		if sim.recordAnswersToLose > 0 {
			sim.recordAnswersToLose--
			return nil
		}
		return func() { report(outcome, current) }
	}, func(sent bool) {
		if sent {
			report(blplatform.Unresolved, bllead.Stored{})
			return
		}
		report(blplatform.NotSent, bllead.Stored{})
	})
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
