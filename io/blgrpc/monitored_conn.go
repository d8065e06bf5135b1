package blgrpc

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc/mem"
)

// monitoredConn records when something last arrived on a connection.
type monitoredConn struct {
	net.Conn

	raw      syscall.RawConn
	openedAt time.Time
	// arrivedAt counts from openedAt, in nanoseconds.
	arrivedAt atomic.Int64
}

// newMonitoredConn monitors a TCP connection.
func newMonitoredConn(connection net.Conn) (*monitoredConn, error) {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("monitor connection: %w", errors.ErrUnsupported)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("monitor connection: %w", err)
	}
	return &monitoredConn{Conn: connection, raw: raw, openedAt: time.Now()}, nil
}

// Read implements net.Conn.
func (c *monitoredConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.record(count)
	return count, err //nolint:wrapcheck // gRPC tests for io.EOF
}

// ReadOnReady lets gRPC wait without a buffer: it takes one of size bytes from pool
// when something has arrived. Without this method gRPC holds 32 KB for each connection.
// The returned buffer is nil if err isn't.
func (c *monitoredConn) ReadOnReady(size int, pool mem.BufferPool) (buffer *[]byte, count int, err error) {
	waitErr := c.raw.Read(func(socket uintptr) bool {
		buffer = pool.Get(size)
		count, err = readSocket(socket, *buffer)
		if err != nil {
			pool.Put(buffer)
			buffer = nil
		}
		return !errors.Is(err, syscall.EAGAIN)
	})
	if waitErr != nil {
		return nil, 0, waitErr //nolint:wrapcheck // gRPC tests for the errors of net
	}
	if err != nil {
		return nil, 0, err
	}
	c.record(count)
	return buffer, count, nil
}

// readSocket reads what has arrived on a socket, or returns syscall.EAGAIN. The end of
// the connection is io.EOF.
func readSocket(socket uintptr, buffer []byte) (int, error) {
	for {
		count, err := syscall.Read(int(socket), buffer)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case err != nil:
			return 0, err //nolint:wrapcheck // the caller tests for syscall.EAGAIN
		case count == 0 && len(buffer) > 0:
			return 0, io.EOF
		}
		return count, nil
	}
}

// record notes that bytes have arrived.
func (c *monitoredConn) record(count int) {
	if count > 0 {
		c.arrivedAt.Store(int64(time.Since(c.openedAt)))
	}
}

// silentFor returns how long nothing has arrived.
func (c *monitoredConn) silentFor() time.Duration {
	return time.Since(c.openedAt) - time.Duration(c.arrivedAt.Load())
}
