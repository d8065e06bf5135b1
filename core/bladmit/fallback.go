package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// fallbackDelay is how long a node's requests for tokens must have gone unanswered
	// before it limits accounts by its own fallback rate.
	fallbackDelay = 250 * time.Millisecond
	// nodeFraction is the part of an account's rate that all nodes together admit in
	// fallback, each its even share. A lead that other nodes can still reach lends
	// the whole rate to them.
	nodeFraction = 0.5
	// delegateFraction is the part of an account's rate that its delegates admit in
	// fallback, an even share for the nodes of each failure domain: a delegate that
	// a partition cuts off together with its domain admits no more than that share.
	delegateFraction = 0.9
	// prolongedFraction applies to both once they have gone unanswered for
	// prolongedFallbackDelay. By then the node is likely to be cut off by a
	// network fault from a lead that lends to other nodes.
	prolongedFraction      = 0.2
	prolongedFallbackDelay = 2500 * time.Millisecond
	// fallbackBurst is the time for which unused fallback tokens accumulate, and
	// delegateTokens how many a delegate accumulates at least. Any other node
	// accumulates at least one.
	fallbackBurst  = 200 * time.Millisecond
	delegateTokens = 2
)

// fallbackBucket is the immutable token bucket from which a node admits the
// requests of an account while no lead lends tokens.
type fallbackBucket struct {
	// used is the part of its capacity that is missing.
	used     float64
	filledAt bltimer.Instant
}

// withToken returns the bucket after taking one token and whether it had one. The
// rate is in tokens per second, and the capacity at least atLeast tokens.
func (f fallbackBucket) withToken(rate, atLeast float64, now bltimer.Instant) (fallbackBucket, bool) {
	f.used = max(f.used-max(now.Sub(f.filledAt), 0).Seconds()*rate, 0)
	f.filledAt = now
	if f.used+1 > max(rate*fallbackBurst.Seconds(), atLeast) {
		return f, false
	}
	f.used++
	return f, true
}

// inFallback reports whether this node limits accounts by its own fallback rate,
// since no lead lends.
func (s State) inFallback(now bltimer.Instant) bool {
	return s.fallback && len(s.fleet.nodes) > 0 && s.unansweredSince != 0 && s.unansweredFor(now) >= fallbackDelay
}

// unansweredFor returns how long the requests for tokens have gone unanswered.
func (s State) unansweredFor(now bltimer.Instant) time.Duration {
	return now.Sub(max(s.unansweredSince, s.nodesKnownAt))
}

// withFallbackToken returns the quota after it took a token for a request from a
// node of the given failure domain, and whether it got one. It gets none while a
// lead lends or the nodes are unknown.
func (s State) withFallbackToken(
	quota Quota, account blconfig.Account, domain blvalue.DomainName, now bltimer.Instant,
) (Quota, bool) {
	if !s.inFallback(now) {
		return quota, false
	}
	delegate := !s.fleet.borrowsEverywhere(account) && s.fleet.isDelegate(account, s.self.Name)
	rate := s.fallbackRate(account, delegate)
	if s.unansweredFor(now) > prolongedFallbackDelay {
		rate *= prolongedFraction
	}
	bucket, ok := quota.fallback.Get(domain)
	if !ok {
		bucket = newFallbackBucket(delegate, now)
	}
	atLeast := 1.0
	if delegate {
		atLeast = delegateTokens
	}
	bucket, spent := bucket.withToken(rate, atLeast, now)
	quota.fallback = quota.fallback.With(domain, bucket)
	return quota, spent
}

// newFallbackBucket returns a full bucket at a delegate, of which there are few, and
// an empty one at any other node.
func newFallbackBucket(delegate bool, now bltimer.Instant) fallbackBucket {
	if delegate {
		return fallbackBucket{filledAt: now}
	}
	return fallbackBucket{used: 1, filledAt: now}
}

// fallbackRate returns the rate in tokens per second at which this node admits the
// requests of an account that come from one failure domain while no lead lends.
func (s State) fallbackRate(account blconfig.Account, delegate bool) float64 {
	rate := float64(account.Rate)
	if !delegate {
		return rate * nodeFraction / float64(len(s.fleet.nodes))
	}
	return rate * delegateFraction / float64(delegateCount(account)*uint64(s.fleet.domains))
}
