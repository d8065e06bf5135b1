package blfleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are taken from below the range from which the system takes those of
// outgoing connections, so that none is taken between the look and its use.
const (
	firstPort = 10000
	portCount = 20000
	// portStep spreads processes that run at the same time.
	portStep = 61
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()*portStep) % portCount)
}

// NoFreePortError reports that every port is in use.
type NoFreePortError struct{}

// Error returns the fault as text.
func (NoFreePortError) Error() string {
	return "no port is free"
}

// freeAddress returns a loopback address that nobody listens on. It returns no
// address twice before all others.
func freeAddress() (string, error) {
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", NoFreePortError{}
}
