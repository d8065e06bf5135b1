package blquota

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is an input of the quota duty, read from its ring.
type Message interface{ quotaMessage() }

// AuthorityChanged carries this process's current authority as lead.
type AuthorityChanged struct{ Authority bllead.Authority }

// ConfigSeen carries an accepted configuration. Revisions that are not newer than
// the current one are ignored.
type ConfigSeen struct{ Accepted blconfig.Accepted }

// Borrow is a node's usage report and request for tokens.
type Borrow struct {
	Node  blvalue.Incarnation
	Needs []Need
	Reply blring.Reply[BorrowAnswer]
}

// BorrowAnswer is the answer to Borrow.
type BorrowAnswer struct {
	// Term is zero when this process may not lend.
	Term  uint64
	Loans []Loan
}

func (AuthorityChanged) quotaMessage() {}
func (ConfigSeen) quotaMessage()       {}
func (Borrow) quotaMessage()           {}

// Effect is an output of the quota duty: the answer to a Borrow message.
type Effect struct {
	Reply  blring.Reply[BorrowAnswer]
	Answer BorrowAnswer
}

// State is the immutable state of the quota duty.
type State struct {
	authority bllead.Authority
	config    blconfig.Accepted
	buckets   bltable.Table[blvalue.AccountName, Bucket]
}

// New returns the state of a process that is not the lead.
func New() State {
	return State{}
}

// Bucket returns the bucket of an account.
func (s State) Bucket(account blvalue.AccountName) (Bucket, bool) {
	return s.buckets.Get(account)
}

// Decide returns the next state and the effects of one message.
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

// configSeen applies a newer configuration to the buckets. The bucket of a new
// account starts empty, as do all buckets of a new lead.
func (s State) configSeen(m ConfigSeen, now bltimer.Instant) State {
	if !m.Accepted.LaterThan(s.config) {
		return s
	}
	for name, bucket := range s.buckets.All() {
		if account, ok := s.config.Plan.Accounts[name]; ok {
			s.buckets = s.buckets.With(name, s.advanced(bucket, account, now))
		}
	}
	s.config = m.Accepted
	for name, account := range s.config.Plan.Accounts {
		bucket, ok := s.buckets.Get(name)
		if !ok {
			bucket = NewBucket(account, now)
		}
		account.Burst = s.effectiveBurst(account, now)
		s.buckets = s.buckets.With(name, bucket.WithAccount(account, now))
	}
	return s
}

// settling reports whether this lead is settling: tokens lent in an earlier term
// may still be in use.
func (s State) settling(now bltimer.Instant) bool {
	return now.Before(s.settledAt())
}

// effectiveBurst returns the burst that this lead may lend. While tokens lent in
// an earlier term may be in use, they are assumed to make up the whole burst, and
// only the overdraft may be lent in addition.
func (s State) effectiveBurst(account blconfig.Account, now bltimer.Instant) int64 {
	if !s.settling(now) {
		return account.Burst
	}
	return min(account.Burst, account.Overdraft)
}

// advanced returns the bucket of an account advanced to now. The account's full
// burst applies from the instant at which the lead settled.
func (s State) advanced(bucket Bucket, account blconfig.Account, now bltimer.Instant) Bucket {
	changedAt := min(now, s.settledAt())
	return bucket.WithBurst(s.effectiveBurst(account, now), changedAt).WithTime(now)
}

// loanTTL returns how long after a loan its tokens may still be spent, including
// the margin for clock drift.
func (s State) loanTTL() time.Duration {
	return s.config.Plan.Timing.LoanTTL + s.config.Plan.Timing.ClockMargin
}

// settledAt returns when all loans of earlier terms have expired.
func (s State) settledAt() bltimer.Instant {
	return s.authority.SettledAt(s.loanTTL())
}

// borrow applies a node's reports and lends it tokens. A lead that is settling
// lends tokens only of accounts with an overdraft. The answer has term zero when
// this process may not lend, or is settling and has nothing to lend.
func (s State) borrow(m Borrow, now bltimer.Instant) (State, []Effect) {
	if !s.authority.Holds(now) || s.config.Revision == 0 {
		return s, []Effect{{Reply: m.Reply}}
	}
	answer := BorrowAnswer{Term: s.authority.Term}
	expiresAt := now.Add(s.loanTTL())
	for _, need := range m.Needs {
		account, known := s.config.Plan.Accounts[need.Account]
		bucket, ok := s.buckets.Get(need.Account)
		if !ok || !known || s.settling(now) && account.Overdraft == 0 {
			continue
		}
		bucket = s.advanced(bucket, account, now).WithReport(m.Node, need)
		loan := Loan{Account: need.Account}
		bucket, loan.Tokens = bucket.WithLoan(m.Node, need.Wanted, expiresAt)
		if loan.Tokens < need.Wanted {
			loan.RetryAfter = bucket.untilNextToken()
		}
		s.buckets = s.buckets.With(need.Account, bucket)
		answer.Loans = append(answer.Loans, loan)
	}
	if s.settling(now) && len(answer.Loans) == 0 {
		return s, []Effect{{Reply: m.Reply}}
	}
	return s, []Effect{{Reply: m.Reply, Answer: answer}}
}
