package blserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bergamotlead/io/blbudget"
)

// requestBody is the body of a request. It knows whether it has been read to its end.
type requestBody struct {
	io.ReadCloser

	holder *blbudget.Holder
	// begun is set once the body has been read, or may not be discarded.
	begun, ended atomic.Bool
}

// Read implements io.Reader.
func (b *requestBody) Read(buffer []byte) (int, error) {
	b.begun.Store(true)
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
		b.holder.BodyEnded()
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}

// withRequestBody returns the request with a body that knows its end, and that body, or nil
// if the request has none.
func withRequestBody(r *http.Request, holder *blbudget.Holder) (*http.Request, *requestBody) {
	if r.Body == nil || r.Body == http.NoBody {
		return r, nil
	}
	body := &requestBody{ReadCloser: r.Body, holder: holder}
	// A read of such a body asks the client to send it.
	body.begun.Store(r.Header.Get("Expect") != "")
	// net/http looks at the body of its own request.
	r = r.WithContext(r.Context())
	r.Body = body
	return r, body
}

// unfinished reports whether a part of the body hasn't been read.
func (b *requestBody) unfinished() bool { return b != nil && !b.ended.Load() }

const (
	// maxDiscardBytes and discardTimeout limit what is read of a body that nobody wants, so
	// that its connection can be kept. Beyond that a new connection costs less.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
)

// discardBody reads a body that no handler has read, if it has arrived.
func (c *connection) discardBody(body *requestBody) {
	if !body.unfinished() || body.begun.Load() {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, body, maxDiscardBytes+1)
	if !body.unfinished() {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// bodyLimit limits the reading of a request's body. Zero is no limit.
type bodyLimit struct {
	end time.Time
	// stall is how long nothing may arrive.
	stall time.Duration
}

// deadline returns when a read at now has to end, or zero.
func (l bodyLimit) deadline(now time.Time) time.Time {
	if l.stall == 0 {
		return l.end
	}
	stalled := now.Add(l.stall)
	if l.end.IsZero() || stalled.Before(l.end) {
		return stalled
	}
	return l.end
}

// LimitBody lets the reading of a request's body fail after a time, and after nothing has
// arrived for the time stall, unless that is zero. A client may stop sending, and the request
// would hold its slot until the client goes on.
func LimitBody(ctx context.Context, limit, stall time.Duration) {
	setBodyLimit(ctx, bodyLimit{end: time.Now().Add(limit), stall: stall})
}

// EndBodyLimit ends the limit of LimitBody once the body has been read, since net/http
// takes a failing read for the end of the connection.
func EndBodyLimit(ctx context.Context) { setBodyLimit(ctx, bodyLimit{}) }

func setBodyLimit(ctx context.Context, limit bodyLimit) {
	c, ok := ctx.Value(connectionKey{}).(*connection)
	if !ok {
		return
	}
	c.server.mu.Lock()
	c.body = limit
	c.server.mu.Unlock()
	_ = c.SetReadDeadline(limit.deadline(time.Now()))
}

// extendBodyLimit lets the body stall again after something has arrived. The mutex of the
// server is held.
func (c *connection) extendBodyLimit() {
	if c.body.stall > 0 && !c.ended && !c.bodyLeft {
		_ = c.Conn.SetReadDeadline(c.body.deadline(time.Now()))
	}
}

// leaveBody makes the reads of a body fail that hasn't been read to its end when its request
// has ended. Somebody may be blocked in such a read, and net/http waits for that.
func (c *connection) leaveBody() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.bodyLeft = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
