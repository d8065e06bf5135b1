package blstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/io/blresponse"
)

const (
	// MaxResponseBytes limits a response of the store: a value of one megabyte
	// in base64 and the JSON around it.
	MaxResponseBytes = 2 << 20
	// maxIdleConnections limits the idle connections to the store that are kept
	// open.
	maxIdleConnections = 8
	connectTimeout     = time.Second
	// maxHeaderBytes limits the head of a response.
	maxHeaderBytes = 64 << 10
	// progressTimeout is how long a read waits for the head of the response, and any
	// call for the next bytes of the body. The time for a whole response depends on
	// its size and on the link.
	progressTimeout = time.Second
)

// Keep-alive probes find a connection that has gone silent within 2.5 s. A watch has
// no other means, since it may wait long for its answer.
const (
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// Transport calls a store over HTTP with JSON bodies.
type Transport struct {
	base   string
	client *http.Client
	eras   eraReader
	// broken is called with the error of each broken response.
	broken func(error)
}

// NewTransport returns a transport to the store at address, which is an IP address
// and port. The store names its era in the header field eraHeader of its responses.
func NewTransport(address, eraHeader string) *Transport {
	dialer := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	transport := blresponse.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return blresponse.Dial(ctx, dialer, network, address)
		},
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
	return &Transport{
		base: "http://" + address, client: &http.Client{Transport: transport}, eras: eraReader{header: eraHeader},
		broken: func(error) {},
	}
}

// Observe has broken called with the error of each broken response. It must be called before
// the first call.
func (t *Transport) Observe(broken func(error)) { t.broken = broken }

// Era returns the latest era in which the store has answered, or zero if it has not
// named any.
func (t *Transport) Era() blplatform.Era {
	return t.eras.latestEra()
}

// Response is the status of a response, and the era in which the store answered.
type Response struct {
	Status int
	Era    blplatform.Era
}

// Revision returns the revision for a number in the response.
func (r Response) Revision(number uint64) uint64 {
	return blplatform.NewRevision(r.Era, number)
}

// StatusError reports an unexpected HTTP status of the store.
type StatusError struct {
	Status int
}

// Error implements error.
func (e StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Status)
}

// TooLargeError reports a response of more bytes than the caller accepts.
type TooLargeError struct {
	Limit int64
}

// Error implements error.
func (e TooLargeError) Error() string {
	return fmt.Sprintf("response exceeds %d bytes", e.Limit)
}

// StalledError reports a response of which nothing arrived for progressTimeout.
type StalledError struct{}

// Error implements error.
func (StalledError) Error() string {
	return fmt.Sprintf("no data for %s", progressTimeout)
}

// ClassifyWriteError classifies the error of a write. It returns an
// UnavailableError if connecting to the store failed, so that the write was never
// sent, and an UnknownOutcomeError otherwise, because the write may have taken
// effect.
func ClassifyWriteError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return blplatform.UnavailableError{Cause: err}
	}
	return blplatform.UnknownOutcomeError{Cause: err}
}

// Call sends request as the body, unless it is nil, and decodes the response body
// into result, unless that is nil. The body is not decoded if the status says that
// the store is unavailable. It returns a StalledError if the response to a read, or
// the rest of any response, does not arrive, and a TooLargeError for one of more
// than MaxResponseBytes.
func (t *Transport) Call(ctx context.Context, method, path string, request, result any) (Response, error) {
	var payload []byte
	if request != nil {
		var err error
		if payload, err = json.Marshal(request); err != nil {
			return Response{}, fmt.Errorf("encode request: %w", err)
		}
	}
	return t.call(ctx, exchange{
		method: method, path: path, payload: payload, result: result, limit: MaxResponseBytes, headBounded: method == http.MethodGet,
	})
}

// Watch reads a response that the store holds back until there is a change. It
// returns a TooLargeError if the response has more than limit bytes.
func (t *Transport) Watch(ctx context.Context, path string, limit int64, result any) (Response, error) {
	return t.call(ctx, exchange{method: http.MethodGet, path: path, result: result, limit: limit})
}

// exchange is one call and what its response may look like.
type exchange struct {
	method  string
	path    string
	payload []byte
	result  any
	// limit is the maximum size of the response body in bytes.
	limit int64
	// headBounded is set if the head of the response has to arrive within
	// progressTimeout.
	headBounded bool
}

func (t *Transport) call(ctx context.Context, e exchange) (Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	progress := time.AfterFunc(progressTimeout, func() { cancel(StalledError{}) })
	defer progress.Stop()
	if !e.headBounded {
		progress.Stop()
	}
	response, body, err := t.roundTrip(ctx, e, progress)
	if err != nil {
		if blresponse.FaultOf(err) != "" {
			t.broken(err)
		}
		return Response{}, t.failure(ctx, err)
	}
	if e.result == nil || len(body) == 0 || response.Status == http.StatusServiceUnavailable {
		return response, nil
	}
	if err := json.Unmarshal(body, e.result); err != nil {
		return Response{}, fmt.Errorf("decode answer: %w", err)
	}
	return response, nil
}

// failure completes the error of an exchange. After one without a response the idle
// connections are closed, since they may have gone silent as well.
func (t *Transport) failure(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if cause == nil {
		return err
	}
	t.client.CloseIdleConnections()
	if errors.Is(cause, StalledError{}) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// roundTrip sends the request and reads the whole response body.
func (t *Transport) roundTrip(ctx context.Context, e exchange, progress *time.Timer) (Response, []byte, error) {
	call, err := http.NewRequestWithContext(ctx, e.method, t.base+e.path, bytes.NewReader(e.payload))
	if err != nil {
		return Response{}, nil, fmt.Errorf("build request: %w", err)
	}
	response, err := t.client.Do(call)
	if err != nil {
		return Response{}, nil, fmt.Errorf("call store: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response, e.limit, progress)
	if err != nil && !errors.As(err, &TooLargeError{}) {
		// The head of a response that breaks off counts for nothing.
		return Response{}, nil, err
	}
	return Response{Status: response.StatusCode, Era: t.eras.read(response.Header)}, body, err
}

// readBody reads a body of at most limit bytes. It restarts progress whenever data arrives.
func readBody(response *http.Response, limit int64, progress *time.Timer) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, TooLargeError{Limit: limit}
	}
	progress.Reset(progressTimeout)
	body, err := io.ReadAll(progressReader{reader: io.LimitReader(response.Body, limit+1), progress: progress})
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, TooLargeError{Limit: limit}
	}
	return body, nil
}

// progressReader restarts a timer whenever data arrives.
type progressReader struct {
	reader   io.Reader
	progress *time.Timer
}

// Read implements io.Reader.
func (r progressReader) Read(buffer []byte) (int, error) {
	count, err := r.reader.Read(buffer)
	if count > 0 {
		r.progress.Reset(progressTimeout)
	}
	return count, err //nolint:wrapcheck // io.Reader passes io.EOF on
}
