package blgrpc

import (
	"encoding/hex"
	"io"
	"maps"
	"strconv"

	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blroute"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc/blproto"
)

// frameBytes is the size of the pieces in which bodies cross between nodes.
const frameBytes = 32 << 10

const contentLengthField = "Content-Length"

func (n Names) orderToProto(o bldeliver.Order) *blproto.OrderHead {
	return &blproto.OrderHead{
		Service: string(o.Request.Service), Key: string(o.Request.Key), Method: o.Request.Method, Uri: o.URI,
		Account: string(o.Account), KeyDigest: digestToProto(o.Request.KeyDigest),
		Upstream: string(o.Target.Upstream), Partition: uint32(o.Target.Partition), Exclusive: o.Target.Exclusive,
		Idempotent: o.Idempotent, Open: o.Open, Rank: int32(o.Rank), GoalMs: milliseconds(o.Goal), Class: o.Class,
		RequestId: o.RequestID, TraceParent: o.TraceParent, TimeoutMs: milliseconds(o.Timeout),
		Header: n.toProto(o.Header), BodyLength: o.BodyLength,
	}
}

func (n Names) orderFromProto(h *blproto.OrderHead, body io.Reader) bldeliver.Order {
	order := bldeliver.Order{
		Request: blvalue.Request{
			Service: blvalue.ServiceName(h.GetService()), Key: blvalue.Key(h.GetKey()), Method: h.GetMethod(),
			KeyDigest: hex.EncodeToString(h.GetKeyDigest()), Timeout: duration(h.GetTimeoutMs()),
		},
		Account: blvalue.AccountName(h.GetAccount()),
		Target: blroute.Target{
			Upstream: blvalue.UpstreamName(h.GetUpstream()), Service: blvalue.ServiceName(h.GetService()),
			Partition: blvalue.Partition(h.GetPartition()), Exclusive: h.GetExclusive(),
		},
		Idempotent: h.GetIdempotent(), Open: h.GetOpen(), Rank: int(h.GetRank()), Goal: duration(h.GetGoalMs()), Class: h.GetClass(),
		RequestID: h.GetRequestId(), URI: h.GetUri(), TraceParent: h.GetTraceParent(),
		Header: n.fromProto(h.GetHeader()), BodyLength: h.GetBodyLength(), Timeout: duration(h.GetTimeoutMs()),
	}
	if order.BodyLength != 0 {
		order.Body = body
	}
	return order
}

func refusalToProto(d bldeliver.Delivery) *blproto.Refusal {
	return &blproto.Refusal{
		Outcome: string(d.Refusal.Outcome), Reason: string(d.Refusal.Reason), Detail: d.Refusal.Detail,
		Started: d.Started, Repeatable: d.Repeatable, RetryAfterMs: milliseconds(d.RetryAfter), Load: loadToProto(d.Load),
	}
}

func deliveryFromProto(r *blproto.Refusal) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal: &blvalue.Refusal{
			Outcome: blvalue.Outcome(r.GetOutcome()), Reason: blvalue.RefusalReason(r.GetReason()), Detail: r.GetDetail(),
		},
		Started: r.GetStarted(), Repeatable: r.GetRepeatable(),
		RetryAfter: duration(r.GetRetryAfterMs()), Load: loadFromProto(r.GetLoad()),
	}
}

// frameReader reads a request's body from the frames of a stream.
type frameReader struct {
	receive func() (*blproto.DeliverRequest, error)
	rest    []byte
}

// Read implements io.Reader.
func (f *frameReader) Read(buffer []byte) (int, error) {
	for len(f.rest) == 0 {
		frame, err := f.receive()
		if err != nil {
			return 0, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
		}
		f.rest = frame.GetBody()
	}
	count := copy(buffer, f.rest)
	f.rest = f.rest[count:]
	return count, nil
}

// frameSink sends an answer as frames of a stream. A small answer of known
// length goes out as one frame, by finish.
type frameSink struct {
	send  func(*blproto.DeliverReply) error
	names Names
	// held is the head of an answer whose body is still collected.
	held *blproto.AnswerHead
}

// Head implements bldeliver.Sink.
func (f *frameSink) Head(status int, header map[string][]string) error {
	length, known := contentLength(header)
	if known && length <= frameBytes {
		// The length of a whole answer is that of its frame.
		header = maps.Clone(header)
		delete(header, contentLengthField)
		f.held = &blproto.AnswerHead{Status: int32(status), Header: f.names.toProto(header)}
		return nil
	}
	head := &blproto.AnswerHead{Status: int32(status), Header: f.names.toProto(header)}
	return f.sendHead(head)
}

func contentLength(header map[string][]string) (int, bool) {
	values := header[contentLengthField]
	if len(values) != 1 {
		return 0, false
	}
	length, err := strconv.Atoi(values[0])
	return length, err == nil && length >= 0
}

func (f *frameSink) sendHead(head *blproto.AnswerHead) error {
	return f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Head{Head: head}})
}

// finish sends an answer that was collected, or tells that all was sent.
func (f *frameSink) finish(load blvalue.Load) error {
	if f.held == nil {
		return f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Done{Done: true}})
	}
	f.held.Whole = true
	f.held.Load = loadToProto(load)
	return f.sendHead(f.held)
}

// Write implements bldeliver.Sink.
func (f *frameSink) Write(chunk []byte) (int, error) {
	if f.held != nil {
		f.held.Body = append(f.held.GetBody(), chunk...)
		return len(chunk), nil
	}
	for sent := 0; sent < len(chunk); sent += frameBytes {
		frame := chunk[sent:min(sent+frameBytes, len(chunk))]
		err := f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Body{Body: frame}})
		if err != nil {
			return sent, err
		}
	}
	return len(chunk), nil
}

// Trailer implements bldeliver.Sink. An answer of known length has none.
func (f *frameSink) Trailer(trailer map[string][]string) error {
	if f.held != nil {
		return nil
	}
	return f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Trailer{
		Trailer: &blproto.Trailer{Fields: f.names.toProto(trailer)},
	}})
}
