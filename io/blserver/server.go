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
)

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

	mu          sync.Mutex
	connections map[*connection]struct{}
	late        int
	cut         int
	leaving     bool
}

// New returns a server for listener with the handler and limits of settings; Serve
// runs it. The server sets the connection hooks of settings.
func New(listener net.Listener, settings *http.Server) *Server {
	s := &Server{http: settings, listener: listener, connections: map[*connection]struct{}{}}
	settings.Handler = trackingHandler{server: s, next: settings.Handler}
	settings.ConnContext = withConnection
	return s
}

// Serve serves requests until Stop is called.
func (s *Server) Serve() error {
	err := s.http.Serve(trackingListener{Listener: s.listener, server: s})
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// Leave ends each connection with its next response.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.http.SetKeepAlivesEnabled(false)
}

// Stop closes the listener and waits until the running requests have ended or ctx
// ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down %s: %w", s.listener.Addr(), err)
	}
	return nil
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
