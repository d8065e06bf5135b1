package blnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"

	"bergamotlead/core/blmemory"
	"bergamotlead/io/blhttp"
	"bergamotlead/io/blserver"
	"bergamotlead/io/blsettings"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// listen opens a listener whose connections hold a bounded number of bytes unread. The
// system doubles the size of a buffer that is set, for what it keeps beside the bytes.
func (n *Node) listen(ctx context.Context, address string, kind blmemory.Listener) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(socket uintptr) {
			err = unix.SetsockoptInt(int(socket), unix.SOL_SOCKET, unix.SO_RCVBUF, blmemory.UnreadBytes(kind)/doubledBySystem)
		})
		if err := errors.Join(controlErr, err); err != nil {
			return fmt.Errorf("set receive buffer: %w", err)
		}
		return nil
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

// doubledBySystem is the factor by which the system enlarges a receive buffer.
const doubledBySystem = 2

func (n *Node) serveNodes(listener net.Listener) {
	if err := n.nodeServer.Serve(listener); err != nil {
		n.reportFailure(err)
	}
}

func (n *Node) reportFailure(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

func (n *Node) serve(ctx context.Context, address string, handler http.Handler) error {
	limits := blserver.Limits{Budget: n.budget, Listener: blmemory.ListenerOthers}
	if address == n.settings.CallerListen {
		limits.Listener, limits.Head = blmemory.ListenerCallers, n.headLimits
	}
	listener, err := n.listen(ctx, address, limits.Listener)
	if err != nil {
		return err
	}
	server := blserver.NewLimited(listener, &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     n.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}, limits)
	if address == n.settings.CallerListen {
		n.callerServer = server
		n.metrics.Gauge("bergamotlead_connections_cut", func() float64 { return float64(server.Counts().Cut) })
	}
	n.httpServers = append(n.httpServers, server)
	go n.serveHTTP(server)
	return nil
}

func (n *Node) serveHTTP(server *blserver.Server) {
	if err := server.Serve(); err != nil {
		n.reportFailure(err)
	}
}

func (n *Node) callerHandler() http.Handler {
	handler := blhttp.New(n.platform.CallerProtocol, n.duties.admit.Put, n.duties.route.Put, n.deliver, n.callerLimits, n.stages, n.ending, n.tracer, n.metrics, n.logger)
	return n.chain().Then(handler)
}

// readyHandler answers the platform's readiness probe. The node is ready once it
// has a configuration, and as long as it isn't leaving.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.leaving.Load() || n.duties.admit.View().Config().Revision == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return n.chain().Then(mux)
}

// callerLimits returns the limits that apply before a request is admitted.
func (n *Node) callerLimits() blhttp.Limits {
	plan := n.duties.admit.View().Config().Plan
	if plan.Limits.BodyBytes == 0 {
		return blhttp.Limits{BodyBytes: defaultMaxBodyBytes, Timeout: defaultRequestTimeout}
	}
	return blhttp.Limits{BodyBytes: plan.Limits.BodyBytes, Timeout: plan.Limits.RequestTimeout, RouteTimeout: plan.RouteTimeout}
}

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultRequestTimeout = 5 * time.Second
)

// headLimits returns the limits of the configuration on heads and idle connections.
func (n *Node) headLimits() blserver.HeadLimits {
	limits := n.duties.admit.View().Config().Plan.Limits
	return blserver.HeadLimits{Bytes: limits.HeadBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// MemoryLimits returns the limits on what clients may hold. Without the setting, the
// number of descriptors is that of the system.
func MemoryLimits(settings blsettings.Process) blmemory.Limits {
	descriptors := int(settings.MaxDescriptors)
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil && descriptors == 0 {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	return blmemory.NewLimits(int(settings.MemoryMB), descriptors)
}

// maxDescriptors limits the number of descriptors where the system has hardly a limit.
const maxDescriptors = 1 << 20
