package blupstream

import (
	"errors"
	"syscall"
)

// noPendingInput reports whether nothing has been received on an idle connection
// since its last response: neither the end of the connection nor bytes that belong
// to no request.
func noPendingInput(c *connection) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.TCP().SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EWOULDBLOCK))
}
