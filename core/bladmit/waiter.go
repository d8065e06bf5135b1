package bladmit

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// waiter is a request that waits for tokens: either one of a caller, or one of
// another node that asks this node as the account's delegate.
type waiter struct {
	// admit and find are set for a request of a caller.
	admit Admit
	find  FindTarget
	// spend is set for a request of another node.
	spend    Spend
	deadline bltimer.Instant
	// missing is the number of tokens for which it still waits.
	missing int64
	// requested is set once the missing tokens were requested from the lead or the
	// delegate.
	requested bool
}

// ofNode reports whether the waiter is a request of another node.
func (w waiter) ofNode() bool {
	return w.spend.Tokens > 0
}

// domain returns the failure domain of the node that received the request.
func (w waiter) domain(self blvalue.Host) blvalue.DomainName {
	if w.ofNode() {
		return w.spend.Domain
	}
	return self.Domain
}

// withTokens returns the waiter after it got tokens.
func (w waiter) withTokens(tokens int64) waiter {
	w.missing -= tokens
	return w
}

// served returns the effect that completes a waiter that got all its tokens.
func (w waiter) served() Effect {
	if w.ofNode() {
		return AnswerSpend{Reply: w.spend.Reply, Answer: SpendAnswer{Tokens: w.spend.Tokens}}
	}
	return w.find
}

// refuseOverRate returns the effect that ends the wait of a waiter for which no
// more tokens are available, and the quota with the return of its caller planned. A
// node gets the tokens that were available.
func (s State) refuseOverRate(w waiter, account blvalue.AccountName, quota Quota, now bltimer.Instant) (Quota, Effect) {
	if !w.ofNode() {
		return s.overRate(w.admit, account, quota, now)
	}
	horizon := w.deadline.Sub(now) + maxReturnOfNode
	quota, retryAfter := s.withReturns(account, quota, w.missing, horizon, now)
	return quota, AnswerSpend{Reply: w.spend.Reply, Answer: SpendAnswer{
		Tokens: w.spend.Tokens - w.missing, RetryAfter: retryAfter,
	}}
}

// maxReturnOfNode is how far ahead a delegate plans the returns of callers of other
// nodes, whose deadlines it doesn't know.
const maxReturnOfNode = time.Second

// withReturns returns the quota with the returns of callers planned for which it has
// no tokens, one for each token that the account earns, and how long the first of
// them should wait.
func (s State) withReturns(
	account blvalue.AccountName, quota Quota, callers int64, horizon time.Duration, now bltimer.Instant,
) (Quota, time.Duration) {
	spacing := time.Second / time.Duration(max(s.config.Plan.Accounts[account].Rate, 1))
	var first time.Duration
	for i := range callers {
		var wait time.Duration
		quota.returns, wait = quota.returns.WithReturn(now.Add(quota.retryAfter), spacing, horizon, now)
		if i == 0 {
			first = wait
		}
	}
	return quota, first
}

// left returns the effect that ends the wait of a waiter because this node ends.
func (w waiter) left() Effect {
	if w.ofNode() {
		return AnswerSpend{Reply: w.spend.Reply, Answer: SpendAnswer{Tokens: w.spend.Tokens - w.missing, Unavailable: true}}
	}
	return Refuse{Reply: w.admit.Reply, Refusal: leavingRefusal()}
}

func leavingRefusal() *blvalue.Refusal {
	return blvalue.NotRun(blvalue.ReasonLeaving, "this node is leaving")
}

// expired returns the effect that ends the wait of a waiter whose deadline has
// passed.
func (w waiter) expired() Effect {
	if w.ofNode() {
		tokens := w.spend.Tokens - w.missing
		return AnswerSpend{Reply: w.spend.Reply, Answer: SpendAnswer{Tokens: tokens, TimedOut: tokens == 0}}
	}
	return Refuse{
		Reply:   w.admit.Reply,
		Refusal: blvalue.NotRun(blvalue.ReasonStale, "no lead lent tokens in time"),
	}
}
