package bllead

import (
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Authority is what a process may do as lead.
type Authority struct {
	// Term is zero for a process that isn't lead.
	Term uint64
	// Until is when the authority expires unless it is extended.
	Until bltimer.Instant
	// MayChange is set when the lead may write to the store.
	MayChange bool
	// PriorExpiredAt is a time at which no earlier lead had authority any more.
	PriorExpiredAt bltimer.Instant
	Standby        blvalue.Host
	// Era is the latest known era of the store.
	Era blplatform.Era
}

// Holds reports whether the authority is valid at now.
func (a Authority) Holds(now bltimer.Instant) bool {
	return a.Term != 0 && now.Before(a.Until)
}

// SettledAt returns when all grants of earlier leads have expired, given their
// maximum duration.
func (a Authority) SettledAt(maxDuration time.Duration) bltimer.Instant {
	return a.PriorExpiredAt.Add(maxDuration)
}
