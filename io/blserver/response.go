package blserver

import "net/http"

// trackingHandler marks on its connection that a request is handled, and ends the
// connection with the response while the server leaves.
type trackingHandler struct {
	next http.Handler
}

// ServeHTTP implements http.Handler.
func (h trackingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	c.begin()
	r, body := withRequestBody(r, c.holder)
	defer c.endRequest(body)
	if !c.reserveHead(headCost(r)) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer := &responseWriter{ResponseWriter: w, connection: c, body: body}
	h.next.ServeHTTP(writer, r)
	writer.beginResponse()
}

// responseWriter adds Connection: close to the head of a response that is written
// while the server leaves, unless a further request has been read: the response to the
// last one that has been read ends the connection. So does a response that begins before
// the body of its request has been read. net/http would read that body first, or wait for
// somebody who reads it.
type responseWriter struct {
	http.ResponseWriter

	connection *connection
	body       *requestBody
	begun      bool
}

func (w *responseWriter) beginResponse() {
	if w.begun {
		return
	}
	w.begun = true
	w.connection.discardBody(w.body)
	if w.body.unfinished() || w.connection.endsWithResponse() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.beginResponse()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(chunk []byte) (int, error) {
	w.beginResponse()
	return w.ResponseWriter.Write(chunk) //nolint:wrapcheck // forwarded unchanged
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.beginResponse()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
