// Package blgrpc implements the calls between nodes over gRPC.
package blgrpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blmemory"
	"bergamotlead/core/blquota"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blbudget"
	"bergamotlead/io/blgrpc/blproto"
)

// Change is a configuration change requested by an operator.
type Change struct {
	BaseRevision uint64
	Document     []byte
	Wait         time.Duration
}

// ChangeResult is the outcome of a change.
type ChangeResult struct {
	Result   blproto.ApplyReply_Result
	Revision uint64
	InForce  bool
	Detail   string
	Document []byte
}

// Node is the node to which the server passes the calls that it receives.
type Node interface {
	Self() blvalue.Host
	Heartbeat(ctx context.Context, heartbeat blassign.Heartbeat) (blassign.HeartbeatReply, error)
	Borrow(ctx context.Context, node blvalue.Incarnation, needs []blquota.Need) (blquota.BorrowAnswer, error)
	// Spend spends tokens on behalf of another node. It sets the reply of the message.
	Spend(ctx context.Context, spend bladmit.Spend) (bladmit.SpendAnswer, error)
	AskStandby(ctx context.Context, asked bllead.StandbyAsked) (bllead.StandbyAnswer, error)
	Nudge()
	Apply(ctx context.Context, change Change) ChangeResult
	// LatestConfig returns the latest configuration that the node knows.
	LatestConfig() blconfig.Accepted
	Deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery
}

// Server serves the calls of other nodes.
type Server struct {
	blproto.UnimplementedNodeServer

	node    Node
	configs configEncoder
	headers HeaderTable
	server  *grpc.Server
	// budget holds the shares of memory, or is nil, and connections those that have one,
	// by the address of their client.
	budget      *blbudget.Budget
	connections *sync.Map
}

// maxMessageBytes is the maximum size of one message, which has to hold a
// configuration document and its framing.
const maxMessageBytes = 2 << 20

// prefaceTimeout is how long a connection may take to send the preface of HTTP/2.
const prefaceTimeout = 5 * time.Second

// NewServer returns a server for node that is not yet running; Serve runs it. Its
// connections are limited by their windows alone.
func NewServer(node Node, headers HeaderTable) *Server {
	return NewLimitedServer(node, headers, nil)
}

// NewLimitedServer is NewServer with a budget for what the connections hold.
func NewLimitedServer(node Node, headers HeaderTable, budget *blbudget.Budget) *Server {
	s := &Server{node: node, headers: headers, budget: budget, connections: &sync.Map{}}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.InitialWindowSize(callWindowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxConcurrentStreams(streamLimit(budget)), grpc.MaxHeaderListSize(maxHeaderListBytes), grpc.ConnectionTimeout(prefaceTimeout),
	}
	if budget != nil {
		options = append(options, grpc.StatsHandler(connStats{connections: s.connections}))
	}
	s.server = grpc.NewServer(options...)
	blproto.RegisterNodeServer(s.server, s)
	return s
}

// Serve serves calls on listener until Drain or Stop is called.
func (s *Server) Serve(listener net.Listener) error {
	if s.budget != nil {
		listener = budgetListener{Listener: listener, budget: s.budget, connections: s.connections}
	}
	if err := s.server.Serve(listener); err != nil {
		return fmt.Errorf("serve nodes: %w", err)
	}
	return nil
}

// Drain tells callers to close their connections and waits for in-flight calls to
// complete.
func (s *Server) Drain() {
	s.server.GracefulStop()
}

// Stop aborts all calls immediately.
func (s *Server) Stop() {
	s.server.Stop()
}

func unavailable(err error) error {
	return status.Error(codes.Unavailable, err.Error())
}

// Heartbeat implements the Node service.
func (s *Server) Heartbeat(ctx context.Context, r *blproto.HeartbeatRequest) (*blproto.HeartbeatReply, error) {
	reply, err := s.node.Heartbeat(ctx, heartbeatFromProto(r))
	if err != nil {
		return nil, unavailable(err)
	}
	if reply.Directory != nil && reply.Directory.Full {
		// A caller that can't read compressed replies gets an uncompressed one.
		_ = grpc.SetSendCompressor(ctx, gzip.Name)
	}
	return replyToProto(reply), nil
}

// Borrow implements the Node service.
func (s *Server) Borrow(ctx context.Context, r *blproto.BorrowRequest) (*blproto.BorrowReply, error) {
	answer, err := s.node.Borrow(ctx, blvalue.Incarnation(r.GetNodeIncarnation()), needsFromProto(r.GetNeeds()))
	if err != nil {
		return nil, unavailable(err)
	}
	return &blproto.BorrowReply{Term: answer.Term, Loans: loansToProto(answer.Loans)}, nil
}

