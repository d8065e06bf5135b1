// Package bladmit is a node's duty of admission: it finds the client account
// of a request by its key, holds the account to its rate, and refuses what it
// can't vouch for.
package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blpurse"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is what the admission duty reads from its ring.
type Message interface{ admitMessage() }

// Tick tells that time has passed.
type Tick struct{}

// Admit asks whether a request may run, and where.
type Admit struct {
	Request blvalue.Request
	// Path is the part of the URL after the key.
	Path  string
	Reply blring.Reply[blroute.Answer]
}

// Recheck asks whether a request that was admitted is still allowed: its
// account still has the key, and the configuration is fresh.
type Recheck struct {
	Request blvalue.Request
	Account blvalue.AccountName
	Open    bool
	Reply   blring.Reply[*blvalue.Refusal]
}

// ConfigChanged carries a later configuration.
type ConfigChanged struct{ Accepted blconfig.Accepted }

// LeadHeard tells that a lead answered a heartbeat sent at SentAt.
type LeadHeard struct{ SentAt bltimer.Instant }

// Lent carries the lead's answer to Borrow.
type Lent struct {
	SentAt bltimer.Instant
	// Term is the term of the lead that lent.
	Term  uint64
	Loans []blpurse.Loan
	// Failed tells that no lead lent anything.
	Failed bool
}

// NodesSeen tells how many nodes share the rates while no lead lends.
type NodesSeen struct{ Count int }

func (NodesSeen) admitMessage() {}

// Leave tells that this node takes no new work.
type Leave struct{}

func (Tick) admitMessage()          {}
func (Admit) admitMessage()         {}
func (Recheck) admitMessage()       {}
func (ConfigChanged) admitMessage() {}
func (LeadHeard) admitMessage()     {}
func (Lent) admitMessage()          {}
func (Leave) admitMessage()         {}

// Effect is what the admission duty wants done.
type Effect interface{ admitEffect() }

// FindTarget hands an admitted request to the routing duty.
type FindTarget struct{ Find blroute.Find }

// Refuse answers a request that may not run.
type Refuse struct {
	Reply   blring.Reply[blroute.Answer]
	Refusal *blvalue.Refusal
	// Account is empty where none was found.
	Account    blvalue.AccountName
	RetryAfter time.Duration
}

// AnswerRecheck answers Recheck.
type AnswerRecheck struct {
	Reply   blring.Reply[*blvalue.Refusal]
	Refusal *blvalue.Refusal
}

// Borrow asks the lead for tokens.
type Borrow struct{ Needs []blpurse.Need }

func (FindTarget) admitEffect()    {}
func (Refuse) admitEffect()        {}
func (AnswerRecheck) admitEffect() {}
func (Borrow) admitEffect()        {}
