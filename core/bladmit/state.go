package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blpurse"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// borrowEvery is how often a node asks the lead for tokens at most.
	borrowEvery = 20 * time.Millisecond
	// settleEvery is how often a node reports to the lead while nothing waits.
	settleEvery = 80 * time.Millisecond
	// borrowTimeout ends an exchange that got no answer.
	borrowTimeout = 500 * time.Millisecond
	// mostWaiting bounds the requests of one account that wait for tokens.
	mostWaiting = 256
	// longestWait bounds the time for which a request waits for tokens.
	longestWait = 2 * time.Second
)

// State is the admission duty's immutable state.
type State struct {
	config    blconfig.Accepted
	heardAt   bltimer.Instant
	heard     bool
	leaving   bool
	purses    bltable.Table[blvalue.AccountName, Purse]
	borrowing bool
	askedAt   bltimer.Instant
}

// New returns the state of a node without a configuration.
func New() State {
	return State{}
}

// Config returns the configuration in force here.
func (s State) Config() blconfig.Accepted {
	return s.config
}

// Busy reports whether a request waits, or the lead has to be told something.
func (s State) Busy(now bltimer.Instant) bool {
	for _, purse := range s.purses.All() {
		if !purse.idle(now) {
			return true
		}
	}
	return false
}

// Decide computes the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Tick:
		return s.tick(now)
	case Admit:
		return s.admit(m, now)
	case Recheck:
		return s, []Effect{AnswerRecheck{Reply: m.Reply, Refusal: s.recheck(m, now)}}
	case ConfigChanged:
		return s.configChanged(m)
	case LeadHeard:
		s.heardAt = max(s.heardAt, m.SentAt)
		s.heard = true
		return s, nil
	case Lent:
		return s.lent(m, now)
	case Leave:
		s.leaving = true
		return s, nil
	}
	return s, nil
}

// fresh reports whether this node would know of a withdrawn key.
func (s State) fresh(now bltimer.Instant) bool {
	return s.heard && s.config.Revision > 0 && now.Sub(s.heardAt) <= s.config.Plan.Timing.Freshness
}

func (s State) admit(m Admit, now bltimer.Instant) (State, []Effect) {
	find, refusal := s.check(m, now)
	if refusal != nil {
		return s, []Effect{Refuse{Reply: m.Reply, Refusal: refusal}}
	}
	if find.Find.Account == "" {
		return s, []Effect{find}
	}
	purse, _ := s.purses.Get(find.Find.Account)
	purse = purse.withArrival(now)
	var spent bool
	if purse, spent = purse.withSpent(now); spent {
		s.purses = s.purses.With(find.Find.Account, purse)
		s, effects := s.borrow(now)
		return s, append(effects, find)
	}
	if len(purse.waiting) >= mostWaiting {
		return s, []Effect{s.overRate(m, purse)}
	}
	wait := min(m.Request.Timeout, longestWait)
	purse.waiting = append(purse.waiting[:len(purse.waiting):len(purse.waiting)],
		waiter{admit: m, find: find, deadline: now.Add(wait)})
	s.purses = s.purses.With(find.Find.Account, purse)
	return s.borrow(now)
}

func (s State) overRate(m Admit, purse Purse) Refuse {
	return Refuse{
		Reply:      m.Reply,
		Refusal:    blvalue.NotRun(blvalue.ReasonOverRate, "the client account has spent its rate and burst"),
		RetryAfter: purse.retryAfter,
	}
}

// check finds the route and the account of a request, or why it may not run.
func (s State) check(m Admit, now bltimer.Instant) (FindTarget, *blvalue.Refusal) {
	if s.leaving {
		return FindTarget{}, blvalue.NotRun(blvalue.ReasonLeaving, "this node is leaving")
	}
	if !s.fresh(now) {
		return FindTarget{}, blvalue.NotRun(blvalue.ReasonStale, "this node has heard no lead for too long")
	}
	route, ok := s.config.Plan.Route(m.Request.Service, m.Request.Method, m.Path)
	if !ok {
		return FindTarget{}, blvalue.NotRun(blvalue.ReasonUnknownRoute, "no route takes this service, method and path")
	}
	account, refusal := s.account(m.Request, route)
	if refusal != nil {
		return FindTarget{}, refusal
	}
	return FindTarget{Find: blroute.Find{
		Request: m.Request, Route: route, Account: account, First: true, Reply: m.Reply,
	}}, nil
}