// Spend implements the Node service.
func (s *Server) Spend(ctx context.Context, r *blproto.SpendRequest) (*blproto.SpendReply, error) {
	if r.GetTokens() <= 0 {
		return nil, status.Error(codes.InvalidArgument, "the number of tokens isn't positive")
	}
	answer, err := s.node.Spend(ctx, bladmit.Spend{
		Account: blvalue.AccountName(r.GetAccount()), Tokens: r.GetTokens(),
		Domain: blvalue.DomainName(r.GetDomain()), Wait: duration(r.GetWaitMs()),
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return &blproto.SpendReply{
		Tokens: answer.Tokens, RetryAfterMs: milliseconds(answer.RetryAfter),
		TimedOut: answer.TimedOut, Unavailable: answer.Unavailable,
	}, nil
}

// AskStandby implements the Node service.
func (s *Server) AskStandby(ctx context.Context, r *blproto.AskStandbyRequest) (*blproto.AskStandbyReply, error) {
	answer, err := s.node.AskStandby(ctx, bllead.StandbyAsked{
		Term: r.GetTerm(), Lead: hostFromProto(r.GetLead()),
		Standby: blvalue.Incarnation(r.GetStandbyIncarnation()), WantPromise: r.GetWantPromise(), Resigned: bllead.Claim(r.GetResigned()),
		Probe: r.GetProbe(),
	})
	if err != nil {
		return nil, unavailable(err)
	}
	return &blproto.AskStandbyReply{
		Incarnation: string(answer.Incarnation), Promised: answer.Promised, Refusal: answer.Refusal,
		StoreAnswers: answer.StoreAnswers,
	}, nil
}

// Identify implements the Node service.
func (s *Server) Identify(context.Context, *blproto.IdentifyRequest) (*blproto.IdentifyReply, error) {
	return &blproto.IdentifyReply{Host: hostToProto(s.node.Self())}, nil
}

// Nudge implements the Node service.
func (s *Server) Nudge(context.Context, *blproto.NudgeRequest) (*blproto.NudgeReply, error) {
	s.node.Nudge()
	return &blproto.NudgeReply{}, nil
}

// Apply implements the Node service.
func (s *Server) Apply(ctx context.Context, r *blproto.ApplyRequest) (*blproto.ApplyReply, error) {
	result := s.node.Apply(ctx, Change{
		BaseRevision: r.GetBaseRevision(), Document: r.GetDocument(), Wait: duration(r.GetWaitMs()),
	})
	return &blproto.ApplyReply{
		Result: result.Result, Revision: result.Revision, InForce: result.InForce,
		Detail: result.Detail, Document: result.Document,
	}, nil
}

// orderBody returns the body of an order, from its head if it is included there
// and otherwise from the frames that follow.
func orderBody(head *blproto.OrderHead, stream grpc.BidiStreamingServer[blproto.DeliverRequest, blproto.DeliverReply]) io.Reader {
	if head.GetBodyWhole() {
		return bytes.NewReader(head.GetBody())
	}
	return &frameReader{receive: stream.Recv}
}

// answerTimeout is how long the answer of an upstream may take to arrive after the time
// of its order has ended. The node that sent the order ends it sooner if it can't wait.
const answerTimeout = 100 * time.Millisecond

// Deliver implements the Node service.
func (s *Server) Deliver(stream grpc.BidiStreamingServer[blproto.DeliverRequest, blproto.DeliverReply]) error {
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receive order: %w", err)
	}
	head := first.GetHead()
	if head == nil {
		return status.Error(codes.InvalidArgument, "the first frame isn't the head of an order")
	}
	end, ok := s.beginOrder(stream.Context())
	defer end()
	if !ok {
		return sendRefusal(stream, overloaded("the connection carries too many orders"))
	}
	size := int64(proto.Size(head))
	holder := holderOf(stream.Context())
	if size > blmemory.OrdinaryBytes {
		if !holder.Reserve(blmemory.KindHead, size) {
			return sendRefusal(stream, overloaded("the node has no memory for the request"))
		}
		defer holder.Release(blmemory.KindHead, size)
	}
	if !head.GetBodyWhole() {
		defer claimRest(stream.Context())
	}
	order := s.headers.orderFromProto(head, orderBody(head, stream))
	ctx, cancel := context.WithTimeout(stream.Context(), order.Timeout+answerTimeout)
	defer cancel()
	writer := &frameWriter{send: stream.Send, headers: s.headers}
	delivery := s.node.Deliver(ctx, order, writer)
	if delivery.Refusal != nil {
		return sendRefusal(stream, delivery)
	}
	if err := writer.finish(delivery.Load); err != nil {
		return fmt.Errorf("send end of answer: %w", err)
	}
	return nil
}

// overloaded returns the delivery of an order that this node has no room for.
func overloaded(detail string) bldeliver.Delivery {
	return bldeliver.Delivery{Refusal: blvalue.NotRun(blvalue.ReasonOverload, detail), Retryable: true}
}

func sendRefusal(stream grpc.BidiStreamingServer[blproto.DeliverRequest, blproto.DeliverReply], delivery bldeliver.Delivery) error {
	err := stream.Send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Refusal{Refusal: refusalToProto(delivery)}})
	if err != nil {
		return fmt.Errorf("send refusal: %w", err)
	}
	return nil
}
