// Package bladmit implements the admission duty of a node: it identifies the
// client account of a request by its key, enforces the account's rate limit, and
// refuses requests when it can't verify that they are allowed.
package bladmit

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blring"
	"bergamotlead/core/blroute"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is an input of the admission duty, read from its ring.
type Message interface{ admitMessage() }

// Tick tells the duty that time has passed.
type Tick struct{}

// Admit requests a decision on whether a request may run and where.
type Admit struct {
	Request blvalue.Request
	// Path is the part of the URL after the key.
	Path  string
	Reply blring.Reply[blroute.Answer]
}

// Recheck requests a check that an admitted request is still allowed: its account
// still has the key and this node's configuration is fresh.
type Recheck struct {
	Request blvalue.Request
	Account blvalue.AccountName
	Open    bool
	Reply   blring.Reply[*blvalue.Refusal]
}

// ConfigChanged carries a newly accepted configuration. Revisions that are not
// newer than the current one are ignored.
type ConfigChanged struct{ Accepted blconfig.Accepted }

// LeadResponded reports that a lead answered the heartbeat sent at SentAt.
type LeadResponded struct{ SentAt bltimer.Instant }

// BorrowCompleted carries the lead's answer to Borrow.
type BorrowCompleted struct {
	SentAt bltimer.Instant
	// Term is the term of the lead that lent the tokens.
	Term  uint64
	Loans []blquota.Loan
	// Failed is set when no lead lent tokens: the call failed, or the process
	// that answered may not lend.
	Failed bool
}

// NodesChanged sets the nodes of the fleet, including this one: the delegates of
// accounts, and the nodes that share the rates while no lead lends tokens.
type NodesChanged struct{ Nodes []blvalue.Host }

// Spend asks this node for tokens of an account on behalf of another node. This
// node borrows them from the lead if it has none.
type Spend struct {
	Account blvalue.AccountName
	Tokens  int64
	// Domain is the failure domain of the other node.
	Domain blvalue.DomainName
	// Wait is how long the answer may take.
	Wait  time.Duration
	Reply blring.Reply[SpendAnswer]
}

// SpendAnswer is the answer to Spend.
type SpendAnswer struct {
	// Tokens is the number of tokens spent on behalf of the other node.
	Tokens int64
	// RetryAfter is the time until a token is available, if Tokens is less than
	// requested because the account is over its rate.
	RetryAfter time.Duration
	// TimedOut is set when no lead lent any tokens in time.
	TimedOut bool
	// Unavailable is set when this node can't be the delegate of the account.
	Unavailable bool
}

// DelegateAnswered carries the answer to AskDelegate.
type DelegateAnswered struct {
	Account  blvalue.AccountName
	Delegate blvalue.Host
	Answer   SpendAnswer
	// Failed is set when the delegate didn't answer or can't be one.
	Failed bool
}

// Leave makes this node refuse new requests. It still admits calls that the local
// upstream makes for requests that it already runs.
type Leave struct {
	// RefuseCalls makes it refuse these calls as well, once the upstream runs nothing.
	RefuseCalls bool
}

// Close refuses all waiting requests, and makes this node refuse all new ones.
type Close struct{}

func (Tick) admitMessage()             {}
func (Close) admitMessage()            {}
func (Admit) admitMessage()            {}
func (Recheck) admitMessage()          {}
func (ConfigChanged) admitMessage()    {}
func (LeadResponded) admitMessage()    {}
func (BorrowCompleted) admitMessage()  {}
func (Leave) admitMessage()            {}
func (NodesChanged) admitMessage()     {}
func (Spend) admitMessage()            {}
func (DelegateAnswered) admitMessage() {}

// Effect is an output of the admission duty.
type Effect interface{ admitEffect() }

// FindTarget passes an admitted request to the routing duty.
type FindTarget struct{ Find blroute.Find }

// Refuse answers a request that may not run.
type Refuse struct {
	Reply   blring.Reply[blroute.Answer]
	Refusal *blvalue.Refusal
	// Account is empty when the account is unknown.
	Account    blvalue.AccountName
	RetryAfter time.Duration
}

// AnswerRecheck is the answer to Recheck. Refusal is nil when the request is still
// allowed.
type AnswerRecheck struct {
	Reply   blring.Reply[*blvalue.Refusal]
	Refusal *blvalue.Refusal
}

// Borrow reports usage to the lead and requests tokens.
type Borrow struct{ Needs []blquota.Need }

// AskDelegate requests tokens from the delegate of an account. The answer is due
// within Wait.
type AskDelegate struct {
	Delegate blvalue.Host
	Account  blvalue.AccountName
	Tokens   int64
	Wait     time.Duration
}

// AnswerSpend is the answer to Spend.
type AnswerSpend struct {
	Reply  blring.Reply[SpendAnswer]
	Answer SpendAnswer
}

func (FindTarget) admitEffect()    {}
func (AskDelegate) admitEffect()   {}
func (AnswerSpend) admitEffect()   {}
func (Refuse) admitEffect()        {}
func (AnswerRecheck) admitEffect() {}
func (Borrow) admitEffect()        {}
