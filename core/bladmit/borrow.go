package bladmit

import (
	"time"

	"bergamotlead/core/blpurse"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// borrow asks the lead for tokens when something waits or it is time to
// report. One exchange at a time serves all accounts.
func (s State) borrow(now bltimer.Instant) (State, []Effect) {
	if s.borrowing && now.Sub(s.askedAt) > borrowTimeout {
		s.borrowing = false
	}
	elapsed := now.Sub(s.askedAt)
	if s.borrowing || elapsed < borrowEvery || !s.anyWaits(now) && elapsed < s.settleEvery() {
		return s, nil
	}
	var needs []blpurse.Need
	for name, purse := range s.purses.All() {
		purse = purse.withWindow(s.ahead(), now)
		if !purse.idle(now) {
			need := purse.need(name, now)
			needs = append(needs, need)
			purse = purse.withAsked(need)
		}
		s.purses = s.purses.With(name, purse)
	}
	if len(needs) == 0 {
		return s, nil
	}
	s.borrowing = true
	s.askedAt = now
	return s, []Effect{Borrow{Needs: needs}}
}

// ahead is the time for which a purse should hold tokens.
func (s State) ahead() time.Duration {
	return s.config.Plan.Timing.PurseAhead
}

// settleEvery is how often a node reports to the lead while nothing waits.
func (s State) settleEvery() time.Duration {
	return s.ahead() * settlePart / settleParts
}

// anyWaits reports whether an account has run out, or soon will.
func (s State) anyWaits(now bltimer.Instant) bool {
	for _, purse := range s.purses.All() {
		if len(purse.waiting) > 0 || purse.usable(now) < purse.demand/2 {
			return true
		}
	}
	return false
}

// lent takes the lead's answer. A request that waited for it and got no token
// is over its account's rate.
func (s State) lent(m Lent, now bltimer.Instant) (State, []Effect) {
	s.borrowing = false
	if m.Failed {
		return s, nil
	}
	s.lentAt = max(s.lentAt, m.SentAt)
	var effects []Effect
	for _, loan := range m.Loans {
		purse, _ := s.purses.Get(loan.Account)
		purse = purse.withLoan(loan, m.Term, m.SentAt.Add(s.config.Plan.Timing.PurseTTL), now)
		var served []Effect
		purse, served = s.serve(loan.Account, purse, now)
		s.purses = s.purses.With(loan.Account, purse)
		effects = append(effects, served...)
	}
	return s, effects
}

func (s State) serve(account blvalue.AccountName, purse Purse, now bltimer.Instant) (Purse, []Effect) {
	var effects []Effect
	var kept []waiter
	for _, w := range purse.waiting {
		next, spent := purse.withSpent(now)
		switch {
		case spent:
			purse = next
			effects = append(effects, w.find)
		case w.borrowed:
			effects = append(effects, s.overRate(w.admit, account, purse))
		default:
			kept = append(kept, w)
		}
	}
	purse.waiting = kept
	return purse, effects
}
