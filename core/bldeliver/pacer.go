package bldeliver

import (
	"time"

	"bergamotlead/core/bltimer"
)

// pacerBurst is the number of requests that may be sent to a cold upstream at
// once after an idle period.
const pacerBurst = 2

// Pacer is an immutable token bucket that limits the request rate to an upstream
// in cold start. The zero value imposes no limit.
type Pacer struct {
	perSecond float64
	// tokens is the number of requests that may be sent at refilledAt.
	tokens     float64
	refilledAt bltimer.Instant
}

// NewPacer returns a pacer for the given rate in requests per second. A rate of
// zero imposes no limit.
func NewPacer(perSecond float64) Pacer {
	return Pacer{perSecond: perSecond, tokens: 1}
}

// WithRate returns the pacer with a new rate and its tokens unchanged.
func (p Pacer) WithRate(perSecond float64) Pacer {
	p.perSecond = perSecond
	return p
}

func (p Pacer) enabled() bool {
	return p.perSecond > 0
}

func (p Pacer) refilled(now bltimer.Instant) Pacer {
	elapsed := float64(now.Sub(p.refilledAt)) / float64(time.Second)
	p.tokens = min(p.tokens+max(elapsed, 0)*p.perSecond, pacerBurst)
	p.refilledAt = max(p.refilledAt, now)
	return p
}

func (p Pacer) allows(now bltimer.Instant) bool {
	return !p.enabled() || p.refilled(now).tokens >= 1
}

// WithSent returns the pacer after one request was sent at now.
func (p Pacer) WithSent(now bltimer.Instant) Pacer {
	if !p.enabled() {
		return p
	}
	p = p.refilled(now)
	p.tokens = max(p.tokens-1, 0)
	return p
}
