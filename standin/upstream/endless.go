package main

import (
	"net"
	"net/http"
	"strings"
)

// The kinds of bytes without end with which the stand-in answers.
const (
	endlessBody   = "body"
	endlessFields = "fields"
)

// endlessBlockBytes is about how much the stand-in writes at once.
const endlessBlockBytes = 32 << 10

// endlessHandler answers everything with bytes without end while that fault is set.
type endlessHandler struct {
	server *server
	next   http.HandlerFunc
}

// ServeHTTP implements http.Handler.
func (h endlessHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := h.kind()
	if kind == "" {
		h.next(w, r)
		return
	}
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	h.send(connection, kind)
}

func (h endlessHandler) kind() string {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	return h.server.faults.Endless
}

// send writes until the connection or the fault ends.
func (h endlessHandler) send(connection net.Conn, kind string) {
	text, field := "HTTP/1.1 200 OK\r\n", "X-Y: z\r\n"
	more := strings.Repeat(field, endlessBlockBytes/len(field))
	if kind == endlessBody {
		text += "\r\n"
		more = strings.Repeat("x", endlessBlockBytes)
	}
	for h.kind() == kind {
		if _, err := connection.Write([]byte(text)); err != nil {
			return
		}
		text = more
	}
}
