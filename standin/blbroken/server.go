// Package blbroken is a stand-in for servers that send broken responses, and puts what a
// client meets of them into an order. Tests use it.
package blbroken

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
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

// Server answers the first request of each connection with a text, or each request if it
// keeps its connections open.
type Server struct {
	listener net.Listener
	text     string
	ending   Ending
	// readsBodies is set if a request is read to its end before the answer.
	readsBodies bool
	// end is closed when connections may end.
	end   chan struct{}
	ended sync.Once

	mu sync.Mutex
	// requests counts the requests of each connection.
	requests []int
}

// Start starts a server on loopback for the time of a test, which answers when it has read
// the head of a request. Its connections end after the call of End.
func Start(t testing.TB, text string, ending Ending) *Server {
	t.Helper()
	return start(t, &Server{text: text, ending: ending})
}

// StartReading is Start for a server that reads a request to its end before it answers.
func StartReading(t testing.TB, text string, ending Ending) *Server {
	t.Helper()
	return start(t, &Server{text: text, ending: ending, readsBodies: true})
}

func start(t testing.TB, s *Server) *Server {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	s.listener, s.end = listener, make(chan struct{})
	t.Cleanup(s.Close)
	go s.run()
	return s
}

// Address returns the server's IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Connections returns the number of connections so far.
func (s *Server) Connections() int { return len(s.Requests()) }

// Requests returns the number of requests of each connection so far.
func (s *Server) Requests() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// addConnection returns the position of a new connection in requests.
func (s *Server) addConnection() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, 0)
	return len(s.requests) - 1
}

func (s *Server) addRequest(connection int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[connection]++
}

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
		go (&connection{server: s, conn: conn, position: s.addConnection()}).run()
	}
}

// connection is a connection of a client.
type connection struct {
	server *Server
	conn   net.Conn
	// position is that of the connection in the order of all.
	position int
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
		c.server.addRequest(c.position)
		if c.server.readsBodies {
			_, _ = drain(request.Body)
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
