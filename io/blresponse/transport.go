package blresponse

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// Transport is an HTTP transport that returns a BrokenError instead of a broken response,
// and doesn't use its connection again.
type Transport struct {
	transport *http.Transport
}

// defaultHeadBytes limits the heads of the responses to a request where the settings don't.
const defaultHeadBytes = 1 << 20

// NewTransport returns a transport with the settings of the given one, whose connections
// have to be those of Dial.
func NewTransport(transport *http.Transport) *Transport {
	if transport.MaxResponseHeaderBytes == 0 {
		transport.MaxResponseHeaderBytes = defaultHeadBytes
	}
	return &Transport{transport: transport}
}

// CloseIdleConnections closes the connections that have no request.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{headBytes: t.transport.MaxResponseHeaderBytes}
	trace := &httptrace.ClientTrace{GotConn: e.begin, Got1xxResponse: e.checkInterim}
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.transport.RoundTrip(traced)
	if err != nil {
		e.end(false)
		return nil, classify(err)
	}
	if err := checkResponse(response); err != nil {
		e.end(true)
		_ = response.Body.Close()
		return nil, err
	}
	response.Request = request
	if response.Body == http.NoBody {
		e.end(false)
		return response, nil
	}
	response.Body = &exchangeBody{
		ReadCloser: trailerReader{ReadCloser: response.Body, response: response}, exchange: e,
	}
	return response, nil
}

// exchange is a request on a connection. http.Transport may give the connection to the next
// request before the response to this one has been checked, so the next one waits in begin.
type exchange struct {
	// headBytes is what is left for interim responses, in bytes.
	headBytes int64

	mu   sync.Mutex
	conn *Conn
}

// begin takes a connection. After one that turned out to be closed, http.Transport may
// take another for the same request.
func (e *exchange) begin(info httptrace.GotConnInfo) {
	e.end(false)
	conn, ok := info.Conn.(*Conn)
	if !ok {
		return
	}
	conn.exchange.Lock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = conn
}

// end releases the connection, and closes it first if the response was broken.
func (e *exchange) end(broken bool) {
	e.mu.Lock()
	conn := e.conn
	e.conn = nil
	e.mu.Unlock()
	if conn == nil {
		return
	}
	if broken {
		_ = conn.Close()
	}
	conn.exchange.Unlock()
}

// errInterimTooLong reports interim responses with more bytes than a head may have.
var errInterimTooLong = errors.New("interim responses exceed the limit of a head")

// interimHeadBytes is the size of the head of an interim response without fields.
const interimHeadBytes = int64(len("HTTP/1.1 103 Early Hints\r\n\r\n"))

// checkInterim returns an error for an interim response that is broken, or too many of them:
// http.Transport doesn't limit those that a trace gets.
func (e *exchange) checkInterim(_ int, fields textproto.MIMEHeader) error {
	e.headBytes -= interimHeadBytes
	for name, values := range fields {
		for _, value := range values {
			e.headBytes -= int64(len(name) + len(value))
		}
	}
	if e.headBytes < 0 {
		return errInterimTooLong
	}
	return CheckFields(fields)
}

// exchangeBody ends its exchange with the body.
type exchangeBody struct {
	io.ReadCloser

	exchange *exchange
}

// Read implements io.Reader.
func (b *exchangeBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if err != nil {
		b.exchange.end(!errors.Is(err, io.EOF))
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	err := b.ReadCloser.Close()
	b.exchange.end(false)
	return err //nolint:wrapcheck // the caller wraps it
}
