package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// hasFreshConfig reports whether this node has a configuration and a lead answered
// its heartbeat recently enough for it to know of withdrawn client keys.
func (s State) hasFreshConfig(now bltimer.Instant) bool {
	return s.leadSeen && s.config.Revision > 0 && now.Sub(s.heartbeatAt) <= s.config.Plan.Timing.Freshness
}

func (s State) admit(m Admit, now bltimer.Instant) (State, []Effect) {
	s.requests++
	find, refusal := s.check(m, now)
	if refusal != nil {
		return s, []Effect{Refuse{Reply: m.Reply, Refusal: refusal}}
	}
	if !s.config.Plan.Accounts[find.Find.Account].RateLimited() {
		return s, []Effect{find}
	}
	return s.admitLimited(m, find, now)
}

// admitLimited admits a request of a rate-limited account, refuses it, or lets it
// wait for a token.
func (s State) admitLimited(m Admit, find FindTarget, now bltimer.Instant) (State, []Effect) {
	name := find.Find.Account
	quota, _ := s.quotas.Get(name)
	quota = s.withSource(name, quota.withArrivals(1, s.lookahead(), now), now)
	quota, spent := quota.withSpent(1, now)
	admitted := spent == 1
	if !admitted {
		quota, admitted = s.withFallbackToken(quota, s.config.Plan.Accounts[name], s.self.Domain, now)
	}
	if admitted {
		s.quotas = s.quotas.With(name, quota)
		s, effects := s.borrow(now)
		return s, append(effects, find)
	}
	if len(quota.waiting) >= maxWaiting || quota.exhausted(now) {
		var refusal Effect
		quota, refusal = s.overRate(m, name, quota, now)
		s.quotas = s.quotas.With(name, quota)
		return s, []Effect{refusal}
	}
	wait := min(m.Request.Timeout, s.maxWait(find.Find.Route))
	quota.waiting = append(quota.waiting[:len(quota.waiting):len(quota.waiting)],
		waiter{admit: m, find: find, missing: 1, deadline: now.Add(wait)})
	quota, asked := s.ask(name, quota, now)
	s.quotas = s.quotas.With(name, quota)
	s, borrowed := s.borrow(now)
	return s, append(asked, borrowed...)
}

// maxWait returns how long a request may wait for tokens: a fraction of its
// route's latency goal, or a fixed time if the route has none.
func (s State) maxWait(route blconfig.Route) time.Duration {
	if route.Goal > 0 {
		return route.Goal / goalDivisor
	}
	return defaultMaxWait
}

// overRate refuses a request of an account that has no tokens, and plans the return of
// its caller.
func (s State) overRate(m Admit, account blvalue.AccountName, quota Quota, now bltimer.Instant) (Quota, Effect) {
	quota, retryAfter := s.withReturns(account, quota, 1, m.Request.Timeout/returnDivisor, now)
	return quota, Refuse{
		Reply:      m.Reply,
		Refusal:    blvalue.NotRun(blvalue.ReasonRateLimited, "the client account has spent its rate and burst"),
		Account:    account,
		RetryAfter: retryAfter,
	}
}

// check determines the route and the account of a request, or the reason why the
// request may not run.
func (s State) check(m Admit, now bltimer.Instant) (FindTarget, *blvalue.Refusal) {
	if s.closed || s.leaving && !s.mayBeUpstreamCall(m.Request) {
		return FindTarget{}, leavingRefusal()
	}
	if !s.hasFreshConfig(now) {
		return FindTarget{}, blvalue.NotRun(blvalue.ReasonStale, "this node has heard no lead for too long")
	}
	route, ok := s.config.Plan.Find(m.Request, m.Path)
	if !ok {
		return FindTarget{}, blvalue.NotRun(blvalue.ReasonUnknownRoute, "no route takes this service, method and path")
	}
	request := m.Request.WithService(route.Choose(s.requests))
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

// mayBeUpstreamCall reports whether a request can be one that the local upstream makes
// for a request that it already runs. In a deployment without accounts those can't be
// told from callers' requests.
func (s State) mayBeUpstreamCall(request blvalue.Request) bool {
	return request.KeyDigest == "" && len(s.config.Plan.Accounts) > 0
}

// upstreamCallRank is the rank of requests without an account in a deployment
// that has accounts. They are calls made by upstreams, on which requests that are
// already running depend.
const upstreamCallRank = -1

// routeRanks is the number of route ranks within each account rank.
const routeRanks = 64

// ranked returns the route with the rank of the account, if the account has one.
// Requests of accounts with equal rank are ordered by the rank of their route.
func (s State) ranked(route blconfig.Route, account blvalue.AccountName) blconfig.Route {
	if a := s.config.Plan.Accounts[account]; a.HasRank {
		return route.WithRank(a.Rank*routeRanks + min(route.Rank, routeRanks-1))
	}
	if account == "" && len(s.config.Plan.Accounts) > 0 {
		return route.WithRank(upstreamCallRank)
	}
	return route.WithRank(route.Rank * routeRanks)
}

func (s State) recheck(m Recheck, now bltimer.Instant) *blvalue.Refusal {
	if !s.hasFreshConfig(now) {
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
