package blgrpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/stats"

	"bergamotlead/core/blmemory"
	"bergamotlead/io/blbudget"
)

const (
	// maxHeaderListBytes is the size of the header list of a call. gRPC's own fields are
	// far smaller; those of a request are in its message.
	maxHeaderListBytes = 16 << 10
	// streamBytes is about what a call costs with a full window, in memory.
	streamBytes = callWindowBytes + 16<<10
	// streamsShare is the part of the budget that the calls of one connection may take,
	// within minStreams and maxStreams. Further calls wait at their sender.
	streamsShare           = 4
	minStreams, maxStreams = 100, 1000
	// controlStreams are the calls of a connection that orders leave to others, such as
	// heartbeats: a call beyond the limit waits at its sender until another one ends.
	controlStreams = 16
	// messageStep is the step in which a connection takes shares for messages, and
	// ordinaryMessageBytes what it may have unread without one.
	messageStep          = 64 << 10
	ordinaryMessageBytes = 32 << 10
	// callOverheadBytes is what a call claims for frames other than of its messages, and
	// frameHeadBytes what each frame of a message takes beside it.
	callOverheadBytes = 512
	frameBytes        = 16 << 10
	frameHeadBytes    = 9
)

// streamLimit returns the number of calls that one connection may have open at once.
func streamLimit(budget *blbudget.Budget) uint32 {
	if budget == nil {
		return maxStreams
	}
	return uint32(min(max(budget.View().Limits().Bytes/streamsShare/streamBytes, minStreams), maxStreams))
}

// budgetListener takes a share of the memory for each connection that it accepts.
type budgetListener struct {
	net.Listener

	budget      *blbudget.Budget
	connections *sync.Map
}

// Accept implements net.Listener.
func (l budgetListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // gRPC tests for the errors of net
		}
		monitored, err := newMonitoredConn(accepted)
		if err != nil {
			// An error would end the server.
			_ = accepted.Close()
			continue
		}
		remote := accepted.RemoteAddr().String()
		c := &budgetConn{monitoredConn: monitored, connections: l.connections, remote: remote}
		address, _, _ := net.SplitHostPort(remote)
		c.holder = l.budget.Open(blmemory.ListenerNodes, address, func() { _ = accepted.Close() })
		if c.holder == nil {
			_ = accepted.Close()
			continue
		}
		l.connections.Store(remote, c)
		return c, nil
	}
}

// budgetConn takes shares of the memory for what has arrived of messages and hasn't been
// read by a call.
type budgetConn struct {
	*monitoredConn

	holder      *blbudget.Holder
	connections *sync.Map
	remote      string
	// unread is the number of bytes that have arrived and that no call has read.
	unread atomic.Int64
	// share is what the connection holds for them. Only Read changes it.
	share int64
	// working is the number of calls that have sent a message and haven't ended, and orders
	// that of orders.
	working, orders atomic.Int64
}

// Read implements net.Conn. Without memory for what has arrived it fails, which ends the
// connection.
func (c *budgetConn) Read(buffer []byte) (int, error) {
	count, err := c.monitoredConn.Read(buffer)
	if count > 0 && !c.arrived(count) {
		return 0, net.ErrClosed
	}
	return count, err
}

// ReadOnReady lets gRPC wait without a buffer, as that of monitoredConn.
func (c *budgetConn) ReadOnReady(size int, pool mem.BufferPool) (*[]byte, int, error) {
	buffer, count, err := c.monitoredConn.ReadOnReady(size, pool)
	if count > 0 && !c.arrived(count) {
		pool.Put(buffer)
		return nil, 0, net.ErrClosed
	}
	return buffer, count, err
}

// arrived notes that bytes have arrived, and reports whether there is memory for them.
func (c *budgetConn) arrived(count int) bool {
	if c.working.Load() == 0 {
		c.holder.Arrived(blmemory.PhaseReading, count)
	}
	if c.working.Load() > 0 {
		c.holder.Arrived(blmemory.PhasePassed, count)
	}
	return c.hold(c.unread.Add(int64(count)))
}

// began notes that a call has sent its first message.
func (c *budgetConn) began() {
	c.working.Add(1)
	c.holder.Enter(blmemory.PhasePassed)
}

// ended notes that such a call has ended. A connection without one may be closed: it holds
// up nobody, and a node opens another when it needs it.
func (c *budgetConn) ended() {
	if c.working.Add(-1) == 0 {
		c.holder.Enter(blmemory.PhaseIdle)
	}
}

// hold adjusts the share to the bytes that no call has read.
func (c *budgetConn) hold(unread int64) bool {
	switch {
	case unread > c.share+ordinaryMessageBytes:
		more := max(unread-c.share, messageStep)
		if !c.holder.Reserve(blmemory.KindMessage, more) {
			return false
		}
		c.share += more
	case c.share > 0 && unread+messageStep < c.share:
		c.holder.Release(blmemory.KindMessage, c.share-unread)
		c.share = unread
	}
	return true
}

// claim notes that a call has read bytes, or that they need no memory. Calls claim a
// little more than has arrived, so that what is unread isn't overestimated in the course
// of many calls.
func (c *budgetConn) claim(bytes int64) {
	if left := c.unread.Add(-bytes); left < 0 {
		c.unread.CompareAndSwap(left, 0)
	}
}

// Close implements net.Conn.
func (c *budgetConn) Close() error {
	c.connections.Delete(c.remote)
	c.holder.Close()
	return c.Conn.Close() //nolint:wrapcheck // forwarded unchanged
}

type connKey struct{}

// connStats tells connections what calls have read. It implements stats.Handler.
type connStats struct {
	connections *sync.Map
}

// TagConn implements stats.Handler.
func (s connStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if c, ok := s.connections.Load(info.RemoteAddr.String()); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (connStats) HandleConn(context.Context, stats.ConnStats) {}

type callKey struct{}

// callState is the state of one call. gRPC doesn't report the events of a call at once.
type callState struct {
	// began is set once the call has sent a message.
	began atomic.Bool
}

// TagRPC implements stats.Handler.
func (connStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, callKey{}, &callState{})
}

// HandleRPC implements stats.Handler.
func (connStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, ok := ctx.Value(connKey{}).(*budgetConn)
	if !ok {
		return
	}
	call, ok := ctx.Value(callKey{}).(*callState)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.InHeader:
		c.claim(int64(e.WireLength))
	case *stats.InPayload:
		c.claim(int64(e.WireLength + (e.WireLength/frameBytes+1)*frameHeadBytes))
		if !call.began.Swap(true) {
			c.began()
		}
	case *stats.End:
		if call.began.Load() {
			c.ended()
		}
		c.claim(callOverheadBytes)
	}
}

// beginOrder counts an order on its connection until end is called. It reports false if the
// connection has as many as it may.
func (s *Server) beginOrder(ctx context.Context) (end func(), ok bool) {
	c, ok := ctx.Value(connKey{}).(*budgetConn)
	if !ok {
		return func() {}, true
	}
	running := c.orders.Add(1)
	return func() { c.orders.Add(-1) }, running <= int64(streamLimit(s.budget))-controlStreams
}

// claimRest claims what may have arrived of a body that no one reads any more.
func claimRest(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*budgetConn); ok {
		c.claim(callWindowBytes)
	}
}

// holderOf returns the holder of the shares of a call's connection, or nil.
func holderOf(ctx context.Context) *blbudget.Holder {
	if c, ok := ctx.Value(connKey{}).(*budgetConn); ok {
		return c.holder
	}
	return nil
}
