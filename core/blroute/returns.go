package blroute

import (
	"time"

	"bergamotlead/core/blvalue"
)

const (
	// recoveryTime is about the time in which the fleet recovers from the loss of its
	// lead or of an owner, and briefOverload the time in which a queue moves on.
	recoveryTime  = 700 * time.Millisecond
	briefOverload = 100 * time.Millisecond
	// returnDivisor gives the part of the time left, one in three, after which a caller
	// comes back at the latest.
	returnDivisor = 3
)

// ReturnAfter returns how long the caller of a request that was refused should wait
// before it comes back. It is the suggestion of the duty that refused the request, if
// there is one. Otherwise it depends on the reason, and on draw, so that callers who
// were refused together come back one after the other. Left is the time that the
// caller has.
func ReturnAfter(refusal *blvalue.Refusal, suggested, left time.Duration, draw uint64) time.Duration {
	if suggested > 0 || refusal.Outcome != blvalue.OutcomeNotRun {
		return suggested
	}
	var about time.Duration
	switch refusal.Reason {
	case blvalue.ReasonStale, blvalue.ReasonNoOwner, blvalue.ReasonNotOwner, blvalue.ReasonNoUpstream,
		blvalue.ReasonUnreachable, blvalue.ReasonUpstreamFailed, blvalue.ReasonGrantExpired:
		about = recoveryTime
	case blvalue.ReasonOverload, blvalue.ReasonRateLimited, blvalue.ReasonHeldBack:
		about = briefOverload
	case blvalue.ReasonMalformed, blvalue.ReasonUnknownRoute, blvalue.ReasonUnknownKey, blvalue.ReasonTimeout,
		blvalue.ReasonCancelled, blvalue.ReasonLeaving:
		return 0
	}
	spread := time.Duration(blvalue.Mix(draw) % uint64(about))
	return min(about/2+spread, max(left, 0)/returnDivisor)
}
