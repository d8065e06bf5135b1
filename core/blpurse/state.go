package blpurse

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is what the spending duty reads from its ring.
type Message interface{ purseMessage() }

// AuthorityChanged tells what this process may do as lead.
type AuthorityChanged struct{ Authority bllead.Authority }

// ConfigSeen carries an accepted configuration.
type ConfigSeen struct{ Accepted blconfig.Accepted }

// Borrow is a node's request for tokens.
type Borrow struct {
	Node  blvalue.Incarnation
	Needs []Need
	Reply blring.Reply[BorrowAnswer]
}

// BorrowAnswer answers Borrow.
type BorrowAnswer struct {
	// Term is zero when this process may not lend.
	Term  uint64
	Loans []Loan
}

func (AuthorityChanged) purseMessage() {}
func (ConfigSeen) purseMessage()       {}
func (Borrow) purseMessage()           {}

// Effect is what the spending duty wants done: answering Borrow.
type Effect struct {
	Reply  blring.Reply[BorrowAnswer]
	Answer BorrowAnswer
}

// State is the spending duty's immutable state.
type State struct {
	authority bllead.Authority
	config    blconfig.Accepted
	buckets   bltable.Table[blvalue.AccountName, Bucket]
}

// New returns the state of a process that isn't lead.
func New() State {
	return State{}
}

// Bucket returns the bucket of an account.
func (s State) Bucket(account blvalue.AccountName) (Bucket, bool) {
	return s.buckets.Get(account)
}

// Decide computes the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case AuthorityChanged:
		if m.Authority.Term != s.authority.Term {
			s = State{}
		}
		s.authority = m.Authority
		return s, nil
	case ConfigSeen:
		return s.configSeen(m, now), nil
	case Borrow:
		return s.borrow(m, now)
	}
	return s, nil
}

// configSeen keeps a bucket for each account. A new account, and every account
// of a new lead, starts with an empty one.
func (s State) configSeen(m ConfigSeen, now bltimer.Instant) State {
	if m.Accepted.Revision <= s.config.Revision {
		return s
	}
	for name, bucket := range s.buckets.All() {
		if account, ok := s.config.Plan.Accounts[name]; ok {
			s.buckets = s.buckets.With(name, s.filled(bucket, account, now))
		}
	}
	s.config = m.Accepted
	for name, account := range s.config.Plan.Accounts {
		bucket, ok := s.buckets.Get(name)
		if !ok {
			bucket = NewBucket(account, now)
		}
		account.Burst = s.burst(account, now)
		s.buckets = s.buckets.With(name, bucket.WithAccount(account, now))
	}
	return s
}

// settling reports whether purses of an older term may still be in use.
func (s State) settling(now bltimer.Instant) bool {
	return now.Before(s.settledAt())
}

// burst returns what this lead may lend of the account at once. While purses of
// an older term may be in use, they are taken to hold the whole burst, and only
// the overdraft is lent beside them.
func (s State) burst(account blconfig.Account, now bltimer.Instant) int64 {
	if !s.settling(now) {
		return account.Burst
	}
	return min(account.Burst, account.Overdraft)
}

// filled returns the bucket of an account at now. The whole burst is its bound
// from the moment on at which the lead settled.
func (s State) filled(bucket Bucket, account blconfig.Account, now bltimer.Instant) Bucket {
	changedAt := min(now, s.settledAt())
	return bucket.WithBurst(s.burst(account, now), changedAt).WithTime(now)
}

// lasts returns for how long a purse may be spent after it was lent.
func (s State) lasts() time.Duration {
	return s.config.Plan.Timing.PurseTTL + s.config.Plan.Timing.Margin
}

// settledAt returns when every purse of an older term has lapsed.
func (s State) settledAt() bltimer.Instant {
	return s.authority.SettledAt(s.lasts())
}

// borrow lends tokens.
func (s State) borrow(m Borrow, now bltimer.Instant) (State, []Effect) {
	if !s.authority.Holds(now) || s.config.Revision == 0 {
		return s, []Effect{{Reply: m.Reply}}
	}
	answer := BorrowAnswer{Term: s.authority.Term}
	expires := now.Add(s.lasts())
	for _, need := range m.Needs {
		account, known := s.config.Plan.Accounts[need.Account]
		bucket, ok := s.buckets.Get(need.Account)
		if !ok || !known || s.settling(now) && account.Overdraft == 0 {
			continue
		}
		bucket = s.filled(bucket, account, now).WithReport(m.Node, need)
		loan := Loan{Account: need.Account}
		bucket, loan.Tokens = bucket.WithLoan(m.Node, need.Wanted, expires)
		if loan.Tokens < need.Wanted {
			loan.RetryAfter = bucket.untilNext()
		}
		s.buckets = s.buckets.With(need.Account, bucket)
		answer.Loans = append(answer.Loans, loan)
	}
	if s.settling(now) && len(answer.Loans) == 0 {
		return s, []Effect{{Reply: m.Reply}}
	}
	return s, []Effect{{Reply: m.Reply, Answer: answer}}
}
