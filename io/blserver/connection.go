package blserver

import (
	"context"
	"net"
	"net/http"
)

// trackingListener wraps the connections that it accepts.
type trackingListener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http reads the error
	}
	c := &connection{Conn: accepted, server: l.server}
	l.server.mu.Lock()
	l.server.connections[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
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
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.server.mu.Lock()
		if !c.running {
			c.received, c.written = true, false
		}
		c.server.mu.Unlock()
	}
	return count, err //nolint:wrapcheck // net/http reads the error
}

// Write implements net.Conn.
func (c *connection) Write(buffer []byte) (int, error) {
	c.server.mu.Lock()
	c.written = true
	c.server.mu.Unlock()
	return c.Conn.Write(buffer) //nolint:wrapcheck // net/http reads the error
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.server.mu.Lock()
	if !c.closed && (c.running || c.received) && !c.written {
		c.server.cut++
	}
	c.closed = true
	delete(c.server.connections, c)
	c.server.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // net/http reads the error
}

// CloseWrite lets net/http close the direction of the response first.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // net/http reads the error
	}
	return nil
}

// begin marks the start of a request's handler.
func (c *connection) begin() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.running, c.received, c.written = true, false, false
	if c.server.leaving {
		c.server.late++
	}
}

// end marks the end of a request's handler. A response without a body may still have
// to be written.
func (c *connection) end() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.running = false
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// trackingHandler marks on its connection that a request is handled.
type trackingHandler struct {
	server *Server
	next   http.Handler
}

// ServeHTTP implements http.Handler.
func (h trackingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		c.begin()
		defer c.end()
	}
	h.next.ServeHTTP(w, r)
}
