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

// maxFrameBytes is the maximum size of the frames in which nodes send bodies to
// each other. An encoded frame fits into a buffer of 32 KB.
const maxFrameBytes = 32<<10 - 64

const contentLengthField = "Content-Length"

func (t HeaderTable) orderToProto(o bldeliver.Order) *blproto.OrderHead {
	return &blproto.OrderHead{
		Service: string(o.Request.Service), Key: string(o.Request.Key), Method: o.Request.Method, Uri: o.URI,
		Account: string(o.Account), KeyDigest: digestToProto(o.Request.KeyDigest),
		Upstream: string(o.Target.Upstream), Partition: uint32(o.Target.Partition), Exclusive: o.Target.Exclusive,
		Idempotent: o.Idempotent, Open: o.Open, Rank: int32(o.Rank), GoalMs: milliseconds(o.Goal), Class: o.Class,
		RequestId: o.RequestID, TraceParent: o.TraceParent, TimeoutMs: milliseconds(o.Timeout),
		Header: t.toProto(o.Header), BodyLength: o.BodyLength,
	}
}

func (t HeaderTable) orderFromProto(h *blproto.OrderHead, body io.Reader) bldeliver.Order {
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
		Header: t.fromProto(h.GetHeader()), BodyLength: h.GetBodyLength(), Timeout: duration(h.GetTimeoutMs()),
	}
	if order.BodyLength != 0 {
		order.Body = body
	}
	return order
}

func refusalToProto(d bldeliver.Delivery) *blproto.Refusal {
	return &blproto.Refusal{
		Outcome: string(d.Refusal.Outcome), Reason: string(d.Refusal.Reason), Detail: d.Refusal.Detail,
		Started: d.Started, Repeatable: d.Retryable, RetryAfterMs: milliseconds(d.RetryAfter), Load: loadToProto(d.Load),
	}
}

func deliveryFromProto(r *blproto.Refusal) bldeliver.Delivery {
	return bldeliver.Delivery{
		Refusal: &blvalue.Refusal{
			Outcome: blvalue.Outcome(r.GetOutcome()), Reason: blvalue.RefusalReason(r.GetReason()), Detail: r.GetDetail(),
		},
		Started: r.GetStarted(), Retryable: r.GetRepeatable(),
		RetryAfter: duration(r.GetRetryAfterMs()), Load: loadFromProto(r.GetLoad()),
	}
}

// frameReader reads a request's body from the frames of a stream.
type frameReader struct {
	receive func() (*blproto.DeliverRequest, error)
	pending []byte
}

// Read implements io.Reader.
func (f *frameReader) Read(buffer []byte) (int, error) {
	for len(f.pending) == 0 {
		frame, err := f.receive()
		if err != nil {
			return 0, err //nolint:wrapcheck // io.Reader requires io.EOF to be unwrapped
		}
		f.pending = frame.GetBody()
	}
	count := copy(buffer, f.pending)
	f.pending = f.pending[count:]
	return count, nil
}

// frameWriter sends an answer as frames of a stream. A small answer of known
// length is buffered and sent as one frame by finish.
type frameWriter struct {
	send    func(*blproto.DeliverReply) error
	headers HeaderTable
	// buffered is the head of a small answer whose body is still being collected.
	buffered *blproto.AnswerHead
}

// WriteHeader implements bldeliver.ResponseWriter.
func (f *frameWriter) WriteHeader(status int, header map[string][]string) error {
	length, known := contentLength(header)
	if known && length <= maxFrameBytes {
		// The receiver sets Content-Length to the size of the body in the frame.
		header = maps.Clone(header)
		delete(header, contentLengthField)
		f.buffered = &blproto.AnswerHead{Status: int32(status), Header: f.headers.toProto(header)}
		return nil
	}
	head := &blproto.AnswerHead{Status: int32(status), Header: f.headers.toProto(header)}
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

func (f *frameWriter) sendHead(head *blproto.AnswerHead) error {
	return f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Head{Head: head}})
}

// finish sends a buffered answer, or marks the end of one that was streamed.
func (f *frameWriter) finish(load blvalue.Load) error {
	if f.buffered == nil {
		return f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Done{Done: true}})
	}
	f.buffered.Whole = true
	f.buffered.Load = loadToProto(load)
	return f.sendHead(f.buffered)
}

// Write implements bldeliver.ResponseWriter.
func (f *frameWriter) Write(chunk []byte) (int, error) {
	if f.buffered != nil {
		f.buffered.Body = append(f.buffered.GetBody(), chunk...)
		return len(chunk), nil
	}
	for sent := 0; sent < len(chunk); sent += maxFrameBytes {
		frame := chunk[sent:min(sent+maxFrameBytes, len(chunk))]
		err := f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Body{Body: frame}})
		if err != nil {
			return sent, err
		}
	}
	return len(chunk), nil
}

// WriteTrailer implements bldeliver.ResponseWriter. A buffered answer has no
// trailer, since its length is known.
func (f *frameWriter) WriteTrailer(trailer map[string][]string) error {
	if f.buffered != nil {
		return nil
	}
	return f.send(&blproto.DeliverReply{Part: &blproto.DeliverReply_Trailer{
		Trailer: &blproto.Trailer{Fields: f.headers.toProto(trailer)},
	}})
}
