package blgrpc

import (
	"context"
	"fmt"
	"sync"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
)

// Client calls other nodes over one connection per address.
type Client struct {
	decode   Decode
	headers  HeaderTable
	replaced func(address string)

	mu    sync.Mutex
	peers map[string]*peer
}

// NewClient returns a client without connections. It calls replaced with the address
// of a node whose connection went silent, before it closes that.
func NewClient(decode Decode, headers HeaderTable, replaced func(address string)) *Client {
	return &Client{decode: decode, headers: headers, replaced: replaced, peers: map[string]*peer{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.close()
	}
	clear(c.peers)
}

func (c *Client) peer(address string) (*peer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[address]; ok {
		return p, nil
	}
	p, err := newPeer(address, c.replaced)
	if err != nil {
		return nil, err
	}
	c.peers[address] = p
	return p, nil
}

// Heartbeat sends a heartbeat to the node at address.
func (c *Client) Heartbeat(
	ctx context.Context, address string, heartbeat blassign.Heartbeat,
) (blassign.HeartbeatReply, error) {
	node, err := c.peer(address)
	if err != nil {
		return blassign.HeartbeatReply{}, err
	}
	answer, err := node.Heartbeat(ctx, heartbeatToProto(heartbeat))
	if err != nil {
		return blassign.HeartbeatReply{}, fmt.Errorf("heartbeat to %s: %w", address, err)
	}
	return replyFromProto(answer), nil
}

// Borrow borrows rate-limit tokens from the lead at address.
func (c *Client) Borrow(
	ctx context.Context, address string, node blvalue.Incarnation, needs []blquota.Need,
) (blquota.BorrowAnswer, error) {
	lead, err := c.peer(address)
	if err != nil {
		return blquota.BorrowAnswer{}, err
	}
	answer, err := lead.Borrow(ctx, &blproto.BorrowRequest{NodeIncarnation: string(node), Needs: needsToProto(needs)})
	if err != nil {
		return blquota.BorrowAnswer{}, fmt.Errorf("borrow from %s: %w", address, err)
	}
	return blquota.BorrowAnswer{Term: answer.GetTerm(), Loans: loansFromProto(answer.GetLoans())}, nil
}

// Spend asks the delegate of an account for tokens.
func (c *Client) Spend(ctx context.Context, ask bladmit.AskDelegate, domain blvalue.DomainName) (bladmit.SpendAnswer, error) {
	delegate, err := c.peer(ask.Delegate.Address)
	if err != nil {
		return bladmit.SpendAnswer{}, err
	}
	answer, err := delegate.Spend(ctx, &blproto.SpendRequest{
		Account: string(ask.Account), Tokens: ask.Tokens, Domain: string(domain), WaitMs: milliseconds(ask.Wait),
	})
	if err != nil {
		return bladmit.SpendAnswer{}, fmt.Errorf("ask delegate %s: %w", ask.Delegate.Address, err)
	}
	return bladmit.SpendAnswer{
		Tokens: answer.GetTokens(), RetryAfter: duration(answer.GetRetryAfterMs()),
		TimedOut: answer.GetTimedOut(), Unavailable: answer.GetUnavailable(),
	}, nil
}

// AskStandby sends a request of the lead to its standby.
func (c *Client) AskStandby(
	ctx context.Context, self blvalue.Host, asked bllead.AskStandby,
) (bllead.StandbyAnswer, error) {
	node, err := c.peer(asked.Standby.Address)
	if err != nil {
		return bllead.StandbyAnswer{}, err
	}
	answer, err := node.AskStandby(ctx, &blproto.AskStandbyRequest{
		Term: asked.Term, Lead: hostToProto(self),
		StandbyIncarnation: string(asked.Standby.Incarnation), WantPromise: asked.WantPromise, Resigned: string(asked.Resigned),
		Probe: asked.Probe,
	})
	if err != nil {
		return bllead.StandbyAnswer{}, fmt.Errorf("ask standby at %s: %w", asked.Standby.Address, err)
	}
	return bllead.StandbyAnswer{
		Incarnation: blvalue.Incarnation(answer.GetIncarnation()),
		Promised:    answer.GetPromised(), Refusal: answer.GetRefusal(), StoreAnswers: answer.GetStoreAnswers(),
	}, nil
}

// Identify returns the identity of the process that listens at address.
func (c *Client) Identify(ctx context.Context, address string) (blvalue.Host, error) {
	node, err := c.peer(address)
	if err != nil {
		return blvalue.Host{}, err
	}
	answer, err := node.Identify(ctx, &blproto.IdentifyRequest{})
	if err != nil {
		return blvalue.Host{}, fmt.Errorf("identify %s: %w", address, err)
	}
	return hostFromProto(answer.GetHost()), nil
}

// Nudge asks the node at address to send a heartbeat immediately.
func (c *Client) Nudge(ctx context.Context, address string) error {
	node, err := c.peer(address)
	if err != nil {
		return err
	}
	if _, err := node.Nudge(ctx, &blproto.NudgeRequest{}); err != nil {
		return fmt.Errorf("nudge %s: %w", address, err)
	}
	return nil
}

// Apply forwards a configuration change to the lead at address.
func (c *Client) Apply(ctx context.Context, address string, change Change) (ChangeResult, error) {
	node, err := c.peer(address)
	if err != nil {
		return ChangeResult{}, err
	}
	answer, err := node.Apply(ctx, &blproto.ApplyRequest{
		BaseRevision: change.BaseRevision, Document: change.Document, WaitMs: milliseconds(change.Wait),
	})
	if err != nil {
		return ChangeResult{}, fmt.Errorf("apply at %s: %w", address, err)
	}
	return ChangeResult{
		Result: answer.GetResult(), Revision: answer.GetRevision(), InForce: answer.GetInForce(),
		Detail: answer.GetDetail(), Document: answer.GetDocument(),
	}, nil
}
