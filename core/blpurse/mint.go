// Package blpurse is the lead's duty of spending: it alone mints the tokens
// that client accounts spend, and lends them to nodes in purses.
//
// For each account, what the bucket holds and what is lent out together never
// exceed the burst, so that the rate and burst hold over all nodes and any
// window of time.
package blpurse

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Need is what a node says of one account when it asks for tokens.
type Need struct {
	Account blvalue.AccountName
	// Spent is the number of tokens spent since the last answer.
	Spent int64
	// Returned is the number of tokens that the node gives back unspent.
	Returned int64
	// Wanted is the number of tokens asked for.
	Wanted int64
}

// Loan is what a node gets for one account.
type Loan struct {
	Account blvalue.AccountName
	Tokens  int64
	// RetryAfter is when tokens may be had again, if the loan is short.
	RetryAfter time.Duration
}

// tokenUnit is the number of parts into which a token is divided, so that a
// bucket fills without rounding errors.
const tokenUnit = int64(time.Second)

// lent is what one node holds.
type lent struct {
	tokens  int64
	expires bltimer.Instant
}

// Bucket is the immutable token bucket of one account.
type Bucket struct {
	rate  int64
	burst int64
	// level is in parts of a token.
	level    int64
	filledAt bltimer.Instant
	lent     bltable.Table[blvalue.Incarnation, lent]
	// outstanding is the sum of all that is lent, in tokens.
	outstanding int64
}

// NewBucket returns an empty bucket of the account.
func NewBucket(account blconfig.Account, now bltimer.Instant) Bucket {
	return Bucket{rate: account.Rate, burst: account.Burst, filledAt: now}
}

// Level returns the whole tokens in the bucket.
func (b Bucket) Level() int64 {
	return b.level / tokenUnit
}

// Outstanding returns the tokens that are lent out.
func (b Bucket) Outstanding() int64 {
	return b.outstanding
}

// WithAccount returns the bucket under a changed rate and burst.
func (b Bucket) WithAccount(account blconfig.Account, now bltimer.Instant) Bucket {
	b = b.WithBurst(account.Burst, now)
	b.rate = account.Rate
	return b
}

// WithBurst returns the bucket that holds another burst from the given moment
// on.
func (b Bucket) WithBurst(burst int64, at bltimer.Instant) Bucket {
	b = b.WithTime(at)
	b.burst = burst
	b.level = min(b.level, b.room())
	return b
}

// room returns the parts of a token that the bucket may hold beside what is
// lent out.
func (b Bucket) room() int64 {
	return max(b.burst-b.outstanding, 0) * tokenUnit
}

// WithTime returns the bucket at now. Purses that have run out count as spent
// at their end, and the bucket fills beside what was lent out at each moment:
// tokens that were spent late must not have made room early.
func (b Bucket) WithTime(now bltimer.Instant) Bucket {
	for {
		node, l, ok := b.firstLapsed(now)
		if !ok {
			return b.filled(now)
		}
		b = b.filled(l.expires)
		b.lent = b.lent.Without(node)
		b.outstanding -= l.tokens
	}
}

// firstLapsed returns the purse that ran out first.
func (b Bucket) firstLapsed(now bltimer.Instant) (blvalue.Incarnation, lent, bool) {
	var first blvalue.Incarnation
	var found lent
	ok := false
	for node, l := range b.lent.All() {
		if !now.Before(l.expires) && (!ok || l.expires.Before(found.expires)) {
			first, found, ok = node, l, true
		}
	}
	return first, found, ok
}

func (b Bucket) filled(now bltimer.Instant) Bucket {
	elapsed := min(max(int64(now.Sub(b.filledAt)), 0), int64(blconfig.LongestBurst))
	b.level = min(b.level+elapsed*b.rate, b.room())
	b.filledAt = max(b.filledAt, now)
	return b
}

// WithReport returns the bucket after a node reported what it spent and gave
// back. It never counts more than the node was lent. The bucket must be at the
// moment of the report.
func (b Bucket) WithReport(node blvalue.Incarnation, need Need) Bucket {
	l, ok := b.lent.Get(node)
	if !ok {
		return b
	}
	spent := min(max(need.Spent, 0), l.tokens)
	returned := min(max(need.Returned, 0), l.tokens-spent)
	l.tokens -= spent + returned
	b.outstanding -= spent + returned
	b.lent = b.lent.With(node, l)
	b.level = min(b.level+returned*tokenUnit, b.room())
	return b
}

// WithLoan returns the bucket after lending up to wanted tokens to a node, and
// how many it lent.
func (b Bucket) WithLoan(node blvalue.Incarnation, wanted int64, expires bltimer.Instant) (Bucket, int64) {
	tokens := min(max(wanted, 0), b.Level())
	if tokens == 0 {
		return b, 0
	}
	l, _ := b.lent.Get(node)
	b.level -= tokens * tokenUnit
	b.outstanding += tokens
	b.lent = b.lent.With(node, lent{tokens: l.tokens + tokens, expires: max(l.expires, expires)})
	return b, tokens
}

// untilNext returns how long the bucket takes to hold one more token.
func (b Bucket) untilNext() time.Duration {
	if b.rate <= 0 {
		return time.Second
	}
	missing := max(tokenUnit-b.level, 0)
	return time.Duration(missing / b.rate)
}
