package bladmit

import (
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
