package blupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	connectTimeout = time.Second
	// defaultIdle is how long an idle connection is used again when the
	// upstream names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the upstream names, so that it
	// doesn't close a connection on which a request is on its way.
	idleMargin = time.Second
	// largestHeader bounds the header of an answer, in bytes.
	largestHeader = 64 << 10
	// mostForeign bounds the answers to other requests that are passed over.
	mostForeign = 8
)

// ForeignAnswerError reports a connection whose answers belong to other
// requests.
type ForeignAnswerError struct{}

// Error returns the fault as text.
func (ForeignAnswerError) Error() string {
	return "the connection's answers belong to other requests"
}

// Pool keeps connections to upstreams. It never sends a request twice, and it
// takes no answer that names another request.
type Pool struct {
	// idHeader is the field by which requests and answers name each other, or
	// empty.
	idHeader string

	mu   sync.Mutex
	idle map[string][]*connection
}

// NewPool returns a pool without connections.
func NewPool(idHeader string) *Pool {
	return &Pool{idHeader: idHeader, idle: map[string][]*connection{}}
}

// connection is one connection to an upstream. One request uses it at a time.
type connection struct {
	net.Conn

	reader  *bufio.Reader
	limit   *io.LimitedReader
	expires time.Time
	closed  atomic.Bool
}

func (c *connection) close() {
	if !c.closed.Swap(true) {
		_ = c.Close()
	}
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	c, err := p.take(ctx, request.URL.Host)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c})
	}
	stop := context.AfterFunc(ctx, c.close)
	writer := &requestWriter{connection: c, request: request, done: make(chan error, 1)}
	writer.start()
	response, err := p.readAnswer(c, request)
	if err != nil {
		stop()
		c.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("exchange with upstream: %w", err)
	}
	response.Body = &answerBody{
		ReadCloser: response.Body, pool: p, connection: c, address: request.URL.Host, stop: stop,
		reusable: writer.written() && !response.Close, idle: idleTime(response.Header),
	}
	return response, nil
}

// requestWriter writes a request while its answer may already come.
type requestWriter struct {
	connection *connection
	request    *http.Request
	done       chan error
}

func (w *requestWriter) start() {
	if w.request.Body == nil || w.request.Body == http.NoBody || w.request.ContentLength == 0 {
		w.run()
		return
	}
	go w.run()
}

func (w *requestWriter) run() {
	buffer := bufio.NewWriter(w.connection)
	err := w.request.Write(buffer)
	if err == nil {
		err = buffer.Flush()
	}
	if err != nil {
		w.connection.close()
	}
	w.done <- err
}

// written reports whether the whole request has been sent.
func (w *requestWriter) written() bool {
	select {
	case err := <-w.done:
		return err == nil
	default:
		return false
	}
}

// readAnswer reads answers until one is to this request.
func (p *Pool) readAnswer(c *connection, request *http.Request) (*http.Response, error) {
	for range mostForeign {
		c.limit.N = largestHeader
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		c.limit.N = math.MaxInt64
		if response.StatusCode < http.StatusOK {
			continue
		}
		if !p.foreign(request, response) {
			return response, nil
		}
		if response.Close {
			break
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("pass over answer to another request: %w", err)
		}
	}
	return nil, ForeignAnswerError{}
}

func (p *Pool) foreign(request *http.Request, response *http.Response) bool {
	if p.idHeader == "" {
		return false
	}
	id := response.Header.Get(p.idHeader)
	return id != "" && id != request.Header.Get(p.idHeader)
}

func (p *Pool) take(ctx context.Context, address string) (*connection, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return dialUpstream(ctx, address)
		}
		if time.Now().Before(c.expires) && quiet(c) {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return last
}

func (p *Pool) put(address string, c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

func dialUpstream(ctx context.Context, address string) (*connection, error) {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	limit := &io.LimitedReader{R: conn, N: largestHeader}
	return &connection{Conn: conn, reader: bufio.NewReader(limit), limit: limit}, nil
}

// idleTime returns how long the connection may be used again.
func idleTime(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

// answerBody gives its connection back at the end of the answer.
type answerBody struct {
	io.ReadCloser

	pool       *Pool
	connection *connection
	address    string
	stop       func() bool
	reusable   bool
	idle       time.Duration
	ended      bool
}

// Read implements io.Reader.
func (b *answerBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.end(b.reusable)
	} else if err != nil {
		b.end(false)
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	b.end(false)
	return nil
}

func (b *answerBody) end(reuse bool) {
	if b.ended {
		return
	}
	b.ended = true
	if !b.stop() || !reuse || b.connection.closed.Load() {
		b.connection.close()
		return
	}
	b.connection.expires = time.Now().Add(b.idle)
	b.pool.put(b.address, b.connection)
}
