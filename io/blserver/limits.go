package blserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"bergamotlead/core/blmemory"
	"bergamotlead/io/blbudget"
)

const (
	// MaxHeadLines limits the header lines of a request. A head of 16 KB, the most that
	// the platform allows, has at most 5,461 of them: the shortest takes three bytes.
	MaxHeadLines = 6000
	// headSlopBytes is how much longer than its limit a head may be, as in net/http.
	headSlopBytes = 4 << 10
	// firstHeadShare is the first share that a head takes which isn't ordinary. Each
	// further one doubles what the head holds.
	firstHeadShare = 32 << 10
)

// HeadLimits are the limits on the heads of requests and on idle connections. Zero leaves
// that of the HTTP server.
type HeadLimits struct {
	Bytes         int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Limits are the limits on the connections of a server.
type Limits struct {
	// Budget holds the shares of memory, or is nil where there is none.
	Budget   *blbudget.Budget
	Listener blmemory.Listener
	// Head returns the limits on heads, or is nil.
	Head func() HeadLimits
}

func (l Limits) head() HeadLimits {
	if l.Head == nil {
		return HeadLimits{}
	}
	return l.Head()
}

// admit takes the share of a new connection, and reports whether there is one.
func (l Limits) admit(c *connection) bool {
	if l.Budget == nil {
		return true
	}
	address, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	c.holder = l.Budget.Open(l.Listener, address, func() { _ = c.Conn.Close() })
	return c.holder != nil
}

// errRefused ends the reading of a head that is refused. net/http writes no response
// when a read fails in this way.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the head is refused")}

// holdHead takes a share for the part of a head that has been read. Without one, or if
// the head is too long, the connection ends with a response that says so.
func (c *connection) holdHead() error {
	lines, bytes := c.head.lines, c.head.bytes
	limit := c.server.limits.head().Bytes
	if lines > MaxHeadLines || limit > 0 && bytes > limit+headSlopBytes {
		c.holder.Refused(blmemory.ReasonHeadLimit, blmemory.KindHead)
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge)
	}
	if !c.reserveHead(blmemory.HeadCost(lines, bytes)) {
		return c.refuse(http.StatusServiceUnavailable)
	}
	return nil
}

// reserveHead takes a share for a head of the given cost, unless it is ordinary or the
// head holds as much already.
func (c *connection) reserveHead(cost int64) bool {
	if cost <= max(blmemory.OrdinaryBytes, c.headShare) {
		return true
	}
	more := max(cost-c.headShare, c.headShare, firstHeadShare)
	if !c.holder.Reserve(blmemory.KindHead, more) {
		return false
	}
	c.headShare += more
	return true
}

// refuse writes a response and ends the connection. No request is handled on it, so none
// has run.
func (c *connection) refuse(status int) error {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: 1\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = c.Conn.Write([]byte(text + "\r\n"))
	c.server.mu.Lock()
	c.refused, c.written = true, true
	c.server.mu.Unlock()
	c.awaitCaller()
	return errRefused
}

// headCost returns the estimated cost of a parsed head.
func headCost(r *http.Request) int64 {
	lines, bytes := 0, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return blmemory.HeadCost(lines, bytes)
}

// limited returns the deadline of a read outside of a request: that of a head of which a
// part has been read, or that of an idle connection. The mutex of the server is held.
func (c *connection) limited(deadline time.Time) time.Time {
	if deadline.IsZero() || c.running {
		return deadline
	}
	limits := c.server.limits.head()
	switch {
	case c.received && limits.HeaderTimeout > 0:
		return time.Now().Add(limits.HeaderTimeout)
	case !c.received && limits.IdleTimeout > 0:
		return time.Now().Add(limits.IdleTimeout)
	}
	return deadline
}

// limitHead begins the time of a head whose first bytes have been read. The mutex of the
// server is held.
func (c *connection) limitHead() {
	if c.server.limits.head().HeaderTimeout > 0 && !c.readDeadline.IsZero() {
		c.readDeadline = c.limited(c.readDeadline)
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// HolderOf returns the holder of the shares of the connection on which a request has
// arrived, or nil if it has none.
func HolderOf(ctx context.Context) *blbudget.Holder {
	if c, ok := ctx.Value(connectionKey{}).(*connection); ok {
		return c.holder
	}
	return nil
}
