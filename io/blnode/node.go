// Package blnode assembles one process of the system: its duties, the rings
// between them, and its front ends.
package blnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blhttp"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blmetric"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blserver"
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
	clock    bltimer.Clock
	logger   hclog.Logger
	metrics  *blmetric.Set
	tracer   *bltrace.Tracer
	client   *blgrpc.Client

	timer      *bltimer.Service
	duties     duties
	workers    workers
	deliverer  *blupstream.Deliverer
	nodeServer *blgrpc.Server
	// callerServer is the one of httpServers that serves callers.
	callerServer *blserver.Server
	httpServers  []*blserver.Server
	// stages counts callers' requests by what they wait for.
	stages *blhttp.Stages
	ending *blserver.Ending
	// forwarding is the number of callers' orders that other nodes deliver.
	forwarding atomic.Int64
	failed     chan error
	leaving    atomic.Bool
	logLimiter *bllog.RateLimiter
	stateLog   *stateLog
	// reloadedAt is when this node without a lead last reread the configuration. Only
	// the timer uses it.
	reloadedAt bltimer.Instant
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// maxHandOverWait is how long a leaving node waits at most for its partitions
	// to be assigned to new owners.
	maxHandOverWait = 10 * time.Second
	// handOverOverrun limits how long a leaving node still waits for new owners
	// after callers have been redirected. In-flight requests need the rest of the
	// grace period to complete.
	handOverOverrun = 500 * time.Millisecond
	percentPerCore  = 100
	// logLinesPerSecond limits the log lines about refused orders of other nodes,
	// for each refusal reason.
	logLinesPerSecond    = 20
	handOverPollInterval = 20 * time.Millisecond
	// typicalHandOverTime is how long it usually takes until the partitions of a
	// leaving node have new owners.
	typicalHandOverTime = 900 * time.Millisecond
)

// New returns a node that is not yet running; Start runs it.
func New(
	ctx context.Context, settings blsettings.Process, platform Platform, clock bltimer.Clock, logger hclog.Logger,
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
			Domain: settings.Domain, Address: settings.AdvertiseAddress(), Capacity: int(settings.Capacity * percentPerCore),
		},
		store:      platform.Store,
		keys:       blstore.NewKeys(settings.Region),
		clock:      clock,
		logger:     logger,
		metrics:    blmetric.New(),
		tracer:     tracer,
		failed:     make(chan error, 1),
		logLimiter: bllog.NewRateLimiter(logLinesPerSecond),
		stateLog:   newStateLog(logger),
		stages:     &blhttp.Stages{},
		ending:     blserver.NewEnding(),
	}
	n.client = blgrpc.NewClient(platform.Config.Decode, blgrpc.NewHeaderTable(platform.HeaderNames...), n.connectionReplaced)
	n.timer = bltimer.New(n.clock)
	n.newWorkers()
	n.newDuties()
	n.deliverer = blupstream.New(blupstream.Duties{
		Deliver: n.duties.deliver.Put, Grant: n.duties.grant.Put, Admit: n.duties.admit.Put,
	}, platform.Transport, platform.UpstreamProtocol, n.clock, tracer, n.upstreamFailed)
	n.nodeServer = blgrpc.NewServer(n, blgrpc.NewHeaderTable(platform.HeaderNames...))
	n.addGauges()
	return n, nil
}

// Self returns the identity that this process reports to other nodes.
func (n *Node) Self() blvalue.Host {
	return n.self
}

// Failed returns a channel that delivers the error of a listener that failed.
// Further errors are dropped until that one has been received.
func (n *Node) Failed() <-chan error {
	return n.failed
}

// Start opens the listeners and starts the duties and workers.
func (n *Node) Start(ctx context.Context) error {
	listener, err := n.listen(ctx, n.settings.NodeListen)
	if err != nil {
		return err
	}
	n.workers.start()
	n.duties.start()
	// What an earlier run of the node granted is taken back before anything else.
	n.logDropped("reconciler", n.duties.reconciler.Put(blreconciler.Tick{}))
	n.subscribeTicks()
	n.timer.Start()
	go n.serveNodes(listener)
	if n.platform.AllNodesReadConfig {
		n.logDropped("watch", n.workers.watch.Put(watchJob{}))
	}
	operators, err := bloperator.New(n, n.metrics, n.settings.OperatorTokenFile, n.chain()).Handler()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	handlers := map[string]http.Handler{
		n.settings.CallerListen:   n.callerHandler(),
		n.settings.UpstreamListen: n.platform.Announcements(n.duties.member.Put, n.logRejectedAnnouncement, n.chain()),
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
	listener, err := n.listen(ctx, address)
	if err != nil {
		return err
	}
	server := blserver.New(listener, &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: n.logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	})
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
	limits := n.duties.admit.View().Config().Plan.Limits
	if limits.BodyBytes == 0 {
		return blhttp.Limits{BodyBytes: defaultMaxBodyBytes, Timeout: defaultRequestTimeout}
	}
	return blhttp.Limits{BodyBytes: limits.BodyBytes, Timeout: limits.RequestTimeout}
}

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultRequestTimeout = 5 * time.Second
)
