package blhttp

import (
	"fmt"
	"net/http"
)

// responseSink passes an answer to the caller.
type responseSink struct {
	writer    http.ResponseWriter
	dialect   Dialect
	requestID string
}

// Head implements bldeliver.Sink.
func (s responseSink) Head(status int, header map[string][]string) error {
	target := s.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	s.dialect.Answer(target, s.requestID)
	s.writer.WriteHeader(status)
	return nil
}

// Write implements bldeliver.Sink.
func (s responseSink) Write(chunk []byte) (int, error) {
	count, err := s.writer.Write(chunk)
	if err != nil {
		return count, fmt.Errorf("write to caller: %w", err)
	}
	if flusher, ok := s.writer.(http.Flusher); ok && s.streams() {
		flusher.Flush()
	}
	return count, nil
}

// streams reports whether the answer has no known length, so that each piece
// goes out at once.
func (s responseSink) streams() bool {
	return s.writer.Header().Get("Content-Length") == ""
}

// Trailer implements bldeliver.Sink.
func (s responseSink) Trailer(trailer map[string][]string) error {
	for name, values := range trailer {
		s.writer.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}
