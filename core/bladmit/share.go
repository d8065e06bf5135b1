package bladmit

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// lendPatience is how long no lead may have lent anything before a node
	// spends from its own share of an account's rate.
	lendPatience = 300 * time.Millisecond
	// shareParts is the part of a node's even share of the rate that it may spend
	// while no lead lends: a lead that other nodes still hear lends the whole
	// rate to them.
	shareParts = 2
	// longShareParts holds once no lead has lent for longShareAfter. The node is
	// then likely to be cut off from a lead that lends to others.
	longShareParts = 10
	longShareAfter = 4 * time.Second
	// shareBurst is the time for which a node's own share may add up.
	shareBurst = time.Second
)

// ownShare is the immutable bucket of a node's own share of an account.
type ownShare struct {
	level    float64
	filledAt bltimer.Instant
}

// withToken returns the share after it gave a token, if it had one. The rate is
// in tokens a second.
func (o ownShare) withToken(rate float64, now bltimer.Instant) (ownShare, bool) {
	elapsed := min(max(now.Sub(o.filledAt), 0), shareBurst)
	o.level = min(o.level+elapsed.Seconds()*rate, max(rate*shareBurst.Seconds(), 1))
	o.filledAt = now
	if o.level < 1 {
		return o, false
	}
	o.level--
	return o, true
}

// withOwnToken returns the purse after a request that a token of the node's own
// share pays for, while no lead lends.
func (s State) withOwnToken(purse Purse, accountRate int64, now bltimer.Instant) (Purse, bool) {
	silent := now.Sub(max(s.lentAt, s.startedAt))
	if s.nodes == 0 || silent < lendPatience {
		return purse, false
	}
	parts := shareParts
	if silent > longShareAfter {
		parts = longShareParts
	}
	var spent bool
	purse.own, spent = purse.own.withToken(float64(accountRate)/float64(parts*s.nodes), now)
	return purse, spent
}
