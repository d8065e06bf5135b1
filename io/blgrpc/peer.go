package blgrpc

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bergamotlead/io/blgrpc/blproto"
)

const (
	// windowBytes is the flow-control window of connections.
	windowBytes = 1 << 20
	// callWindowBytes is the flow-control window of a call, the smallest that gRPC
	// allows: it bounds what arrives of a body before it is passed on. For a larger
	// message gRPC raises it while a call waits for that message.
	callWindowBytes = 64 << 10
	// callBufferBytes is how much of a call gRPC keeps to send it again on another
	// connection while nothing has arrived for it. Its default is 256 KB.
	callBufferBytes = 64 << 10
	connectTimeout  = 500 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	baseBackoff     = 50 * time.Millisecond
	backoffFactor   = 1.6
	backoffJitter   = 0.2
	// silenceLimit is how long nothing may arrive on a connection on which a call
	// waits before the connection is probed.
	silenceLimit = time.Second
	// probeTimeout is how long a probe may take. A connection on which nothing has
	// arrived by then is closed, and the next call opens another.
	probeTimeout = time.Second
)

// peer calls one node over one connection at a time. A connection may go silent without
// an error, so one on which calls wait and nothing arrives is probed and replaced. An
// idle connection costs nothing.
type peer struct {
	blproto.NodeClient

	address string
	client  *grpc.ClientConn
	// current is the connection opened last, or nil.
	current atomic.Pointer[monitoredConn]
	probing atomic.Bool
	// replaced is called with the address before a silent connection is closed.
	replaced func(address string)
}

// newPeer returns a peer without a connection; the first call opens one.
func newPeer(address string, replaced func(address string)) (*peer, error) {
	p := &peer{address: address, replaced: replaced}
	client, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		// Setting the window size keeps gRPC from estimating it with pings.
		grpc.WithInitialWindowSize(callWindowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxRetryRPCBufferSize(callBufferBytes)),
		grpc.WithContextDialer(p.dial),
		grpc.WithUnaryInterceptor(p.call),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: baseBackoff, Multiplier: backoffFactor, Jitter: backoffJitter, MaxDelay: maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	p.client, p.NodeClient = client, blproto.NewNodeClient(client)
	return p, nil
}

func (p *peer) close() {
	_ = p.client.Close()
}

func (p *peer) dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial node: %w", err)
	}
	monitored, err := newMonitoredConn(connection)
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	p.current.Store(monitored)
	return monitored, nil
}

// call makes a unary call. One that isn't answered in time raises the suspicion that
// its connection is silent.
func (p *peer) call(
	ctx context.Context, method string, request, reply any, client *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption,
) error {
	err := invoke(ctx, method, request, reply, client, options...)
	if status.Code(err) == codes.DeadlineExceeded {
		p.suspect() //nolint:contextcheck // the probe outlives the call
	}
	return err
}

// watch raises the suspicion that the connection is silent if the caller doesn't stop
// the returned timer first.
func (p *peer) watch() *time.Timer {
	return time.AfterFunc(silenceLimit, p.suspect)
}

// suspect probes the connection if nothing has arrived on it for silenceLimit.
func (p *peer) suspect() {
	connection := p.current.Load()
	if connection == nil || connection.silentFor() < silenceLimit || p.probing.Swap(true) {
		return
	}
	go p.run(connection)
}

// run probes a connection and closes it if nothing arrives on it meanwhile. The calls
// that wait on it then fail.
func (p *peer) run(connection *monitoredConn) {
	defer p.probing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := p.Identify(ctx, &blproto.IdentifyRequest{})
	if err == nil || connection.silentFor() < silenceLimit+probeTimeout {
		return
	}
	p.replaced(p.address)
	_ = connection.Close()
}
