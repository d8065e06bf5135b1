package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// ownLoanDemand is the demand in tokens per lookahead from which a node borrows
	// an account's tokens itself: rounding its loans up then costs little.
	ownLoanDemand = 4
	// minAskTime is the shortest time in which a delegate can be expected to answer.
	minAskTime = 20 * time.Millisecond
	// askDivisor gives the part of a request's remaining wait, one in four, for which
	// the delegate may wait for the lead. The rest is for another delegate.
	askDivisor = 4
	// askGrace is how much later than due an answer of a delegate, or the failure of the
	// call, counts as lost.
	askGrace = 500 * time.Millisecond
	// maxSpend is the highest number of tokens that another node may ask for at once.
	// No node has more requests that wait.
	maxSpend = maxWaiting
)

// delegateOf returns the node that this node asks for the account's tokens. It
// returns false if this node borrows them from the lead itself: as a delegate, when
// its own demand is large, or when the fleet is small.
func (s State) delegateOf(account blconfig.Account, quota Quota, now bltimer.Instant) (blvalue.Host, bool) {
	if quota.demand >= ownLoanDemand || s.fleet.borrowsEverywhere(account) {
		return blvalue.Host{}, false
	}
	host, ok := s.fleet.delegate(account, now)
	return host, ok && host.Name != s.self.Name
}

// withSource returns the quota with the current source of its tokens, a delegate or
// the lead.
func (s State) withSource(account blvalue.AccountName, quota Quota, now bltimer.Instant) Quota {
	quota.delegate, quota.delegated = s.delegateOf(s.config.Plan.Accounts[account], quota, now)
	return quota
}

// ask requests tokens for the waiting requests from the account's delegate, unless
// a request for its tokens is in flight.
func (s State) ask(account blvalue.AccountName, quota Quota, now bltimer.Instant) (Quota, []Effect) {
	if !quota.delegated || now.Before(quota.askingUntil) {
		return quota, nil
	}
	var tokens int64
	var longest time.Duration
	waiting := make([]waiter, len(quota.waiting))
	for i, w := range quota.waiting {
		if left := w.deadline.Sub(now); left >= minAskTime {
			w.requested = true
			tokens += w.missing
			longest = max(longest, left)
		}
		waiting[i] = w
	}
	if tokens == 0 {
		return quota, nil
	}
	quota.waiting = waiting
	wait := max(longest/askDivisor, minAskTime)
	quota.askingUntil = now.Add(wait + askGrace)
	return quota, []Effect{AskDelegate{Delegate: quota.delegate, Account: account, Tokens: tokens, Wait: wait}}
}

// delegateAnswered serves the waiting requests with the tokens that a delegate
// spent on their behalf. If it didn't answer, the next delegate is asked.
func (s State) delegateAnswered(m DelegateAnswered, now bltimer.Instant) (State, []Effect) {
	quota, _ := s.quotas.Get(m.Account)
	quota.askingUntil = 0
	if m.Failed {
		s.fleet = s.fleet.withUnreachable(m.Delegate.Name, now)
	}
	var effects []Effect
	if m.Failed || m.Answer.TimedOut {
		quota = quota.withoutRequested()
	} else {
		quota = quota.withAnswer(m.Answer.Tokens, m.Answer.RetryAfter, now)
		quota, effects = s.serveFrom(m.Account, quota, m.Answer.Tokens, now)
	}
	quota = s.withSource(m.Account, quota, now)
	if !m.Answer.TimedOut {
		var asked []Effect
		quota, asked = s.ask(m.Account, quota, now)
		effects = append(effects, asked...)
	}
	s.quotas = s.quotas.With(m.Account, quota)
	s, borrowed := s.borrow(now)
	return s, append(effects, borrowed...)
}

// serveFrom serves the waiting requests with tokens that a delegate has spent.
func (s State) serveFrom(account blvalue.AccountName, quota Quota, tokens int64, now bltimer.Instant) (Quota, []Effect) {
	return s.serveWaiting(account, quota, now, func(q Quota, wanted int64) (Quota, int64) {
		used := min(tokens, wanted)
		tokens -= used
		return q, used
	})
}

// spend serves another node's request for tokens as the delegate of an account.
func (s State) spend(m Spend, now bltimer.Instant) (State, []Effect) {
	account, known := s.config.Plan.Accounts[m.Account]
	if !known || !account.RateLimited() || s.leaving || !s.hasFreshConfig(now) || m.Tokens > maxSpend {
		return s, []Effect{AnswerSpend{Reply: m.Reply, Answer: SpendAnswer{Unavailable: true}}}
	}
	quota, _ := s.quotas.Get(m.Account)
	quota = quota.withArrivals(m.Tokens, s.lookahead(), now)
	w := waiter{spend: m, missing: m.Tokens, deadline: now.Add(m.Wait)}
	var spent int64
	quota, spent = quota.withSpent(w.missing, now)
	quota, w = s.withFallbackTokens(m.Account, quota, w.withTokens(spent), now)
	switch {
	case w.missing == 0:
		s.quotas = s.quotas.With(m.Account, quota)
		s, effects := s.borrow(now)
		return s, append(effects, w.served())
	case len(quota.waiting) >= maxWaiting || quota.exhausted(now):
		var refusal Effect
		quota, refusal = s.refuseOverRate(w, m.Account, quota, now)
		s.quotas = s.quotas.With(m.Account, quota)
		return s, []Effect{refusal}
	case s.inFallback(now):
		s.quotas = s.quotas.With(m.Account, quota)
		s, effects := s.borrow(now)
		return s, append(effects, w.expired())
	}
	quota.delegated = false
	quota.waiting = append(quota.waiting[:len(quota.waiting):len(quota.waiting)], w)
	s.quotas = s.quotas.With(m.Account, quota)
	return s.borrow(now)
}
