package bladmit

import (
	"time"

	"bergamotlead/core/blbackoff"
	"bergamotlead/core/blquota"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// minDemandWindow is the shortest time over which demand is measured.
	minDemandWindow = 100 * time.Millisecond
	// reportNumerator and reportDenominator give the interval of reports to the
	// lead as a fraction of the lookahead.
	reportNumerator   = 4
	reportDenominator = 5
)

// Quota holds the tokens of one account that this node has on loan from the lead,
// and the requests that wait for more. It is immutable.
type Quota struct {
	tokens    int64
	expiresAt bltimer.Instant
	// term is the term of the lead that lent the tokens.
	term uint64
	// spent counts the tokens spent since the last report to the lead.
	spent int64
	// waiting holds requests that wait for the next answer of the lead or of the
	// delegate.
	waiting []waiter
	// delegated is set while the tokens are requested from delegate instead of the
	// lead. Until askingUntil, or its answer, such a request is in flight.
	delegated   bool
	delegate    blvalue.Host
	askingUntil bltimer.Instant
	// arrived counts the requests of the current window. demand is the number of
	// tokens needed for the lookahead at the request rate of the previous window.
	arrived       int64
	demand        int64
	windowStartAt bltimer.Instant
	retryAfter    time.Duration
	// returns plans when callers that were refused as over the rate come back.
	returns blbackoff.Schedule
	// exhaustedUntil is when the lead is likely to have tokens again, after it
	// lent none.
	exhaustedUntil bltimer.Instant
	// fallback holds the tokens that the node may spend while no lead lends, for the
	// requests from each failure domain.
	fallback bltable.Table[blvalue.DomainName, fallbackBucket]
}

// available returns the tokens that have not expired at now.
func (q Quota) available(now bltimer.Instant) int64 {
	if !now.Before(q.expiresAt) {
		return 0
	}
	return q.tokens
}

// withSpent returns the quota after it spent up to the given number of tokens, and
// the number spent.
func (q Quota) withSpent(tokens int64, now bltimer.Instant) (Quota, int64) {
	tokens = min(tokens, q.available(now))
	q.tokens -= tokens
	q.spent += tokens
	return q, tokens
}

// withArrivals counts requests towards the demand.
func (q Quota) withArrivals(requests int64, lookahead time.Duration, now bltimer.Instant) Quota {
	q = q.withWindow(lookahead, now)
	q.arrived += requests
	return q
}

// withWindow updates the demand and starts a new window if the current one has
// ended.
func (q Quota) withWindow(lookahead time.Duration, now bltimer.Instant) Quota {
	elapsed := now.Sub(q.windowStartAt)
	window := max(lookahead, minDemandWindow)
	if elapsed < window {
		return q
	}
	q.demand = (q.arrived*int64(lookahead) + int64(elapsed) - 1) / int64(elapsed)
	q.arrived = 0
	q.windowStartAt = now
	return q
}

// need returns the usage report and token request for the lead. It requests tokens
// for the waiting requests and for the demand, and returns any that exceed this. A
// quota with a delegate requests none.
func (q Quota) need(account blvalue.AccountName, now bltimer.Instant) blquota.Need {
	var target int64
	if !q.delegated {
		target = q.missing() + max(q.demand, q.arrived)
	}
	held := q.available(now)
	return blquota.Need{
		Account:  account,
		Spent:    q.spent,
		Returned: max(held-target, 0),
		Wanted:   max(target-held, 0),
	}
}

// missing returns the number of tokens for which requests wait.
func (q Quota) missing() int64 {
	var tokens int64
	for _, w := range q.waiting {
		tokens += w.missing
	}
	return tokens
}

// withRequested returns the quota after need was sent to the lead.
func (q Quota) withRequested(need blquota.Need) Quota {
	q.spent = 0
	q.tokens -= need.Returned
	if q.delegated {
		return q
	}
	return q.withAllRequested(true)
}

// withoutRequested returns the quota after a request for tokens failed.
func (q Quota) withoutRequested() Quota {
	return q.withAllRequested(false)
}

// withAllRequested returns the quota with the same state of request for all waiting
// requests.
func (q Quota) withAllRequested(requested bool) Quota {
	waiting := make([]waiter, len(q.waiting))
	for i, w := range q.waiting {
		w.requested = requested
		waiting[i] = w
	}
	q.waiting = waiting
	return q
}

// withLoan returns the quota after the lead of the given term lent tokens that
// expire at expiresAt. Tokens of another term are discarded, since this lead has
// no record of them.
func (q Quota) withLoan(loan blquota.Loan, term uint64, expiresAt, now bltimer.Instant) Quota {
	if q.term != term {
		q.term = term
		q.tokens = 0
		q.spent = 0
	}
	if q.available(now) == 0 {
		q.tokens = 0
	}
	if loan.Tokens > 0 {
		if q.tokens > 0 {
			expiresAt = max(expiresAt, q.expiresAt)
		}
		q.tokens += loan.Tokens
		q.expiresAt = expiresAt
	}
	return q.withAnswer(loan.Tokens, loan.RetryAfter, now)
}

// withAnswer returns the quota after the lead or the delegate gave it tokens, and
// the time until the next one if these were fewer than requested.
func (q Quota) withAnswer(tokens int64, retryAfter time.Duration, now bltimer.Instant) Quota {
	q.retryAfter = retryAfter
	q.exhaustedUntil = 0
	if tokens == 0 && retryAfter > 0 {
		q.exhaustedUntil = now.Add(min(retryAfter, maxExhaustedTime))
	}
	return q
}

// maxExhaustedTime limits how long a node treats an account as exhausted without
// asking again.
const maxExhaustedTime = 250 * time.Millisecond

// exhausted reports whether the lead or the delegate recently answered that the
// account has no tokens left.
func (q Quota) exhausted(now bltimer.Instant) bool {
	return now.Before(q.exhaustedUntil)
}

// idle reports whether there is nothing to report to or request from the lead.
func (q Quota) idle(now bltimer.Instant) bool {
	if q.delegated {
		return q.spent == 0 && q.available(now) == 0
	}
	return q.spent == 0 && len(q.waiting) == 0 && q.available(now) == 0 && q.demand == 0 && q.arrived == 0
}
