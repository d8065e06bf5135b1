package blproof_test

import (
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// mutation disables a rule of the protocol, to verify that the model detects the
// resulting violations.
type mutation struct {
	name string
	// modifyOffer alters a grant offer in transit to its holder.
	modifyOffer func(blgrant.OffersReceived, bltimer.Instant) blgrant.OffersReceived
	// modifyAuthority alters the authority that is reported to the ownership duty.
	modifyAuthority func(bllead.Authority) bllead.Authority
	// modifyStandbyAnswer alters the answer of the standby to the lead.
	modifyStandbyAnswer func(bllead.StandbyAnswer) bllead.StandbyAnswer
	// modifyRecordOutcome and modifyChunkOutcome alter the reported outcome of a
	// write, such as one whose answer was lost.
	modifyRecordOutcome func(blplatform.Outcome) blplatform.Outcome
	modifyChunkOutcome  func(blplatform.Outcome) blplatform.Outcome
	// silenceMeansTerminated treats an address that does not answer as one whose
	// process has terminated.
	silenceMeansTerminated bool
	// ignoresSuspensions makes the clocks of nodes stand still while their hosts are
	// suspended, and seesSuspensionsLate until seenLateAfter has passed since.
	ignoresSuspensions  bool
	seesSuspensionsLate bool
	// holdsWhatIsLeft makes the hold time of a grant to an upstream what is left of the
	// node's own, whenever it arrives and however slow the upstream's clock is.
	holdsWhatIsLeft bool
	// reportHeldAsReleased makes holders report grants as released that they still
	// use.
	reportHeldAsReleased bool
}
