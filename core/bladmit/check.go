package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// fresh reports whether this node would know of a withdrawn key.
func (s State) fresh(now bltimer.Instant) bool {
	return s.heard && s.config.Revision > 0 && now.Sub(s.heardAt) <= s.config.Plan.Timing.Freshness
}

func (s State) admit(m Admit, now bltimer.Instant) (State, []Effect) {
	s.number++
	find, refusal := s.check(m, now)
	if refusal != nil {
		return s, []Effect{Refuse{Reply: m.Reply, Refusal: refusal}}
	}
	if !s.config.Plan.Accounts[find.Find.Account].Limited() {
		return s, []Effect{find}
	}
	purse, _ := s.purses.Get(find.Find.Account)
	purse = purse.withArrival(s.ahead(), now)
	purse, spent := purse.withSpent(now)
	if !spent {
		purse, spent = s.withOwnToken(purse, s.config.Plan.Accounts[find.Find.Account].Rate, now)
	}
	if spent {
		s.purses = s.purses.With(find.Find.Account, purse)
		s, effects := s.borrow(now)
		return s, append(effects, find)
	}
	if len(purse.waiting) >= mostWaiting || purse.empty(now) {
		s.purses = s.purses.With(find.Find.Account, purse)
		return s, []Effect{s.overRate(m, find.Find.Account, purse)}
	}
	wait := min(m.Request.Timeout, s.longestWait(find.Find.Route))
	purse.waiting = append(purse.waiting[:len(purse.waiting):len(purse.waiting)],
		waiter{admit: m, find: find, deadline: now.Add(wait)})
	s.purses = s.purses.With(find.Find.Account, purse)
	return s.borrow(now)
}

// longestWait bounds the time for which a request waits for tokens: a part of
// the time in which its answer is most useful.
func (s State) longestWait(route blconfig.Route) time.Duration {
	if route.Goal > 0 {
		return route.Goal / goalShare
	}
	return longestWait
}

func (s State) overRate(m Admit, account blvalue.AccountName, purse Purse) Refuse {
	return Refuse{
		Reply:      m.Reply,
		Refusal:    blvalue.NotRun(blvalue.ReasonOverRate, "the client account has spent its rate and burst"),
		Account:    account,
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
	route, ok := s.config.Plan.Find(m.Request, m.Path)
	if !ok {
		return FindTarget{}, blvalue.NotRun(blvalue.ReasonUnknownRoute, "no route takes this service, method and path")
	}
	request := m.Request.WithService(route.Choose(s.number))
	account, refusal := s.account(request, route)
	if refusal != nil {
		return FindTarget{}, refusal
	}
	return FindTarget{Find: blroute.Find{
		Request: request, Route: s.ranked(route, account), Account: account, First: true, Reply: m.Reply,
	}}, nil
}

func (s State) account(request blvalue.Request, route blconfig.Route) (blvalue.AccountName, *blvalue.Refusal) {
	if request.KeyDigest == "" && route.Open {
		return "", nil
	}
	name, ok := s.config.Plan.Digests[request.KeyDigest]
	if !ok && route.Open && request.Host != "" {
		return "", nil
	}
	if !ok {
		return "", blvalue.NotRun(blvalue.ReasonUnknownKey, "the client key is missing or not valid")
	}
	if !s.config.Plan.Accounts[name].MayCall(request.Service) {
		return "", blvalue.NotRun(blvalue.ReasonUnknownKey, "the client account may not call this service")
	}
	return name, nil
}

// callRank is the rank of requests without an account in a deployment that has
// accounts. They are calls of upstreams, on which work waits that has begun.
const callRank = -1

// ranksOfRoutes is the number of ranks of routes within one rank of accounts.
const ranksOfRoutes = 64

// ranked returns the route with the rank of the account, if it has its own.
// Requests of equal accounts go by the rank of their route.
func (s State) ranked(route blconfig.Route, account blvalue.AccountName) blconfig.Route {
	if a := s.config.Plan.Accounts[account]; a.HasRank {
		return route.WithRank(a.Rank*ranksOfRoutes + min(route.Rank, ranksOfRoutes-1))
	}
	if account == "" && len(s.config.Plan.Accounts) > 0 {
		return route.WithRank(callRank)
	}
	return route.WithRank(route.Rank * ranksOfRoutes)
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
