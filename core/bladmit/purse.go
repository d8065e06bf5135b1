package bladmit

import (
	"time"

	"bergamotlead/core/blpurse"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// shortestWindow is the least time over which demand is measured.
	shortestWindow = 100 * time.Millisecond
	// settlePart and settleParts give the part of the time ahead after which a
	// node reports to the lead.
	settlePart  = 4
	settleParts = 5
)

// Purse is the immutable share of an account's tokens at this node.
type Purse struct {
	tokens int64
	until  bltimer.Instant
	// term is the term of the lead that lent the tokens.
	term uint64
	// spent counts the tokens spent since the lead was last told.
	spent int64
	// waiting holds requests that wait for the lead's next answer.
	waiting []waiter
	// arrived counts the requests of the current window, demand those of the
	// last one.
	arrived    int64
	demand     int64
	windowedAt bltimer.Instant
	retryAfter time.Duration
	// emptyUntil is when the lead is likely to have tokens again, after it lent
	// none.
	emptyUntil bltimer.Instant
	// own holds the tokens that the node may spend while no lead lends.
	own ownShare
}

type waiter struct {
	admit    Admit
	find     FindTarget
	deadline bltimer.Instant
	borrowed bool
}

// usable returns the tokens that may be spent at now.
func (p Purse) usable(now bltimer.Instant) int64 {
	if !now.Before(p.until) {
		return 0
	}
	return p.tokens
}

// withSpent returns the purse after one request and whether it had a token.
func (p Purse) withSpent(now bltimer.Instant) (Purse, bool) {
	if p.usable(now) == 0 {
		return p, false
	}
	p.tokens--
	p.spent++
	return p, true
}

// withArrival counts a request towards the demand.
func (p Purse) withArrival(ahead time.Duration, now bltimer.Instant) Purse {
	p = p.withWindow(ahead, now)
	p.arrived++
	return p
}

func (p Purse) withWindow(ahead time.Duration, now bltimer.Instant) Purse {
	elapsed := now.Sub(p.windowedAt)
	window := max(ahead, shortestWindow)
	if elapsed < window {
		return p
	}
	p.demand = (p.arrived*int64(ahead) + int64(elapsed) - 1) / int64(elapsed)
	p.arrived = 0
	p.windowedAt = now
	return p
}

// need returns what to ask of the lead: tokens for those that wait and for
// the time ahead. A purse that holds more than that gives the rest back.
func (p Purse) need(account blvalue.AccountName, now bltimer.Instant) blpurse.Need {
	target := int64(len(p.waiting)) + max(p.demand, p.arrived)
	held := p.usable(now)
	return blpurse.Need{
		Account:  account,
		Spent:    p.spent,
		Returned: max(held-target, 0),
		Wanted:   max(target-held, 0),
	}
}

// withAsked returns the purse after need was sent to the lead.
func (p Purse) withAsked(need blpurse.Need) Purse {
	p.spent = 0
	p.tokens -= need.Returned
	waiting := make([]waiter, len(p.waiting))
	for i, w := range p.waiting {
		w.borrowed = true
		waiting[i] = w
	}
	p.waiting = waiting
	return p
}

// withLoan returns the purse after the lead of term lent tokens that may be
// spent until the given moment. Tokens of another term are void, since this lead
// doesn't know of them.
func (p Purse) withLoan(loan blpurse.Loan, term uint64, until, now bltimer.Instant) Purse {
	if p.term != term {
		p.term = term
		p.tokens = 0
		p.spent = 0
	}
	if p.usable(now) == 0 {
		p.tokens = 0
	}
	if loan.Tokens > 0 {
		if p.tokens > 0 {
			until = max(until, p.until)
		}
		p.tokens += loan.Tokens
		p.until = until
	}
	p.retryAfter = loan.RetryAfter
	p.emptyUntil = 0
	if loan.Tokens == 0 && loan.RetryAfter > 0 {
		p.emptyUntil = now.Add(min(loan.RetryAfter, longestEmpty))
	}
	return p
}

// longestEmpty bounds the time for which a node takes an account for spent
// without asking again.
const longestEmpty = 250 * time.Millisecond

// empty reports whether the lead has just said that the account is spent.
func (p Purse) empty(now bltimer.Instant) bool {
	return now.Before(p.emptyUntil)
}

// idle reports whether there is nothing to tell the lead.
func (p Purse) idle(now bltimer.Instant) bool {
	return p.spent == 0 && len(p.waiting) == 0 && p.usable(now) == 0 && p.demand == 0 && p.arrived == 0
}
