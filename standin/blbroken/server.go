// Package blbroken is a stand-in for servers that send broken responses, and puts what a
// client meets of them into an order. Tests use it.
package blbroken

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Ending is how a server ends a connection after its response.
type Ending string

// Values of Ending.
const (
	// EndReset resets the connection.
	EndReset Ending = "reset"
	// EndInOrder ends the server's side and reads the rest of the request.
	EndInOrder Ending = "in order"
	// EndThenReset ends the server's side and resets the connection afterwards.
	EndThenReset Ending = "in order, then reset"
	// KeepOpen waits for the client to close the connection.
	KeepOpen Ending = "open"
)

// Server answers the first request of each connection with a text, of which it reads the
// head only.
type Server struct {
	listener net.Listener
	text     string
	ending   Ending
	// end is closed when connections may end.
	end         chan struct{}
	ended       sync.Once
	connections atomic.Int64
}

// Start starts a server on loopback. Its connections end after the call of End.
func Start(text string, ending Ending) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, text: text, ending: ending, end: make(chan struct{})}
	go s.run()
	return s, nil
}

// Address returns the server's IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections so far.
func (s *Server) Connections() int { return int(s.connections.Load()) }

// End lets the connections end.
func (s *Server) End() { s.ended.Do(func() { close(s.end) }) }

// Close stops the server.
func (s *Server) Close() {
	s.End()
	_ = s.listener.Close()
}

func (s *Server) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go (&connection{server: s, conn: conn}).run()
	}
}

// connection is a connection of a client.
type connection struct {
	server *Server
	conn   net.Conn
}

// run answers one request. What follows a response on a connection that is kept open is
// answered by the same text, so that a client which uses it again gets one.
func (c *connection) run() {
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text := strings.ReplaceAll(c.server.text, "$ID", request.Header.Get("Request-Id"))
		if _, err := c.conn.Write([]byte(text)); err != nil {
			return
		}
		if c.server.ending != KeepOpen {
			break
		}
		_, _ = drain(request.Body)
	}
	<-c.server.end
	c.finish(reader)
}

// finish ends the connection.
func (c *connection) finish(reader *bufio.Reader) {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return
	}
	if c.server.ending != EndReset {
		_ = tcp.CloseWrite()
	}
	if c.server.ending == EndInOrder {
		_, _ = drain(reader)
		return
	}
	_ = tcp.SetLinger(0)
}
