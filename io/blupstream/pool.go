package blupstream

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bergamotlead/io/blresponse"
)

const (
	connectTimeout       = time.Second
	maxIdlePerUpstream   = 128
	transportIdleTimeout = 90 * time.Second
	// defaultIdleTimeout is how long an idle connection may be reused if the
	// upstream announces no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the keep-alive timeout that the
	// upstream announces, so that the upstream doesn't close a connection while
	// a request is in flight on it.
	idleTimeoutMargin = time.Second
	// maxHeaderBytes limits the head of a response.
	maxHeaderBytes = 64 << 10
	// maxFailedIDs limits the IDs that a connection keeps. One with more is not reused.
	maxFailedIDs = 32
	// maxSkippedResponses limits the responses read to find the one that
	// matches the request: informational ones and those to other requests.
	maxSkippedResponses = 8
)

// MismatchedResponseError reports a connection whose responses belong to other
// requests.
type MismatchedResponseError struct{}

// Error implements error.
func (MismatchedResponseError) Error() string {
	return "the connection's answers belong to other requests"
}

// Pool is an HTTP transport with a pool of connections to upstreams. It never
// sends a request twice, and it accepts no response that carries the ID of
// another request, or none on a connection that has had other responses. A failure
// may be written once more, so a connection that had one for a request carries no
// other attempt of the same request.
type Pool struct {
	// idHeader is the header field with the request ID, by which a response is
	// matched to its request. If it is empty, responses are not checked.
	idHeader string
	// resetsUnanswered makes the pool reset the connection of a request that ends without
	// a response, which discards what has not reached the upstream's host.
	resetsUnanswered bool
	// keepsFailed makes the pool use a connection again after a response with another
	// status than 200.
	keepsFailed bool
	// maxHeader limits the head of a response, in bytes.
	maxHeader int64

	mu   sync.Mutex
	idle map[string][]*connection
}

// NewTransport returns an HTTP transport for upstreams that answer the requests of a
// connection in order.
func NewTransport() *blresponse.Transport {
	return blresponse.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdlePerUpstream, IdleConnTimeout: transportIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialBounded(ctx, &net.Dialer{}, address)
		},
	})
}

// NewPool returns an empty pool that matches responses to requests by the header
// field idHeader.
func NewPool(idHeader string) *Pool {
	return &Pool{idHeader: idHeader, keepsFailed: true, maxHeader: maxHeaderBytes, idle: map[string][]*connection{}}
}

// NewOrderPool returns an empty pool for orders: their responses carry no ID, have short
// heads, and bodies to be read by DiscardShort. Only a connection with a response of 200
// is used again: a copy of another would pass for the answer to a later order. Nothing of
// an order reaches the upstream's host later than its request ends.
func NewOrderPool() *Pool {
	return &Pool{maxHeader: maxShortHeaderBytes, resetsUnanswered: true, idle: map[string][]*connection{}}
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	id := p.requestID(request)
	c, err := p.get(ctx, request.URL.Host, id)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
	}
	end := c.close
	if p.resetsUnanswered {
		end = c.reset
	}
	stopCancel := context.AfterFunc(ctx, end)
	writer := &requestWriter{connection: c, request: request, done: make(chan error, 1)}
	writer.start()
	response, err := p.readResponse(c, request)
	if err != nil {
		stopCancel()
		c.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("exchange with upstream: %w", err)
	}
	if id != "" && response.StatusCode >= http.StatusBadRequest {
		c.failedIDs = append(c.failedIDs, id)
	}
	response.Body = &responseBody{
		ReadCloser: response.Body, pool: p, connection: c, address: request.URL.Host, stopCancel: stopCancel,
		reusable: writer.written() && !response.Close && p.keeps(response.StatusCode), idleTimeout: idleTimeout(response.Header),
	}
	return response, nil
}

// keeps reports whether a connection is used again after a response with the status.
func (p *Pool) keeps(status int) bool { return p.keepsFailed || status == http.StatusOK }

// readResponse reads responses until it finds the one to this request.
func (p *Pool) readResponse(c *connection, request *http.Request) (*http.Response, error) {
	for range maxSkippedResponses {
		c.limit.N = p.maxHeader
		response, err := blresponse.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err //nolint:wrapcheck // wrapped by the caller
		}
		c.limit.N = math.MaxInt64
		if blresponse.IsInterim(response.StatusCode) {
			continue
		}
		if !p.mismatched(c, request, response) {
			return response, nil
		}
		if response.Close {
			break
		}
		if whole, _ := discard(response.Body, c.close); !whole {
			break
		}
	}
	return nil, MismatchedResponseError{}
}

const (
	// maxDiscardBytes and discardTimeout limit what is read of a response that is
	// not needed. Beyond that a new connection costs less.
	maxDiscardBytes = 32 << 10
	discardTimeout  = 100 * time.Millisecond
)

// discard reads a body that is not needed, so that its connection can be reused. It
// reports whether it has read the whole body, and returns an error if the body broke off.
// If that takes too long, it calls closeConnection, which has to end the read.
func discard(body io.Reader, closeConnection func()) (bool, error) {
	var expired atomic.Bool
	timer := time.AfterFunc(discardTimeout, func() {
		expired.Store(true)
		closeConnection()
	})
	defer timer.Stop()
	count, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err != nil && !expired.Load() {
		return false, fmt.Errorf("read body: %w", err)
	}
	return err == nil && count <= maxDiscardBytes, nil
}

// requestID returns the ID of a request, or nothing if responses are not checked.
func (p *Pool) requestID(request *http.Request) string {
	if p.idHeader == "" {
		return ""
	}
	return request.Header.Get(p.idHeader)
}

// mismatched reports whether a response may belong to another request.
func (p *Pool) mismatched(c *connection, request *http.Request, response *http.Response) bool {
	if p.idHeader == "" {
		return false
	}
	id := response.Header.Get(p.idHeader)
	if id == "" {
		return c.reused
	}
	return id != p.requestID(request)
}

func (p *Pool) get(ctx context.Context, address, id string) (*connection, error) {
	for {
		c := p.popIdle(address, id)
		if c == nil {
			return dial(ctx, address)
		}
		if time.Now().Before(c.expires) && noPendingInput(c) {
			return c, nil
		}
		c.close()
	}
}

// popIdle returns the idle connection used last, among those on which no request
// with the ID has failed, or nil if there is none.
func (p *Pool) popIdle(address, id string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if id == "" || !slices.Contains(c.failedIDs, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) putIdle(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}
