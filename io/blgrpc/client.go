package blgrpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
)

// Client calls other nodes over one connection per address.
type Client struct {
	decode  Decode
	headers HeaderTable

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient(decode Decode, headers HeaderTable) *Client {
	return &Client{decode: decode, headers: headers, connections: map[string]*grpc.ClientConn{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
	clear(c.connections)
}

const (
	// windowBytes is the flow-control window of streams and connections.
	windowBytes    = 1 << 20
	connectTimeout = 500 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	baseBackoff    = 50 * time.Millisecond
	backoffFactor  = 1.6
	backoffJitter  = 0.2
)

func (c *Client) nodeClient(address string) (blproto.NodeClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, ok := c.connections[address]; ok {
		return blproto.NewNodeClient(connection), nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		// Setting the window size keeps gRPC from estimating it with pings.
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: baseBackoff, Multiplier: backoffFactor, Jitter: backoffJitter, MaxDelay: maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	c.connections[address] = connection
	return blproto.NewNodeClient(connection), nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial node: %w", err)
	}
	return connection, nil
}

// Heartbeat sends a heartbeat to the node at address.
func (c *Client) Heartbeat(
	ctx context.Context, address string, heartbeat blassign.Heartbeat,
) (blassign.HeartbeatReply, error) {
	node, err := c.nodeClient(address)
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
	lead, err := c.nodeClient(address)
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
	delegate, err := c.nodeClient(ask.Delegate.Address)
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
	node, err := c.nodeClient(asked.Standby.Address)
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
	node, err := c.nodeClient(address)
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
	node, err := c.nodeClient(address)
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
	node, err := c.nodeClient(address)
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
