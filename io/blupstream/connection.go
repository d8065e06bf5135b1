package blupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotlead/io/blresponse"
)

// connection is a connection to an upstream. It carries one request at a time.
type connection struct {
	*blresponse.Conn

	reader  *bufio.Reader
	limit   *io.LimitedReader
	expires time.Time
	closed  atomic.Bool
	// reused is set when the connection has had a response.
	reused bool
	// failedIDs holds the IDs of the requests that were answered with a failure.
	failedIDs []string
}

func (c *connection) close() {
	if !c.closed.Swap(true) {
		_ = c.Close()
	}
}

// reset closes the connection and discards what was written and has not reached the
// upstream's host.
func (c *connection) reset() {
	_ = c.TCP().SetLinger(0)
	c.close()
}

// requestWriter writes a request, concurrently with reading the response if the
// request has a body.
type requestWriter struct {
	connection *connection
	request    *http.Request
	done       chan error
	// lost is set when the connection takes no more of the request.
	lost bool
}

func (w *requestWriter) start() {
	if w.request.Body == nil || w.request.Body == http.NoBody || w.request.ContentLength == 0 {
		w.run()
		return
	}
	go w.run()
}

func (w *requestWriter) run() {
	buffer := bufio.NewWriter(w)
	err := w.request.Write(buffer)
	if err == nil {
		err = buffer.Flush()
	}
	// The reader finds the end of a lost connection itself, after what has arrived: that
	// may be a whole response.
	if err != nil && !w.lost {
		w.connection.close()
	}
	w.done <- err
}

// Write implements io.Writer.
func (w *requestWriter) Write(part []byte) (int, error) {
	count, err := w.connection.Write(part)
	w.lost = w.lost || err != nil
	return count, err //nolint:wrapcheck // wrapped by the writer of the request
}

// written reports whether the whole request has been written without an error.
func (w *requestWriter) written() bool {
	select {
	case err := <-w.done:
		return err == nil
	default:
		return false
	}
}

// receiveBufferBytes bounds what the system holds of a response that is not read yet; the
// system doubles it. Without it the system would hold many megabytes for a connection on
// which it has seen fast reads.
const receiveBufferBytes = 32 << 10

// dialBounded connects to an upstream, with a bounded receive buffer.
func dialBounded(ctx context.Context, dialer *net.Dialer, address string) (*blresponse.Conn, error) {
	conn, err := blresponse.Dial(ctx, dialer, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	_ = conn.TCP().SetReadBuffer(receiveBufferBytes)
	return conn, nil
}

func dial(ctx context.Context, address string) (*connection, error) {
	conn, err := dialBounded(ctx, &net.Dialer{Timeout: connectTimeout}, address)
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: conn, N: maxHeaderBytes}
	return &connection{Conn: conn, reader: bufio.NewReader(limit), limit: limit}, nil
}

// idleTimeout returns how long the connection may be idle and still be reused.
func idleTimeout(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// responseBody returns its connection to the pool at the end of the response.
type responseBody struct {
	io.ReadCloser

	pool        *Pool
	connection  *connection
	address     string
	stopCancel  func() bool
	reusable    bool
	idleTimeout time.Duration
	finished    sync.Once
}

// Read implements io.Reader.
func (b *responseBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.finish(b.reusable)
	} else if err != nil {
		b.finish(false)
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	b.finish(false)
	return nil
}

func (b *responseBody) finish(reuse bool) {
	b.finished.Do(func() { b.release(reuse) })
}

func (b *responseBody) release(reuse bool) {
	if !b.stopCancel() || !reuse || b.connection.closed.Load() || len(b.connection.failedIDs) > maxFailedIDs {
		b.connection.close()
		return
	}
	b.connection.reused = true
	b.connection.expires = time.Now().Add(b.idleTimeout)
	b.pool.putIdle(b.address, b.connection)
}
