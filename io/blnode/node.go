// Package blnode assembles one process of the system: its duties, the rings
// between them, and its front ends.
package blnode

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blmemory"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blreconciler"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blbudget"
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
	budget     *blbudget.Budget
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
	percentPerCore = 100
	// logLinesPerSecond limits the log lines about refused orders of other nodes,
	// for each refusal reason.
	logLinesPerSecond = 20
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
	n.budget = blbudget.New(MemoryLimits(settings), n.clock, n.metrics, logger)
	n.timer = bltimer.New(n.clock)
	if platform.ObserveStore != nil {
		platform.ObserveStore(n.recordBrokenStore)
	}
	n.newWorkers()
	n.newDuties()
	n.deliverer = blupstream.New(blupstream.Duties{
		Deliver: n.duties.deliver.Put, Grant: n.duties.grant.Put, Admit: n.duties.admit.Put,
	}, platform.Transport, platform.UpstreamProtocol, n.clock, tracer, n.upstreamFailed)
	n.nodeServer = blgrpc.NewLimitedServer(n, blgrpc.NewHeaderTable(platform.HeaderNames...), n.budget)
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
	listener, err := n.listen(ctx, n.settings.NodeListen, blmemory.ListenerNodes)
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
