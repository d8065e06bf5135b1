package blgrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blpurse"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
	"bergamotlead/io/blsettings"
)

// Client calls other nodes, over one connection to each address.
type Client struct {
	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{connections: map[string]*grpc.ClientConn{}}
}

// Close ends every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
	clear(c.connections)
}

const (
	connectTimeout  = 500 * time.Millisecond
	longestBackoff  = 500 * time.Millisecond
	shortestBackoff = 50 * time.Millisecond
	backoffFactor   = 1.6
	backoffJitter   = 0.2
)

func (c *Client) node(address string) (blproto.NodeClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, ok := c.connections[address]; ok {
		return blproto.NewNodeClient(connection), nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(largestMessage)),
		grpc.WithContextDialer(dial),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: shortestBackoff, Multiplier: backoffFactor, Jitter: backoffJitter, MaxDelay: longestBackoff,
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

// Heartbeat reports to the node at address.
func (c *Client) Heartbeat(
	ctx context.Context, address string, heartbeat blassign.Heartbeat,
) (blassign.HeartbeatReply, error) {
	node, err := c.node(address)
	if err != nil {
		return blassign.HeartbeatReply{}, err
	}
	answer, err := node.Heartbeat(ctx, heartbeatToProto(heartbeat))
	if err != nil {
		return blassign.HeartbeatReply{}, fmt.Errorf("heartbeat to %s: %w", address, err)
	}
	reply := replyFromProto(answer)
	if config := answer.GetConfig(); config != nil {
		document, err := blsettings.ParseDocument(config.GetDocument())
		if err != nil {
			return blassign.HeartbeatReply{}, fmt.Errorf("read configuration of the lead: %w", err)
		}
		accepted := blconfig.NewAccepted(config.GetRevision(), document, string(config.GetDocument()))
		reply.Config = &accepted
	}
	return reply, nil
}

// Borrow asks the lead at address for tokens.
func (c *Client) Borrow(
	ctx context.Context, address string, node blvalue.Incarnation, needs []blpurse.Need,
) (blpurse.BorrowAnswer, error) {
	lead, err := c.node(address)
	if err != nil {
		return blpurse.BorrowAnswer{}, err
	}
	answer, err := lead.Borrow(ctx, &blproto.BorrowRequest{NodeIncarnation: string(node), Needs: needsToProto(needs)})
	if err != nil {
		return blpurse.BorrowAnswer{}, fmt.Errorf("borrow from %s: %w", address, err)
	}
	return blpurse.BorrowAnswer{Term: answer.GetTerm(), Loans: loansFromProto(answer.GetLoans())}, nil
}

// AskStandby calls the standby.
func (c *Client) AskStandby(
	ctx context.Context, self blvalue.Host, asked bllead.AskStandby,
) (bllead.StandbyAnswer, error) {
	node, err := c.node(asked.Standby.Address)
	if err != nil {
		return bllead.StandbyAnswer{}, err
	}
	answer, err := node.AskStandby(ctx, &blproto.AskStandbyRequest{
		Term: asked.Term, Lead: hostToProto(self),
		StandbyIncarnation: string(asked.Standby.Incarnation), WantPromise: asked.WantPromise,
	})
	if err != nil {
		return bllead.StandbyAnswer{}, fmt.Errorf("ask standby at %s: %w", asked.Standby.Address, err)
	}
	return bllead.StandbyAnswer{
		Incarnation: blvalue.Incarnation(answer.GetIncarnation()),
		Promised:    answer.GetPromised(), Refusal: answer.GetRefusal(),
	}, nil
}

// Identify asks which process answers at address.
func (c *Client) Identify(ctx context.Context, address string) (blvalue.Host, error) {
	node, err := c.node(address)
	if err != nil {
		return blvalue.Host{}, err
	}
	answer, err := node.Identify(ctx, &blproto.IdentifyRequest{})
	if err != nil {
		return blvalue.Host{}, fmt.Errorf("identify %s: %w", address, err)
	}
	return hostFromProto(answer.GetHost()), nil
}

// Nudge asks the node at address to send a heartbeat at once.
func (c *Client) Nudge(ctx context.Context, address string) error {
	node, err := c.node(address)
	if err != nil {
		return err
	}
	if _, err := node.Nudge(ctx, &blproto.NudgeRequest{}); err != nil {
		return fmt.Errorf("nudge %s: %w", address, err)
	}
	return nil
}

// Apply hands a change to the lead at address.
func (c *Client) Apply(ctx context.Context, address string, change Change) (ChangeResult, error) {
	node, err := c.node(address)
	if err != nil {
		return ChangeResult{}, err
	}
	answer, err := node.Apply(ctx, &blproto.ApplyRequest{
		BaseRevision: change.Base, Document: change.Document, WaitMs: milliseconds(change.Wait),
	})
	if err != nil {
		return ChangeResult{}, fmt.Errorf("apply at %s: %w", address, err)
	}
	return ChangeResult{
		Result: answer.GetResult(), Revision: answer.GetRevision(), InForce: answer.GetInForce(),
		Detail: answer.GetDetail(), Document: answer.GetDocument(),
	}, nil
}

// Deliver hands an order to the node of its target and passes the answer to
// sink.
func (c *Client) Deliver(ctx context.Context, order bldeliver.Order, sink bldeliver.Sink) bldeliver.Delivery {
	node, err := c.node(order.Target.Node.Address)
	if err != nil {
		return notSent(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := node.Deliver(ctx)
	if err != nil {
		return notSent(err)
	}
	head := orderToProto(order)
	if err := addSmallBody(head, order); err != nil {
		return notSent(err)
	}
	if err := stream.Send(&blproto.DeliverRequest{Part: &blproto.DeliverRequest_Head{Head: head}}); err != nil {
		return broken(ctx, streamError(stream, err), false)
	}
	if head.GetBodyWhole() {
		_ = stream.CloseSend()
	} else {
		sender := &bodySender{stream: stream, body: order.Body}
		go sender.run()
	}
	return receive(ctx, stream, sink)
}

// addSmallBody puts a body of known and small length, or none, into the head.
func addSmallBody(head *blproto.OrderHead, order bldeliver.Order) error {
	if order.BodyLength < 0 || order.BodyLength > frameBytes {
		return nil
	}
	head.BodyWhole = true
	if order.Body == nil {
		return nil
	}
	body, err := io.ReadAll(order.Body)
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	head.Body = body
	return nil
}

type deliverStream = grpc.BidiStreamingClient[blproto.DeliverRequest, blproto.DeliverReply]

// streamError returns why a stream ended, which Send alone doesn't tell.
func streamError(stream deliverStream, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	_, err = stream.Recv()
	return err //nolint:wrapcheck // the caller reads its status
}

// bodySender sends a request's body while the answer comes back.
type bodySender struct {
	stream deliverStream
	body   io.Reader
}

func (b *bodySender) run() {
	buffer := make([]byte, frameBytes)
	for {
		count, err := b.body.Read(buffer)
		if count > 0 {
			frame := &blproto.DeliverRequest{Part: &blproto.DeliverRequest_Body{
				Body: append([]byte(nil), buffer[:count]...),
			}}
			if b.stream.Send(frame) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = b.stream.CloseSend()
			return
		}
		if err != nil {
			return
		}
	}
}

func receive(ctx context.Context, stream deliverStream, sink bldeliver.Sink) bldeliver.Delivery {
	started := false
	for {
		frame, err := stream.Recv()
		if err != nil {
			return broken(ctx, err, started)
		}
		switch part := frame.GetPart().(type) {
		case *blproto.DeliverReply_Head:
			started = true
			err = sink.Head(int(part.Head.GetStatus()), fieldsFromProto(part.Head.GetHeader()))
			if err == nil && part.Head.GetWhole() {
				return whole(part.Head, sink)
			}
		case *blproto.DeliverReply_Body:
			_, err = sink.Write(part.Body)
		case *blproto.DeliverReply_Trailer:
			err = sink.Trailer(fieldsFromProto(part.Trailer.GetFields()))
		case *blproto.DeliverReply_Refusal:
			return deliveryFromProto(part.Refusal)
		case *blproto.DeliverReply_Done:
			return bldeliver.Delivery{Started: true}
		}
		if err != nil {
			return callerGone(started)
		}
	}
}

// whole passes an answer on that came as one frame.
func whole(head *blproto.AnswerHead, sink bldeliver.Sink) bldeliver.Delivery {
	if len(head.GetBody()) == 0 {
		return bldeliver.Delivery{Started: true}
	}
	if _, err := sink.Write(head.GetBody()); err != nil {
		return callerGone(true)
	}
	return bldeliver.Delivery{Started: true}
}

func callerGone(started bool) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal: &blvalue.Refusal{
			Outcome: blvalue.OutcomePartial, Reason: blvalue.ReasonCancelled, Detail: "the caller went away",
		},
		Started: started,
	}
}

// notSent is the delivery of an order that never left this node.
func notSent(err error) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal:    blvalue.NotRun(blvalue.ReasonUnreachable, err.Error()),
		Repeatable: true,
	}
}

// broken is the delivery of an order whose stream ended without a word of the
// owner's node. A connection that was never made is the one case in which the
// order is sure not to have left.
func broken(ctx context.Context, err error, started bool) bldeliver.Delivery {
	if started {
		return bldeliver.Delivery{
			Refusal: &blvalue.Refusal{
				Outcome: blvalue.OutcomePartial, Reason: blvalue.ReasonUnreachable, Detail: "the answer was cut short",
			},
			Started: true,
		}
	}
	if neverConnected(err) {
		return notSent(err)
	}
	reason := blvalue.ReasonUnreachable
	if ctx.Err() != nil {
		reason = blvalue.ReasonTimeout
	}
	return bldeliver.Delivery{Refusal: blvalue.Unknown(reason, "the owner's node did not tell what became of the request")}
}

func neverConnected(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	s, ok := status.FromError(err)
	return ok && s.Code() == codes.Unavailable && isDialFailure(s.Message())
}
