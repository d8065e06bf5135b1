package main

import (
	"io"
	"net"
	"net/http"
)

// The kinds of broken responses with which the stand-in answers.
const (
	brokenReset  = "reset"
	brokenStatus = "status"
	brokenField  = "field"
)

// brokenHandler answers requests with broken responses while that fault is set.
type brokenHandler struct {
	server *server
	next   http.Handler
}

// ServeHTTP implements http.Handler.
func (h brokenHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.server.mu.Lock()
	kind := h.server.faults.Broken
	h.server.mu.Unlock()
	if kind == "" {
		h.next.ServeHTTP(w, r)
		return
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	switch kind {
	case brokenStatus:
		_, _ = io.WriteString(connection, "HTTP/1.1 000 \r\nContent-Length: 4\r\n\r\npart")
	case brokenField:
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 4\r\n\r\npart")
	case brokenReset:
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
}
