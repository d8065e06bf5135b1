package bladmit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// delegateRate is the rate limit in requests per second for which an account
	// has one delegate. An account with a higher limit has several.
	delegateRate = 40
	// ownLoanDemand is the demand in tokens per lookahead from which a node borrows
	// an account's tokens itself: rounding its loans up then costs little.
	ownLoanDemand = 4
	// burstPerNode is the number of tokens of an account's burst per node from which
	// all nodes borrow themselves, since their rounded loans fit into the burst.
	burstPerNode = 4
	// minDelegateFleet is the number of nodes from which accounts have delegates.
	minDelegateFleet = 8
	// unreachableTime is how long a node doesn't ask a delegate that failed to
	// answer.
	unreachableTime = 2 * time.Second
	// minAskTime is the shortest time in which a delegate can be expected to answer.
	minAskTime = 20 * time.Millisecond
	// askDivisor gives the part of a request's remaining wait, one in four, for which
	// the delegate may wait for the lead. The rest is for another delegate.
	askDivisor = 4
)

// fleet is the immutable list of the nodes that can be the delegates of accounts:
// the nodes that borrow an account's tokens from the lead and spend them on behalf
// of the nodes that see few of its requests.
type fleet struct {
	self  uint64
	nodes []fleetNode
	// domains is the number of failure domains with nodes.
	domains int
	// unreachable tells until when a node is not asked.
	unreachable bltable.Table[blvalue.HostName, bltimer.Instant]
}

// fleetNode is a node and the hash of its name.
type fleetNode struct {
	host blvalue.Host
	hash uint64
}

// withNodes returns the fleet with the given nodes.
func (f fleet) withNodes(self blvalue.HostName, hosts []blvalue.Host) fleet {
	f.self = xxhash.Sum64String(string(self))
	f.nodes = make([]fleetNode, 0, len(hosts))
	domains := map[blvalue.DomainName]bool{}
	for _, host := range hosts {
		domains[host.Domain] = true
		f.nodes = append(f.nodes, fleetNode{host: host, hash: xxhash.Sum64String(string(host.Name))})
	}
	f.domains = len(domains)
	return f
}

// withUnreachable returns the fleet after a node failed to answer.
func (f fleet) withUnreachable(name blvalue.HostName, now bltimer.Instant) fleet {
	for other, until := range f.unreachable.All() {
		if !now.Before(until) {
			f.unreachable = f.unreachable.Without(other)
		}
	}
	f.unreachable = f.unreachable.With(name, now.Add(unreachableTime))
	return f
}

// delegate returns the reachable node that this node asks for the account's
// tokens.
func (f fleet) delegate(account blconfig.Account, now bltimer.Instant) (blvalue.Host, bool) {
	return f.choose(f.slotKey(account, f.self), func(host blvalue.Host) bool {
		until, ok := f.unreachable.Get(host.Name)
		return !ok || !now.Before(until)
	})
}

// isDelegate reports whether the named node is a delegate of the account as long as
// all nodes are reachable.
func (f fleet) isDelegate(account blconfig.Account, name blvalue.HostName) bool {
	for slot := range delegateCount(account) {
		host, ok := f.choose(accountKey(account)+slot, func(blvalue.Host) bool { return true })
		if ok && host.Name == name {
			return true
		}
	}
	return false
}

// borrowsEverywhere reports whether all nodes borrow the account's tokens from the
// lead themselves, because their loans fit into the burst even when rounded up.
func (f fleet) borrowsEverywhere(account blconfig.Account) bool {
	return len(f.nodes) < minDelegateFleet || int64(len(f.nodes))*burstPerNode <= account.Burst
}

func accountKey(account blconfig.Account) uint64 {
	return xxhash.Sum64String(string(account.Name))
}

// slotKey returns the key of the delegate slot of the account that a node uses.
func (f fleet) slotKey(account blconfig.Account, node uint64) uint64 {
	key := accountKey(account)
	return key + blvalue.Mix(node^key)%delegateCount(account)
}

// choose returns the eligible node for a key by rendezvous hashing: when a node is
// added or lost, only the keys that it gains or had change their node.
func (f fleet) choose(key uint64, eligible func(blvalue.Host) bool) (blvalue.Host, bool) {
	var best blvalue.Host
	var bestScore uint64
	key = blvalue.Mix(key)
	for _, node := range f.nodes {
		score := blvalue.Mix(node.hash ^ key)
		if (best.IsZero() || score > bestScore) && eligible(node.host) {
			best, bestScore = node.host, score
		}
	}
	return best, !best.IsZero()
}

// delegateCount returns the number of delegates of an account.
func delegateCount(account blconfig.Account) uint64 {
	return uint64(max((account.Rate+delegateRate-1)/delegateRate, 1))
}

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
	if !quota.delegated || quota.asking {
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
	quota.asking = true
	wait := max(longest/askDivisor, minAskTime)
	return quota, []Effect{AskDelegate{Delegate: quota.delegate, Account: account, Tokens: tokens, Wait: wait}}
}

// delegateAnswered serves the waiting requests with the tokens that a delegate
// spent on their behalf. If it didn't answer, the next delegate is asked.
func (s State) delegateAnswered(m DelegateAnswered, now bltimer.Instant) (State, []Effect) {
	quota, _ := s.quotas.Get(m.Account)
	quota.asking = false
	if m.Failed {
		s.fleet = s.fleet.withUnreachable(m.Delegate.Name, now)
	}
	var effects []Effect
	if m.Failed || m.Answer.TimedOut {
		quota = quota.withoutRequested()
	} else {
		quota = quota.withAnswer(m.Answer.Tokens, m.Answer.RetryAfter, now)
		quota, effects = s.serveFrom(m.Account, quota, m.Answer.Tokens)
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

// serveFrom admits waiting requests with tokens that a delegate has spent, and
// refuses those for which it had none.
func (s State) serveFrom(account blvalue.AccountName, quota Quota, tokens int64) (Quota, []Effect) {
	var effects []Effect
	var remaining []waiter
	for _, w := range quota.waiting {
		used := min(tokens, w.missing)
		tokens -= used
		w = w.withTokens(used)
		switch {
		case w.missing == 0:
			effects = append(effects, w.served())
		case w.requested:
			effects = append(effects, s.refuseOverRate(w, account, quota))
		default:
			remaining = append(remaining, w)
		}
	}
	quota.waiting = remaining
	return quota, effects
}

// spend serves another node's request for tokens as the delegate of an account.
func (s State) spend(m Spend, now bltimer.Instant) (State, []Effect) {
	account, known := s.config.Plan.Accounts[m.Account]
	if !known || !account.RateLimited() || s.leaving || !s.hasFreshConfig(now) {
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
		s.quotas = s.quotas.With(m.Account, quota)
		return s, []Effect{s.refuseOverRate(w, m.Account, quota)}
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
