package blbroken

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// meetTimeout limits how long the writer of a request may take to meet the end of its
// connection.
const meetTimeout = 10 * time.Second

func drain(reader io.Reader) (int64, error) {
	return io.Copy(io.Discard, reader) //nolint:wrapcheck // what ends the read doesn't matter
}

// WriterFirst is a transport in which the writer of a request meets the end of the
// connection before the reader of the response does. The request gets an upload without
// end. The server ends the connection when the head of the response is there.
type WriterFirst struct {
	transport http.RoundTripper
	server    *Server
}

// NewWriterFirst returns a transport that sends its requests through another one.
func NewWriterFirst(transport http.RoundTripper, server *Server) *WriterFirst {
	return &WriterFirst{transport: transport, server: server}
}

// RoundTrip implements http.RoundTripper.
func (w *WriterFirst) RoundTrip(request *http.Request) (*http.Response, error) {
	held := &heldUpload{met: make(chan struct{}), release: make(chan struct{})}
	request = request.Clone(request.Context())
	request.Body, request.ContentLength, request.GetBody = held, -1, nil
	response, err := w.transport.RoundTrip(request)
	if err != nil {
		held.releaseWriter()
		return nil, fmt.Errorf("read head: %w", err)
	}
	w.server.End()
	response.Body = &heldResponse{ReadCloser: response.Body, upload: held}
	return response, nil
}

// errNotMet reports that the writer didn't meet the end of the connection.
var errNotMet = errors.New("the writer didn't meet the end of the connection")

// heldUpload is a body without end. It holds its writer where the writer has met the end of
// the connection and has told nobody yet.
type heldUpload struct {
	met, release chan struct{}
	once, freed  sync.Once
}

// Read implements io.Reader.
func (h *heldUpload) Read(buffer []byte) (int, error) { return len(buffer), nil }

// Close implements io.Closer. A writer calls it when it gives up.
func (h *heldUpload) Close() error {
	h.once.Do(func() { close(h.met) })
	<-h.release
	return nil
}

func (h *heldUpload) releaseWriter() { h.freed.Do(func() { close(h.release) }) }

// heldResponse is a body that is read only after the writer has met the end.
type heldResponse struct {
	io.ReadCloser

	upload *heldUpload
}

// Read implements io.Reader.
func (h *heldResponse) Read(buffer []byte) (int, error) {
	select {
	case <-h.upload.met:
	case <-time.After(meetTimeout):
		return 0, errNotMet
	}
	count, err := h.ReadCloser.Read(buffer)
	if err != nil {
		h.upload.releaseWriter()
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}

// Close implements io.Closer.
func (h *heldResponse) Close() error {
	h.upload.releaseWriter()
	return h.ReadCloser.Close() //nolint:wrapcheck // the error of the body itself
}
