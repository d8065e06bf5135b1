package blnode

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blvalue"
)

// probeTimeout ends a probe before the next one is due. TCP repeats an attempt to connect
// only after a second, and a host that is back is to be found sooner.
const probeTimeout = 40 * time.Millisecond

// hostProber performs the ownership duty's probes of absent nodes.
type hostProber struct {
	put func(blassign.Message) error
}

// perform probes all hosts at once and waits for the results.
func (p hostProber) perform(effect blassign.ProbeHosts) {
	var pending sync.WaitGroup
	for _, host := range effect.Hosts {
		pending.Go(func() { p.run(host) })
	}
	pending.Wait()
}

// run probes one host. A result that is dropped because the ring is full is equivalent to
// a probe that wasn't made.
func (p hostProber) run(host blvalue.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", host.Address)
	if err == nil {
		_ = connection.Close()
	}
	_ = p.put(blassign.HostProbed{Host: host, Refused: isRefused(err)})
}

// isRefused reports whether a host answered that nothing listens at the address.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
