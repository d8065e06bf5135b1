package blresponse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"bergamotlead/core/blvalue"
)

// Conn is a TCP connection of a client that writes a request while it reads the response.
// The system reports that a connection was reset only once, to a write or to a read. Reads
// after that see an orderly end, by which a response without a length would be whole. So
// Conn remembers the report.
type Conn struct {
	net.Conn

	tcp *net.TCPConn
	raw syscall.RawConn

	// exchange is locked while the response to a request on this connection may still
	// turn out to be broken. Only Transport uses it.
	exchange sync.Mutex

	// mu is locked during each call of the system that writes: a read that sees an end
	// waits for what the call before it reported.
	mu sync.Mutex
	// lost is the error by which the system reported the loss of the connection, or nil.
	lost error
}

// Dial connects to a TCP address.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (*Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, net.UnknownNetworkError(network))
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return &Conn{Conn: conn, tcp: tcp, raw: raw}, nil
}

// TCP returns the connection for its options. It must not be read or written.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

// Read implements io.Reader. It returns a BrokenError where the connection was lost rather
// than ended by the peer, also if that was reported to a write.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err != nil {
		err = c.readError(err)
	}
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}

func (c *Conn) readError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember(err)
	if c.lost == nil {
		return err
	}
	return BrokenError{Fault: blvalue.FaultReset, Detail: "the connection was lost: " + c.lost.Error(), Cause: c.lost}
}

// remember keeps an error of the system that reports the loss of the connection. EPIPE
// reports none: it is what a write gets after an end that the peer sent in order, or after
// a loss that was reported before.
func (c *Conn) remember(err error) {
	var number syscall.Errno
	if c.lost == nil && errors.As(err, &number) && number != syscall.EPIPE {
		c.lost = number
	}
}

// Write implements io.Writer.
func (c *Conn) Write(buffer []byte) (int, error) {
	w := pendingWrite{conn: c, rest: buffer}
	err := c.raw.Write(w.proceed)
	if err == nil {
		err = w.err
	}
	if err != nil {
		err = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	}
	return len(buffer) - len(w.rest), err
}

// pendingWrite is a write that may take several calls of the system.
type pendingWrite struct {
	conn *Conn
	rest []byte
	err  error
}

// proceed writes as much as the system takes. It reports false if the rest has to wait.
func (w *pendingWrite) proceed(fd uintptr) bool {
	for len(w.rest) > 0 {
		count, err := w.conn.writeOnce(int(fd), w.rest)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return false
		case errors.Is(err, syscall.EINTR):
		case err != nil:
			w.err = os.NewSyscallError("write", err)
			return true
		case count == 0:
			w.err = io.ErrUnexpectedEOF
			return true
		default:
			w.rest = w.rest[count:]
		}
	}
	return true
}

// writeOnce makes one call of the system, which doesn't wait, and remembers what it
// reported.
func (c *Conn) writeOnce(fd int, buffer []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count, err := syscall.Write(fd, buffer)
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		c.remember(err)
	}
	return count, err //nolint:wrapcheck // read by proceed
}
