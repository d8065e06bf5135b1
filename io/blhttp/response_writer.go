package blhttp

import (
	"fmt"
	"net/http"
	"strconv"

	"bergamotlead/core/blmemory"
	"bergamotlead/io/blbudget"
)

// callerWriter writes an upstream's response to the caller.
type callerWriter struct {
	writer    http.ResponseWriter
	protocol  Protocol
	requestID string
	holder    *blbudget.Holder
}

// WriteHeader implements bldeliver.ResponseWriter.
func (w callerWriter) WriteHeader(status int, header map[string][]string) error {
	target := w.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	w.protocol.SetResponseHeader(target, w.requestID)
	w.holder.Enter(blmemory.PhasePassed)
	if !w.short() {
		w.holder.Take(blmemory.KindResponse, responseBytes)
	}
	w.writer.WriteHeader(status)
	return nil
}

// Write implements bldeliver.ResponseWriter.
func (w callerWriter) Write(chunk []byte) (int, error) {
	count, err := w.writer.Write(chunk)
	if err != nil {
		return count, fmt.Errorf("write to caller: %w", err)
	}
	if flusher, ok := w.writer.(http.Flusher); ok && w.streaming() {
		flusher.Flush()
	}
	return count, nil
}

// short reports whether the response is buffered by the connection as a whole.
func (w callerWriter) short() bool {
	length, err := strconv.Atoi(w.writer.Header().Get("Content-Length"))
	return err == nil && length <= ordinaryResponseBytes
}

// ordinaryResponseBytes is the size of a response that needs no share of its own.
const ordinaryResponseBytes = 32 << 10

// streaming reports whether the response has no known length. Each chunk of such
// a response is flushed at once.
func (w callerWriter) streaming() bool {
	return w.writer.Header().Get("Content-Length") == ""
}

// WriteTrailer implements bldeliver.ResponseWriter.
func (w callerWriter) WriteTrailer(trailer map[string][]string) error {
	for name, values := range trailer {
		w.writer.Header()[http.TrailerPrefix+name] = values
	}
	return nil
}
