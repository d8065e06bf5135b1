package bladmit

import (
	"time"

	"bergamotlead/core/blquota"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// borrow sends the lead a request for tokens when an account is short of them or
// a report is due. One exchange covers all accounts, and at most one is in
// flight.
func (s State) borrow(now bltimer.Instant) (State, []Effect) {
	if s.borrowing && now.Sub(s.borrowedAt) > borrowTimeout {
		s.borrowing = false
	}
	elapsed := now.Sub(s.borrowedAt)
	if s.borrowing || elapsed < minBorrowInterval || !s.anyShort(now) && elapsed < s.reportInterval() {
		return s, nil
	}
	var needs []blquota.Need
	for name, quota := range s.quotas.All() {
		if quota.idle(now) {
			continue
		}
		quota = quota.withWindow(s.lookahead(), now)
		if !quota.idle(now) {
			need := quota.need(name, now)
			needs = append(needs, need)
			quota = quota.withRequested(need)
		}
		s.quotas = s.quotas.With(name, quota)
	}
	if len(needs) == 0 {
		return s, nil
	}
	s.borrowing = true
	s.borrowedAt = now
	if s.unansweredSince == 0 {
		s.unansweredSince = now
	}
	return s, []Effect{Borrow{Needs: needs}}
}

// lookahead returns the time for which a node's tokens should cover its demand.
func (s State) lookahead() time.Duration {
	return s.config.Plan.Timing.LoanLookahead
}

// reportInterval returns how often a node reports to the lead while no account
// is short of tokens.
func (s State) reportInterval() time.Duration {
	return s.lookahead() * reportNumerator / reportDenominator
}

// anyShort reports whether an account has run out of tokens or soon will.
func (s State) anyShort(now bltimer.Instant) bool {
	for _, quota := range s.quotas.All() {
		if quota.delegated {
			continue
		}
		if len(quota.waiting) > 0 || quota.available(now) < quota.demand/2 {
			return true
		}
	}
	return false
}

// borrowCompleted applies the lead's answer to Borrow. A request that was waiting
// when the tokens were requested and gets none is refused as over its account's
// rate.
func (s State) borrowCompleted(m BorrowCompleted, now bltimer.Instant) (State, []Effect) {
	s.borrowing = false
	if m.Failed {
		return s, nil
	}
	s.unansweredSince = 0
	var effects []Effect
	for _, loan := range m.Loans {
		quota, _ := s.quotas.Get(loan.Account)
		quota = quota.withLoan(loan, m.Term, m.SentAt.Add(s.config.Plan.Timing.LoanTTL), now)
		var served []Effect
		quota, served = s.serve(loan.Account, quota, now)
		s.quotas = s.quotas.With(loan.Account, quota)
		effects = append(effects, served...)
	}
	return s, effects
}

// serve admits waiting requests while tokens last, and refuses those for which
// the lead was asked in vain.
func (s State) serve(account blvalue.AccountName, quota Quota, now bltimer.Instant) (Quota, []Effect) {
	if quota.delegated {
		return quota, nil
	}
	return s.serveWaiting(account, quota, now, func(q Quota, tokens int64) (Quota, int64) { return q.withSpent(tokens, now) })
}

// serveWaiting gives the waiting requests the tokens that spend takes, in turn. It
// admits those that get all they need, and refuses those of the others for which
// tokens were requested.
func (s State) serveWaiting(
	account blvalue.AccountName, quota Quota, now bltimer.Instant, spend func(q Quota, tokens int64) (Quota, int64),
) (Quota, []Effect) {
	var effects []Effect
	var remaining []waiter
	for _, w := range quota.waiting {
		var spent int64
		quota, spent = spend(quota, w.missing)
		w = w.withTokens(spent)
		switch {
		case w.missing == 0:
			effects = append(effects, w.served())
		case w.requested:
			var refusal Effect
			quota, refusal = s.refuseOverRate(w, account, quota, now)
			effects = append(effects, refusal)
		default:
			remaining = append(remaining, w)
		}
	}
	quota.waiting = remaining
	return quota, effects
}
