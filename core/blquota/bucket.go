// Package blquota implements the quota duty of the lead, which enforces the rate
// limits of client accounts over all nodes. The lead keeps one token bucket per
// account, is the only source of tokens, and lends them to nodes for a limited
// time.
//
// For each account, the tokens in the bucket and the tokens on loan together never
// exceed the burst, so that rate and burst hold over all nodes and any time
// window.
package blquota

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Need is a node's usage report and token request for one account.
type Need struct {
	Account blvalue.AccountName
	// Spent is the number of tokens spent since the last report.
	Spent int64
	// Returned is the number of unspent tokens that the node returns.
	Returned int64
	// Wanted is the number of tokens requested.
	Wanted int64
}

// Loan is the lead's answer to a Need.
type Loan struct {
	Account blvalue.AccountName
	Tokens  int64
	// RetryAfter is the time until a token is available, if fewer tokens were lent
	// than requested.
	RetryAfter time.Duration
}

// tokenUnit is the number of units per token in a bucket's level. It is the number
// of nanoseconds in a second, so that a bucket refills without rounding errors.
const tokenUnit = int64(time.Second)

// nodeLoan is the tokens on loan to one node.
type nodeLoan struct {
	tokens    int64
	expiresAt bltimer.Instant
}

// Bucket is the immutable token bucket of one account.
type Bucket struct {
	rate  int64
	burst int64
	// level is in units of 1/tokenUnit tokens.
	level      int64
	refilledAt bltimer.Instant
	loans      bltable.Table[blvalue.Incarnation, nodeLoan]
	// outstanding is the sum of all loans, in tokens.
	outstanding int64
}

// overdraftDivisor gives the part of an account's overdraft, one in four, with which
// a bucket starts, so that the overdraft covers several leads in succession.
const overdraftDivisor = 4

// NewBucket returns a bucket with the account's rate and burst. It holds a part of
// the account's overdraft: loans of an earlier lead may hold the whole burst.
func NewBucket(account blconfig.Account, now bltimer.Instant) Bucket {
	level := min(account.Overdraft/overdraftDivisor, account.Burst) * tokenUnit
	return Bucket{rate: account.Rate, burst: account.Burst, level: level, refilledAt: now}
}

// Level returns the number of whole tokens in the bucket.
func (b Bucket) Level() int64 {
	return b.level / tokenUnit
}

// Outstanding returns the number of tokens on loan to nodes.
func (b Bucket) Outstanding() int64 {
	return b.outstanding
}

// WithAccount returns the bucket with the account's rate and burst from now on.
func (b Bucket) WithAccount(account blconfig.Account, now bltimer.Instant) Bucket {
	b = b.WithBurst(account.Burst, now)
	b.rate = account.Rate
	return b
}

// WithBurst returns the bucket with a different burst from the given instant on.
func (b Bucket) WithBurst(burst int64, at bltimer.Instant) Bucket {
	b = b.WithTime(at)
	b.burst = burst
	b.level = min(b.level, b.capacity())
	return b
}

// capacity returns the highest level allowed besides the tokens on loan.
func (b Bucket) capacity() int64 {
	return max(b.burst-b.outstanding, 0) * tokenUnit
}

// WithTime returns the bucket advanced to now. The tokens of an expired loan count
// as spent at its expiry, and until then they take up capacity: a node may have
// spent them at the last moment, so the bucket must not refill in their place any
// earlier.
func (b Bucket) WithTime(now bltimer.Instant) Bucket {
	for {
		node, loan, ok := b.firstExpired(now)
		if !ok {
			return b.refilled(now)
		}
		b = b.refilled(loan.expiresAt)
		b.loans = b.loans.Without(node)
		b.outstanding -= loan.tokens
	}
}

// firstExpired returns the loan that expired first, if any has expired at now.
func (b Bucket) firstExpired(now bltimer.Instant) (blvalue.Incarnation, nodeLoan, bool) {
	var first blvalue.Incarnation
	var found nodeLoan
	ok := false
	for node, loan := range b.loans.All() {
		if !now.Before(loan.expiresAt) && (!ok || loan.expiresAt.Before(found.expiresAt)) {
			first, found, ok = node, loan, true
		}
	}
	return first, found, ok
}

// refilled adds the tokens that accrued up to now.
func (b Bucket) refilled(now bltimer.Instant) Bucket {
	elapsed := min(max(int64(now.Sub(b.refilledAt)), 0), int64(blconfig.MaxBurstDuration))
	b.level = min(b.level+elapsed*b.rate, b.capacity())
	b.refilledAt = max(b.refilledAt, now)
	return b
}

// WithReport returns the bucket after a node reported the tokens that it spent and
// returned. At most the tokens on loan to the node are counted. The bucket must
// have been advanced to the time of the report.
func (b Bucket) WithReport(node blvalue.Incarnation, need Need) Bucket {
	loan, ok := b.loans.Get(node)
	if !ok {
		return b
	}
	spent := min(max(need.Spent, 0), loan.tokens)
	returned := min(max(need.Returned, 0), loan.tokens-spent)
	loan.tokens -= spent + returned
	b.outstanding -= spent + returned
	b.loans = b.loans.With(node, loan)
	b.level = min(b.level+returned*tokenUnit, b.capacity())
	return b
}

// WithLoan returns the bucket after lending up to wanted tokens to a node, and the
// number of tokens lent.
func (b Bucket) WithLoan(node blvalue.Incarnation, wanted int64, expiresAt bltimer.Instant) (Bucket, int64) {
	tokens := min(max(wanted, 0), b.Level())
	if tokens == 0 {
		return b, 0
	}
	loan, _ := b.loans.Get(node)
	b.level -= tokens * tokenUnit
	b.outstanding += tokens
	b.loans = b.loans.With(node, nodeLoan{tokens: loan.tokens + tokens, expiresAt: max(loan.expiresAt, expiresAt)})
	return b, tokens
}

// untilNextToken returns the time until the bucket holds a whole token.
func (b Bucket) untilNextToken() time.Duration {
	if b.rate <= 0 {
		return time.Second
	}
	missing := max(tokenUnit-b.level, 0)
	return time.Duration(missing / b.rate)
}
