package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// borrowEvery is how often a node asks the lead for tokens at most.
	borrowEvery = 20 * time.Millisecond
	// borrowTimeout ends an exchange that got no answer.
	borrowTimeout = 500 * time.Millisecond
	// mostWaiting bounds the requests of one account that wait for tokens.
	mostWaiting = 256
	// longestWait bounds the time for which a request waits for tokens.
	longestWait = 2 * time.Second
	// goalShare is the part of a route's goal for which a request may wait for
	// tokens.
	goalShare = 4
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
	// lentAt is when a lead lent last, and startedAt when this state began.
	lentAt    bltimer.Instant
	startedAt bltimer.Instant
	// nodes is the number of nodes that share a rate while no lead lends, or
	// zero where they wait for a lead.
	nodes int
	// number counts the requests, for routes that several services share.
	number uint64
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
	case NodesSeen:
		s.nodes = m.Count
		s.startedAt = max(s.startedAt, now)
		return s, nil
	case Leave:
		s.leaving = true
		return s, nil
	}
	return s, nil
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
			var spent bool
			if purse, spent = s.withOwnToken(purse, s.config.Plan.Accounts[name].Rate, now); spent {
				effects = append(effects, w.find)
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
