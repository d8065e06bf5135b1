// Package blnode assembles one process of the system: its duties, the rings
// between them, and its front ends.
package blnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blhttp"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blmetric"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
	"bergamotlead/io/bltrace"
	"bergamotlead/io/blupstream"
)

// Node is one process of the system.
type Node struct {
	settings blsettings.Process
	platform Platform
	self     blvalue.Host
	store    blplatform.Store
	keys     blstore.Keys
	clock    bltimer.System
	logger   hclog.Logger
	metrics  *blmetric.Set
	tracer   *bltrace.Tracer
	client   *blgrpc.Client

	timer     *bltimer.Service
	duties    duties
	workers   workers
	deliverer *blupstream.Deliverer
	nodes     *blgrpc.Server
	servers   []*http.Server
	failed    chan error
	leaving   atomic.Bool
	lines     *bllog.Budget
	beliefs   *beliefs
}

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
	// handOverWait is how long a leaving node waits at most for its partitions
	// to find new owners.
	handOverWait = 10 * time.Second
	// lateHandOver is how long it waits at most beyond the moment at which callers
	// go elsewhere. Requests that run need the rest of the time to end.
	lateHandOver = 500 * time.Millisecond
	percent      = 100
	// linesPerSecond bounds the lines about orders of other nodes, of each kind.
	linesPerSecond = 20
	handOverPoll   = 20 * time.Millisecond
	// handOverTime is how long that usually takes.
	handOverTime = 900 * time.Millisecond
)

// New returns a node. Start runs it.
func New(
	ctx context.Context, settings blsettings.Process, platform Platform, clock bltimer.System, logger hclog.Logger,
) (*Node, error) {
	tracer, err := bltrace.New(ctx, settings.Host, bltrace.Target{
		File: settings.TraceFile, Collector: settings.TraceCollector,
	})
	if err != nil {
		return nil, fmt.Errorf("create node: %w", err)
	}
	n := &Node{
		settings: settings,
		platform: platform,
		self: blvalue.Host{
			Name: settings.Host, Incarnation: blvalue.Incarnation(uuid.NewString()),
			Domain: settings.Domain, Address: settings.ReachedAt(), Capacity: int(settings.Capacity * percent),
		},
		store:   platform.Store,
		keys:    blstore.NewKeys(settings.Region),
		clock:   clock,
		logger:  logger,
		metrics: blmetric.New(),
		tracer:  tracer,
		client:  blgrpc.NewClient(platform.Config.Decode, blgrpc.NewHeaderTable(platform.HeaderNames...)),
		failed:  make(chan error, 1),
		lines:   bllog.NewBudget(linesPerSecond),
		beliefs: newBeliefs(logger),
	}
	n.timer = bltimer.New(n.clock)
	n.newWorkers()
	n.newDuties()
	n.deliverer = blupstream.New(blupstream.Duties{
		Deliver: n.duties.deliver.Put, Grant: n.duties.grant.Put, Admit: n.duties.admit.Put,
	}, platform.Transport, platform.Upstreams, n.clock, tracer)
	n.nodes = blgrpc.NewServer(n, platform.Config.Decode, blgrpc.NewHeaderTable(platform.HeaderNames...))
	n.addGauges()
	return n, nil
}

// Self returns this process as other nodes know it.
func (n *Node) Self() blvalue.Host {
	return n.self
}

// Failed tells of a listener that broke.
func (n *Node) Failed() <-chan error {
	return n.failed
}

// Start opens the listeners and runs the duties.
func (n *Node) Start(ctx context.Context) error {
	listener, err := n.listen(ctx, n.settings.NodeListen)
	if err != nil {
		return err
	}
	n.workers.start()
	n.duties.start()
	n.subscribe()
	n.timer.Start()
	go n.runNodes(listener)
	if n.platform.FollowsConfig {
		n.drop("watch", n.workers.watch.Put(watchJob{}))
	}
	operators, err := bloperator.New(n, n.metrics, n.settings.OperatorTokenFile, n.chain()).Handler()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	handlers := map[string]http.Handler{
		n.settings.CallerListen:   n.callerHandler(),
		n.settings.UpstreamListen: n.platform.Announcements(n.announce, n.chain()),
		n.settings.OperatorListen: operators,
	}
	if n.settings.ReadyListen != "" {
		handlers[n.settings.ReadyListen] = n.readyHandler()
	}
	for address, handler := range handlers {
		if err := n.serve(ctx, address, handler); err != nil {
			return err
		}
	}
	n.logger.Info("started", "incarnation", string(n.self.Incarnation), "failure_domain", string(n.self.Domain),
		"region", n.settings.Region)
	return nil
}

func (n *Node) listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}

func (n *Node) runNodes(listener net.Listener) {
	if err := n.nodes.Serve(listener); err != nil {
		n.fail(err)
	}
}

func (n *Node) fail(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

func (n *Node) serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := n.listen(ctx, address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: n.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	n.servers = append(n.servers, server)
	go n.runServer(server, listener)
	return nil
}

func (n *Node) runServer(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.fail(fmt.Errorf("serve %s: %w", listener.Addr(), err))
	}
}

func (n *Node) callerHandler() http.Handler {
	front := blhttp.New(n.platform.Callers, n.duties.admit.Put, n.duties.route.Put, n.deliver, n.callerLimits, n.tracer, n.metrics, n.logger)
	return n.chain().Then(front)
}

// readyHandler tells the platform whether this node takes work: it knows a
// configuration and isn't leaving.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.leaving.Load() || n.duties.admit.View().Config().Revision == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return n.chain().Then(mux)
}

// callerLimits returns the bounds that hold before a request is admitted.
func (n *Node) callerLimits() blhttp.Limits {
	limits := n.duties.admit.View().Config().Plan.Limits
	if limits.BodyBytes == 0 {
		return blhttp.Limits{BodyBytes: defaultBodyBytes, Timeout: defaultTimeout}
	}
	return blhttp.Limits{BodyBytes: limits.BodyBytes, Timeout: limits.RequestTimeout}
}

const (
	defaultBodyBytes = 1 << 20
	defaultTimeout   = 5 * time.Second
)

// Stop leaves the region without cutting a request short: it hands its
// partitions and the lead over, lets running requests end, and then ends. The
// configuration's shutdown_grace bounds it.
func (n *Node) Stop(ctx context.Context) error {
	n.logger.Info("leaving")
	n.leaving.Store(true)
	for _, server := range n.servers {
		server.SetKeepAlivesEnabled(false)
	}
	elsewhere := time.After(n.platform.LeaveAfter)
	if grace := n.duties.admit.View().Config().Plan.Limits.ShutdownGrace; grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grace)
		defer cancel()
	}
	n.stay(ctx)
	n.leave(ctx)
	select {
	case <-elsewhere:
	case <-ctx.Done():
	}
	blduty.PutWaiting[bladmit.Message](n.duties.admit.Put, bladmit.Leave{})
	var faults []error
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil {
			faults = append(faults, fmt.Errorf("shut down: %w", err))
		}
	}
	n.drainNodes(ctx)
	n.timer.Stop()
	n.duties.stop()
	n.workers.stop()
	n.client.Close()
	if err := n.tracer.Stop(ctx); err != nil {
		faults = append(faults, err)
	}
	n.logger.Info("ended")
	return errors.Join(faults...)
}

// drainNodes lets calls of other nodes end, and cuts off what is left when ctx
// ends.
func (n *Node) drainNodes(ctx context.Context) {
	stop := context.AfterFunc(ctx, n.nodes.Stop)
	defer stop()
	n.nodes.Drain()
}
