package blgrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
	"bergamotlead/io/blresponse"
)

// Deliver forwards an order to the node of its target and passes the answer to
// writer.
func (c *Client) Deliver(ctx context.Context, order bldeliver.Order, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	node, err := c.peer(order.Target.Node.Address)
	if err != nil {
		return notSent(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := node.watch()
	defer watch.Stop()
	stream, err := node.Deliver(ctx)
	if err != nil {
		return notSent(err)
	}
	head := c.headers.orderToProto(order)
	if err := addSmallBody(head, order); err != nil {
		return notSent(err)
	}
	if err := stream.Send(&blproto.DeliverRequest{Part: &blproto.DeliverRequest_Head{Head: head}}); err != nil {
		return streamFailure(ctx, streamError(stream, err), false)
	}
	sender := &bodySender{stream: stream, body: order.Body, cancel: cancel}
	if head.GetBodyWhole() {
		_ = stream.CloseSend()
	} else {
		go sender.run()
	}
	delivery := c.receive(ctx, stream, writer)
	if delivery.Refusal != nil && sender.failed.Load() {
		delivery.Refusal = blvalue.UnknownOutcome(blvalue.ReasonMalformed, "the caller's body was cut short")
	}
	return delivery
}

// addSmallBody includes the body in the head if its length is known and at most
// maxFrameBytes; this includes an empty body.
func addSmallBody(head *blproto.OrderHead, order bldeliver.Order) error {
	if order.BodyLength < 0 || order.BodyLength > maxFrameBytes {
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

// streamError returns the error that ended a stream. Send reports it only as
// io.EOF; Recv returns the status.
func streamError(stream deliverStream, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	_, err = stream.Recv()
	return err //nolint:wrapcheck // the caller reads its status
}

// bodySender sends a request's body while the answer is being received.
type bodySender struct {
	stream deliverStream
	body   io.Reader
	// cancel ends the stream when the body can't be read, since the owner's node
	// would wait for the rest.
	cancel context.CancelFunc
	failed atomic.Bool
}

func (b *bodySender) run() {
	buffer := make([]byte, maxFrameBytes)
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
			b.failed.Store(true)
			b.cancel()
			return
		}
	}
}

func (c *Client) receive(ctx context.Context, stream deliverStream, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	started := false
	for {
		frame, err := stream.Recv()
		if err != nil {
			return streamFailure(ctx, err, started)
		}
		switch part := frame.GetPart().(type) {
		case *blproto.DeliverReply_Head:
			header := c.headers.fromProto(part.Head.GetHeader())
			if err := blresponse.CheckHead(int(part.Head.GetStatus()), header); err != nil {
				return brokenAnswer(err)
			}
			started = true
			if part.Head.GetWhole() {
				return passSingleFrame(part.Head, header, writer)
			}
			err = writer.WriteHeader(int(part.Head.GetStatus()), header)
		case *blproto.DeliverReply_Body:
			_, err = writer.Write(part.Body)
		case *blproto.DeliverReply_Trailer:
			trailer := c.headers.fromProto(part.Trailer.GetFields())
			if err := blresponse.CheckFields(trailer); err != nil {
				delivery := cutShort(blvalue.ReasonUpstreamFailed, "the answer was cut short: "+err.Error())
				delivery.Fault = blresponse.FaultOf(err)
				return delivery
			}
			err = writer.WriteTrailer(trailer)
		case *blproto.DeliverReply_Refusal:
			return deliveryFromProto(part.Refusal)
		case *blproto.DeliverReply_Done:
			return bldeliver.Delivery{Started: true}
		}
		if err != nil {
			return callerDisconnected(started)
		}
	}
}

// passSingleFrame passes an answer that arrived as a single frame to writer.
func passSingleFrame(head *blproto.AnswerHead, header map[string][]string, writer bldeliver.ResponseWriter) bldeliver.Delivery {
	header[contentLengthField] = []string{strconv.Itoa(len(head.GetBody()))}
	if err := writer.WriteHeader(int(head.GetStatus()), header); err != nil {
		return callerDisconnected(true)
	}
	if len(head.GetBody()) == 0 {
		return bldeliver.Delivery{Started: true, Load: loadFromProto(head.GetLoad())}
	}
	if _, err := writer.Write(head.GetBody()); err != nil {
		return callerDisconnected(true)
	}
	return bldeliver.Delivery{Started: true, Load: loadFromProto(head.GetLoad())}
}

// brokenAnswer returns the delivery of an order whose answer is broken. The request may have
// run.
func brokenAnswer(err error) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal: blvalue.UnknownOutcome(blvalue.ReasonUpstreamFailed, "the owner's node did not answer: "+err.Error()),
		Fault:   blresponse.FaultOf(err),
	}
}

// cutShort returns the delivery of an answer of which a part has reached the caller.
func cutShort(reason blvalue.RefusalReason, detail string) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal: &blvalue.Refusal{Outcome: blvalue.OutcomePartial, Reason: reason, Detail: detail}, Started: true,
	}
}

func callerDisconnected(started bool) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal: &blvalue.Refusal{
			Outcome: blvalue.OutcomePartial, Reason: blvalue.ReasonCancelled, Detail: "the caller went away",
		},
		Started: started,
	}
}

// notSent returns the delivery for an order that never left this node and can
// therefore be retried.
func notSent(err error) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal:   blvalue.NotRun(blvalue.ReasonUnreachable, err.Error()),
		Retryable: true,
	}
}

// streamFailure returns the delivery for an order whose stream ended without a
// result from the owner's node. Only if no connection was established is it
// certain that the order never left this node.
func streamFailure(ctx context.Context, err error, started bool) bldeliver.Delivery {
	if started {
		return cutShort(blvalue.ReasonUnreachable, "the answer was cut short")
	}
	if isConnectFailure(err) {
		return notSent(err)
	}
	reason := blvalue.ReasonUnreachable
	if ctx.Err() != nil || status.Code(err) == codes.DeadlineExceeded {
		reason = blvalue.ReasonTimeout
	}
	return bldeliver.Delivery{Refusal: blvalue.UnknownOutcome(reason, "the owner's node did not tell what became of the request")}
}

func isConnectFailure(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	s, ok := status.FromError(err)
	return ok && s.Code() == codes.Unavailable && isDialFailure(s.Message())
}
