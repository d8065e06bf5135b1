package blupstream

import (
	"errors"
	"syscall"
)

// quiet reports whether nothing has come on an idle connection: neither its
// end nor bytes that belong to no request.
func quiet(c *connection) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (errors.Is(peeked, syscall.EAGAIN) || errors.Is(peeked, syscall.EWOULDBLOCK))
}