func (s State) account(request blvalue.Request, route blconfig.Route) (blvalue.AccountName, *blvalue.Refusal) {
	if request.KeyDigest == "" && route.Open {
		return "", nil
	}
	name, ok := s.config.Plan.Digests[request.KeyDigest]
	if !ok {
		return "", blvalue.NotRun(blvalue.ReasonUnknownKey, "the client key is missing or not valid")
	}
	if !s.config.Plan.Accounts[name].MayCall(request.Service) {
		return "", blvalue.NotRun(blvalue.ReasonUnknownKey, "the client account may not call this service")
	}
	return name, nil
}

func (s State) recheck(m Recheck, now bltimer.Instant) *blvalue.Refusal {
	if !s.fresh(now) {
		return blvalue.NotRun(blvalue.ReasonStale, "this node has heard no lead for too long")
	}
	if m.Account == "" && m.Open {
		return nil
	}
	if s.config.Plan.Digests[m.Request.KeyDigest] != m.Account {
		return blvalue.NotRun(blvalue.ReasonUnknownKey, "the client key was withdrawn")
	}
	return nil
}

// configChanged takes a later configuration. Requests that wait under a key
// that was withdrawn are refused.
func (s State) configChanged(m ConfigChanged) (State, []Effect) {
	if m.Accepted.Revision <= s.config.Revision {
		return s, nil
	}
	s.config = m.Accepted
	var effects []Effect
	for name, purse := range s.purses.All() {
		var kept []waiter
		for _, w := range purse.waiting {
			if s.config.Plan.Digests[w.admit.Request.KeyDigest] == name {
				kept = append(kept, w)
				continue
			}
			effects = append(effects, Refuse{
				Reply:   w.admit.Reply,
				Refusal: blvalue.NotRun(blvalue.ReasonUnknownKey, "the client key was withdrawn"),
			})
		}
		purse.waiting = kept
		s.purses = s.purses.With(name, purse)
	}
	return s, effects
}

// tick refuses requests that have waited too long, and reports to the lead.
func (s State) tick(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, purse := range s.purses.All() {
		if len(purse.waiting) == 0 {
			continue
		}
		var kept []waiter
		for _, w := range purse.waiting {
			if now.Before(w.deadline) {
				kept = append(kept, w)
				continue
			}
			effects = append(effects, Refuse{
				Reply:   w.admit.Reply,
				Refusal: blvalue.NotRun(blvalue.ReasonStale, "no lead lent tokens in time"),
			})
		}
		purse.waiting = kept
		s.purses = s.purses.With(name, purse)
	}
	s, asked := s.borrow(now)
	return s, append(effects, asked...)
}

// borrow asks the lead for tokens when something waits or it is time to
// report. One exchange at a time serves all accounts.
func (s State) borrow(now bltimer.Instant) (State, []Effect) {
	if s.borrowing && now.Sub(s.askedAt) > borrowTimeout {
		s.borrowing = false
	}
	elapsed := now.Sub(s.askedAt)
	if s.borrowing || elapsed < borrowEvery || !s.anyWaits(now) && elapsed < settleEvery {
		return s, nil
	}
	var needs []blpurse.Need
	for name, purse := range s.purses.All() {
		purse = purse.withWindow(now)
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
	var effects []Effect
	for _, loan := range m.Loans {
		purse, _ := s.purses.Get(loan.Account)
		purse = purse.withLoan(loan, m.Term, m.SentAt, now)
		var served []Effect
		purse, served = s.serve(purse, now)
		s.purses = s.purses.With(loan.Account, purse)
		effects = append(effects, served...)
	}
	return s, effects
}

func (s State) serve(purse Purse, now bltimer.Instant) (Purse, []Effect) {
	var effects []Effect
	var kept []waiter
	for _, w := range purse.waiting {
		next, spent := purse.withSpent(now)
		switch {
		case spent:
			purse = next
			effects = append(effects, w.find)
		case w.borrowed:
			effects = append(effects, s.overRate(w.admit, purse))
		default:
			kept = append(kept, w)
		}
	}
	purse.waiting = kept
	return purse, effects
}
