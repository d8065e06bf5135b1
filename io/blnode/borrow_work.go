package blnode

import (
	"context"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
)

const borrowTimeout = 400 * time.Millisecond

// tokenBorrower borrows rate-limit tokens from the lead.
type tokenBorrower struct {
	client *blgrpc.Client
	clock  bltimer.Clock
	self   blvalue.Host
	lead   func() blvalue.Host
	put    func(bladmit.Message) error
}

func (b tokenBorrower) perform(effect bladmit.Borrow) {
	completed := bladmit.BorrowCompleted{SentAt: b.clock.Now(), Failed: true}
	lead := b.lead()
	if !lead.IsZero() {
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		answer, err := b.client.Borrow(ctx, lead.Address, b.self.Incarnation, effect.Needs)
		completed.Failed = err != nil || answer.Term == 0
		completed.Term = answer.Term
		completed.Loans = answer.Loans
	}
	_ = b.put(completed)
}
