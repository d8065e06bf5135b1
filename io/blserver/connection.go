package blserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"bergamotlead/core/blmemory"
	"bergamotlead/io/blbudget"
)

// trackingListener wraps the connections that it accepts.
type trackingListener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http reads the error
		}
		c := &connection{Conn: accepted, server: l.server}
		if !l.server.limits.admit(c) {
			_ = accepted.Close()
			continue
		}
		l.server.mu.Lock()
		l.server.connections[c] = struct{}{}
		l.server.mu.Unlock()
		return c, nil
	}
}

// connection is a caller's connection. Its fields are guarded by the mutex of the
// server.
type connection struct {
	net.Conn

	server *Server
	// received is set while bytes have been read that belong to no request handled
	// so far, running while a request is handled, and written once a part of the
	// response to the latest request has been written.
	received, running, written, closed bool
	// head splits what is read into requests, and ahead is set once a byte of a further
	// request has been read while one is handled.
	head  headReader
	ahead bool
	// ended is set while reads are made to fail, and readDeadline is the deadline
	// that net/http set last.
	ended        bool
	readDeadline time.Time
	// refused is set once a response has ended the connection that net/http doesn't
	// know of.
	refused bool
	// body limits the reading of the body of the request that is handled, and bodyLeft is
	// set once a request has ended whose body wasn't read to its end. The connection ends
	// with the response.
	body     bodyLimit
	bodyLeft bool
	// holder holds the shares of memory, of which headShare is for the current head.
	holder    *blbudget.Holder
	headShare int64
}

// endReading makes the blocked read of the connection fail, and all later ones. A read
// that returns bytes nevertheless ends that again, so a request that has been read is
// handled.
func (c *connection) endReading() {
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *connection) resumeReading() {
	if c.ended {
		c.ended = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.readDeadline = c.limited(deadline)
	if c.ended || c.bodyLeft {
		return nil
	}
	return c.Conn.SetReadDeadline(c.readDeadline) //nolint:wrapcheck // net/http reads the error
}

// Read implements net.Conn. While no request is handled it returns no bytes behind the
// head of the next one, so that it is known whether a further request has been read.
func (c *connection) Read(buffer []byte) (int, error) {
	if len(buffer) == backgroundReadBytes {
		c.watch()
	}
	count, err := c.head.read(c.Conn, buffer, c.splitting)
	if count > 0 && c.noteArrival(count, len(buffer)) {
		if err := c.holdHead(); err != nil {
			return 0, err
		}
	}
	return count, err //nolint:wrapcheck // net/http reads the error
}

// noteArrival notes that something was read, and reports whether it is a part of a head.
func (c *connection) noteArrival(count, bufferBytes int) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.running {
		c.holder.ArrivedMore(count)
		c.extendBodyLimit()
		c.ahead = c.ahead || bufferBytes == backgroundReadBytes
		return false
	}
	first := !c.received
	c.received, c.written = true, false
	c.resumeReading()
	if first {
		c.limitHead()
	}
	c.holder.Arrived(blmemory.PhaseReading, count)
	return true
}

// backgroundReadBytes is the size of the reads by which net/http watches a connection
// while a request is handled whose body has been read.
const backgroundReadBytes = 1

// watch marks a request as handled whose connection is watched: the watch may begin
// before the handler does.
func (c *connection) watch() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if !c.running {
		c.start()
	}
}

// start marks a request as handled. The mutex of the server is held.
func (c *connection) start() {
	c.running, c.received, c.written = true, false, false
	c.resumeReading()
}

func (c *connection) splitting() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return !c.running
}

// hasFurtherRequest reports whether bytes behind the request that is handled have been
// read. The mutex of the server is held.
func (c *connection) hasFurtherRequest() bool { return c.ahead || c.head.buffered.Load() }

// Write implements net.Conn. On a connection that ended with a part of a request
// nothing is written: net/http would answer that part as a malformed request.
func (c *connection) Write(buffer []byte) (int, error) {
	c.server.mu.Lock()
	c.written = true
	silent := c.refused || c.ended && c.received && !c.running
	c.server.mu.Unlock()
	if silent {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(buffer) //nolint:wrapcheck // net/http reads the error
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.server.mu.Lock()
	if !c.closed && (c.running || c.received) && !c.written {
		c.server.cut++
	}
	// A response has ended the connection.
	lingers := !c.closed && c.running && c.written && (c.server.leaving || c.bodyLeft) && !c.server.aborted
	c.closed, c.running, c.received = true, false, false
	c.server.mu.Unlock()
	if lingers {
		c.awaitCaller()
	}
	err := c.Conn.Close()
	c.holder.Close()
	c.server.mu.Lock()
	delete(c.server.connections, c)
	c.server.mu.Unlock()
	c.server.signal()
	return err //nolint:wrapcheck // net/http reads the error
}

// lingerTimeout limits how long a connection whose last response has been written waits
// for its caller to close it.
const lingerTimeout = 500 * time.Millisecond

// awaitCaller ends the direction of the response, and discards what still arrives until
// the caller closes the connection. A connection that is closed with unread bytes, such
// as a request sent behind the last one, is reset, and the caller loses the part of the
// response that it hasn't received.
func (c *connection) awaitCaller() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// signal tells Stop that a connection has been closed.
func (s *Server) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// CloseWrite lets net/http close the direction of the response first.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net/http reads the error
	}
	return nil
}

// endsWithResponse reports whether the response that begins now ends the connection.
func (c *connection) endsWithResponse() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.server.leaving && !c.hasFurtherRequest()
}

// begin marks the start of a request's handler.
func (c *connection) begin() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.start()
	if c.server.leaving {
		c.server.late++
	}
}

// endRequest returns the shares of a request whose handler has ended. What is read next
// is another head, also if the end of the last one wasn't found. After a body that wasn't
// read to its end nothing more is read.
func (c *connection) endRequest(body *requestBody) {
	c.head.restarts.Store(true)
	c.headShare = 0
	c.holder.EndRequest()
	if body.unfinished() {
		c.holder.Enter(blmemory.PhaseEnding)
		c.leaveBody()
	}
}

// stateChanged marks the end of a request: its response has been written.
func stateChanged(c net.Conn, state http.ConnState) {
	if c, ok := c.(*connection); ok && state == http.StateIdle {
		c.server.mu.Lock()
		c.running, c.received, c.ahead = false, c.hasFurtherRequest(), false
		c.server.mu.Unlock()
	}
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}
