package bldeliver

import (
	"time"

	"bergamotlead/core/bltimer"
)

// pacerBurst is the number of requests that may go to a cold upstream at once
// after a pause.
const pacerBurst = 2

// Pacer bounds the requests a second to an upstream in cold start. It is
// immutable. The zero value bounds nothing.
type Pacer struct {
	perSecond float64
	// level is what may go at the moment at, in requests.
	level float64
	at    bltimer.Instant
}

// NewPacer returns a pacer of the given requests a second, or none for zero.
func NewPacer(perSecond float64) Pacer {
	return Pacer{perSecond: perSecond, level: 1}
}

// WithRate returns the pacer under another rate.
func (p Pacer) WithRate(perSecond float64) Pacer {
	p.perSecond = perSecond
	return p
}

func (p Pacer) paces() bool {
	return p.perSecond > 0
}

func (p Pacer) filled(now bltimer.Instant) Pacer {
	elapsed := float64(now.Sub(p.at)) / float64(time.Second)
	p.level = min(p.level+max(elapsed, 0)*p.perSecond, pacerBurst)
	p.at = max(p.at, now)
	return p
}

func (p Pacer) allows(now bltimer.Instant) bool {
	return !p.paces() || p.filled(now).level >= 1
}

// WithSent returns the pacer after one request.
func (p Pacer) WithSent(now bltimer.Instant) Pacer {
	if !p.paces() {
		return p
	}
	p = p.filled(now)
	p.level = max(p.level-1, 0)
	return p
}
