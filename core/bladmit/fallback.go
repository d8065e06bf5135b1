package bladmit

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// fallbackDelay is how long no lead must have lent tokens before a node
	// limits accounts by its own fallback rate.
	fallbackDelay = 300 * time.Millisecond
	// fallbackDivisor reduces a node's even share of the account's rate to the
	// fallback rate: a lead that other nodes can still reach lends the whole rate
	// to them.
	fallbackDivisor = 2
	// prolongedFallbackDivisor applies once no lead has lent tokens for
	// prolongedFallbackDelay. By then the node is likely to be cut off by a
	// network fault from a lead that lends to other nodes.
	prolongedFallbackDivisor = 10
	prolongedFallbackDelay   = 4 * time.Second
	// fallbackBurst is the time for which unused fallback tokens accumulate.
	fallbackBurst = time.Second
)

// fallbackBucket is the immutable token bucket from which a node admits the
// requests of an account while no lead lends tokens.
type fallbackBucket struct {
	level    float64
	filledAt bltimer.Instant
}

// withToken returns the bucket after taking one token and whether it had one.
// The rate is in tokens per second.
func (f fallbackBucket) withToken(rate float64, now bltimer.Instant) (fallbackBucket, bool) {
	elapsed := min(max(now.Sub(f.filledAt), 0), fallbackBurst)
	f.level = min(f.level+elapsed.Seconds()*rate, max(rate*fallbackBurst.Seconds(), 1))
	f.filledAt = now
	if f.level < 1 {
		return f, false
	}
	f.level--
	return f, true
}

// withFallbackToken returns the quota after it took a token for a request from
// its fallback bucket, and whether it got one. It gets none while a lead lends or
// the number of nodes is unknown.
func (s State) withFallbackToken(quota Quota, accountRate int64, now bltimer.Instant) (Quota, bool) {
	sinceLoan := now.Sub(max(s.lentAt, s.nodesKnownAt))
	if s.nodes == 0 || sinceLoan < fallbackDelay {
		return quota, false
	}
	divisor := fallbackDivisor
	if sinceLoan > prolongedFallbackDelay {
		divisor = prolongedFallbackDivisor
	}
	var spent bool
	quota.fallback, spent = quota.fallback.withToken(float64(accountRate)/float64(divisor*s.nodes), now)
	return quota, spent
}
