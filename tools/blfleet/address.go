package blfleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are allocated below the ephemeral port range, so that no outgoing
// connection takes a port between the check that it is free and its use.
const (
	firstPort = 10000
	portCount = 20000
	// portStep spaces the first ports of processes that run at the same time.
	portStep = 61
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(int64(os.Getpid()*portStep) % portCount)
}

// NoFreePortError reports that every port of the range is in use.
type NoFreePortError struct{}

// Error implements error.
func (NoFreePortError) Error() string {
	return "no port is free"
}

// freeAddress returns a loopback address that no process listens on. It returns
// an address again only after it has tried all others.
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
