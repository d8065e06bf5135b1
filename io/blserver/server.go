// Package blserver serves HTTP and knows of each connection whether a request has
// been read from it, so that a stop can tell idle connections from used ones.
package blserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// partialRequestTimeout is how long a stop waits for the rest of a request of which
// only a part has been read, and for the first byte on a new connection.
const partialRequestTimeout = 300 * time.Millisecond

// Counts describes the connections of a server at one moment.
type Counts struct {
	// Idle connections wait for a request, Reading ones have delivered bytes of a
	// request that is not yet handled, and Running ones have a request that is.
	Idle, Reading, Running int
	// Late is the number of requests handled since Leave.
	Late int
	// Cut is the number of connections that this server closed with bytes of a
	// request read and nothing written in answer.
	Cut int
}

// Server is an HTTP server that tracks its connections.
type Server struct {
	http     *http.Server
	listener net.Listener
	limits   Limits

	mu          sync.Mutex
	connections map[*connection]struct{}
	late        int
	cut         int
	leaving     bool
	stopping    bool
	// aborted is set when the remaining connections are closed at once.
	aborted bool
	// changed receives a value after a connection has been closed.
	changed chan struct{}
}

// New returns a server for listener with the handler and limits of settings; Serve
// runs it. The server sets the connection hooks of settings.
func New(listener net.Listener, settings *http.Server) *Server {
	return NewLimited(listener, settings, Limits{})
}

// NewLimited is New with limits on the connections.
func NewLimited(listener net.Listener, settings *http.Server, limits Limits) *Server {
	s := &Server{http: settings, listener: listener, limits: limits, connections: map[*connection]struct{}{}, changed: make(chan struct{}, 1)}
	settings.Handler = trackingHandler{next: settings.Handler}
	settings.ConnContext = withConnection
	settings.ConnState = stateChanged
	return s
}

// Serve serves requests until Stop is called.
func (s *Server) Serve() error {
	err := s.http.Serve(trackingListener{Listener: s.listener, server: s})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
}

// Leave ends each connection with its next response. No connection is closed before
// that, since a request may be on its way or read already.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Stop closes the listener, ends the connections without a request, and waits until
// the requests that have been read are answered or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.Leave()
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	_ = s.listener.Close()
	s.endIdle(false)
	timer := time.NewTicker(partialRequestTimeout)
	defer timer.Stop()
	for s.open() > 0 {
		select {
		case <-s.changed:
		case <-timer.C:
			s.endIdle(true)
		case <-ctx.Done():
			if s.abort() == 0 {
				return nil
			}
			return fmt.Errorf("stop %s: %w", s.listener.Addr(), ctx.Err())
		}
	}
	_ = s.http.Close()
	return nil
}

// abort closes all connections at once. It returns the number of those that have not
// been ended by a response.
func (s *Server) abort() int {
	s.mu.Lock()
	s.aborted = true
	count := 0
	for c := range s.connections {
		if !c.closed {
			count++
		}
	}
	s.mu.Unlock()
	_ = s.http.Close()
	return count
}

// endIdle ends the connections on which no request is handled and of which no byte
// of one has been read, or with partial, also those with a part of a request.
func (s *Server) endIdle(partial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if !c.closed && !c.running && (partial || !c.received) {
			c.endReading()
		}
	}
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// Counts returns the state of the connections.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{Late: s.late, Cut: s.cut}
	for c := range s.connections {
		switch {
		case c.running:
			counts.Running++
		case c.received:
			counts.Reading++
		default:
			counts.Idle++
		}
	}
	return counts
}
