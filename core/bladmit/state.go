package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// minBorrowInterval is the shortest time between two requests for tokens to the
	// lead.
	minBorrowInterval = 20 * time.Millisecond
	// borrowTimeout is how long an unanswered request for tokens blocks the next
	// one.
	borrowTimeout = 500 * time.Millisecond
	// maxWaiting limits the requests of one account that wait for tokens.
	maxWaiting = 256
	// defaultMaxWait limits how long a request waits for tokens on a route without
	// a latency goal.
	defaultMaxWait = 2 * time.Second
	// goalDivisor gives the fraction of a route's latency goal, one in four, for
	// which a request may wait for tokens.
	goalDivisor = 4
	// returnDivisor gives the part of the time left to its deadline, one in three, for
	// which a refused caller waits before it comes back.
	returnDivisor = 3
)

// State is the immutable state of the admission duty.
type State struct {
	config blconfig.Accepted
	// heartbeatAt is when the last heartbeat that a lead answered was sent, and
	// leadSeen whether there was one.
	heartbeatAt bltimer.Instant
	leadSeen    bool
	leaving     bool
	quotas      bltable.Table[blvalue.AccountName, Quota]
	// borrowing is set while a request for tokens is in flight, and borrowedAt is
	// when the last one was sent.
	borrowing  bool
	borrowedAt bltimer.Instant
	// unansweredSince is when the first request for tokens after the last answered
	// one was sent, or zero if there is none. nodesKnownAt is when the nodes became
	// known.
	unansweredSince bltimer.Instant
	nodesKnownAt    bltimer.Instant
	self            blvalue.Host
	fleet           fleet
	// fallback enables the fallback rate while no lead lends. Otherwise requests
	// wait for a lead.
	fallback bool
	// requests counts the requests. It selects among the services that share a
	// route.
	requests uint64
}

// New returns the state of a node that has no configuration yet.
func New(self blvalue.Host) State {
	return State{self: self}
}

// WithFallback returns the state of a node that admits requests at a fallback rate
// while no lead lends tokens.
func (s State) WithFallback() State {
	s.fallback = true
	return s
}

// Config returns the configuration in force at this node.
func (s State) Config() blconfig.Accepted {
	return s.config
}

// Busy reports whether a request is waiting or there is anything to report to the
// lead.
func (s State) Busy(now bltimer.Instant) bool {
	for _, quota := range s.quotas.All() {
		if len(quota.waiting) > 0 || !quota.idle(now) {
			return true
		}
	}
	return false
}

// Decide returns the next state and the effects of one message.
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
	case LeadResponded:
		s.heartbeatAt = max(s.heartbeatAt, m.SentAt)
		s.leadSeen = true
		return s, nil
	case BorrowCompleted:
		return s.borrowCompleted(m, now)
	case NodesChanged:
		if len(s.fleet.nodes) == 0 {
			s.nodesKnownAt = now
		}
		s.fleet = s.fleet.withNodes(s.self.Name, m.Nodes)
		return s, nil
	case Spend:
		return s.spend(m, now)
	case DelegateAnswered:
		return s.delegateAnswered(m, now)
	case Leave:
		s.leaving = true
		return s, nil
	}
	return s, nil
}

// configChanged applies a newer configuration and refuses the waiting requests
// whose client key it withdraws.
func (s State) configChanged(m ConfigChanged) (State, []Effect) {
	if !m.Accepted.LaterThan(s.config) {
		return s, nil
	}
	s.config = m.Accepted
	var effects []Effect
	for name, quota := range s.quotas.All() {
		var remaining []waiter
		for _, w := range quota.waiting {
			if w.ofNode() || s.config.Plan.Digests[w.admit.Request.KeyDigest] == name {
				remaining = append(remaining, w)
				continue
			}
			effects = append(effects, Refuse{
				Reply:   w.admit.Reply,
				Refusal: blvalue.NotRun(blvalue.ReasonUnknownKey, "the client key was withdrawn"),
			})
		}
		quota.waiting = remaining
		s.quotas = s.quotas.With(name, quota)
	}
	return s, effects
}

// tick ends the wait of requests past their deadline, which take a fallback token
// or are refused, and requests tokens for the others.
func (s State) tick(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, quota := range s.quotas.All() {
		if len(quota.waiting) == 0 {
			continue
		}
		var ended, asked []Effect
		quota, ended = s.withoutExpired(name, quota, now)
		quota, asked = s.ask(name, quota, now)
		s.quotas = s.quotas.With(name, quota)
		effects = append(append(effects, ended...), asked...)
	}
	s, borrowed := s.borrow(now)
	return s, append(effects, borrowed...)
}

// withoutExpired returns the quota without the waiting requests past their
// deadline, and the effects that end these.
func (s State) withoutExpired(account blvalue.AccountName, quota Quota, now bltimer.Instant) (Quota, []Effect) {
	var effects []Effect
	var remaining []waiter
	for _, w := range quota.waiting {
		if now.Before(w.deadline) {
			remaining = append(remaining, w)
			continue
		}
		quota, w = s.withFallbackTokens(account, quota, w, now)
		if w.missing == 0 {
			effects = append(effects, w.served())
			continue
		}
		effects = append(effects, w.expired())
	}
	quota.waiting = remaining
	return quota, effects
}

// withFallbackTokens returns the quota and the waiter after it took the fallback
// tokens that it needs and that are available.
func (s State) withFallbackTokens(account blvalue.AccountName, quota Quota, w waiter, now bltimer.Instant) (Quota, waiter) {
	spent := true
	for w.missing > 0 && spent {
		quota, spent = s.withFallbackToken(quota, s.config.Plan.Accounts[account], w.domain(s.self), now)
		if spent {
			w = w.withTokens(1)
		}
	}
	return quota, w
}
