package blproof_test

import (
	"fmt"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmember"
	"bergamotlead/core/blplatform"
)

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
