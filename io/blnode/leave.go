package blnode

import (
	"context"
	"errors"
	"time"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/bldeliver"
	"bergamotlead/core/blduty"
	"bergamotlead/io/blserver"
)

// Stop shuts the node down gracefully, without aborting requests: it hands over
// its partitions and the lead, waits for in-flight requests to complete, and then
// stops the duties and workers. The configuration's shutdown_grace bounds it.
func (n *Node) Stop(ctx context.Context) error {
	n.logStop("leaving")
	n.leaving.Store(true)
	for _, server := range n.httpServers {
		server.Leave()
	}
	redirected := time.After(n.platform.DrainDelay)
	if grace := n.duties.admit.View().Config().Plan.Limits.ShutdownGrace; grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grace)
		defer cancel()
		end, _ := ctx.Deadline()
		n.ending.Begin(end, n.refuseWaiting)
		defer n.ending.Close()
	}
	n.keepOwnership(ctx)
	n.handOver(ctx)
	n.logStop("handed over")
	select {
	case <-redirected:
	case <-ctx.Done():
	}
	blduty.PutBlocking[bladmit.Message](n.duties.admit.Put, bladmit.Leave{})
	n.logStop("refusing")
	n.awaitWork(ctx)
	n.logStop("work ended")
	errs := n.stopServers(ctx)
	n.logStop("callers served")
	n.drainNodeServer(ctx)
	n.logStop("orders served")
	n.timer.Stop()
	n.duties.stop()
	n.workers.stop()
	n.client.Close()
	if err := n.tracer.Stop(ctx); err != nil {
		errs = append(errs, err)
	}
	n.logger.Info("ended")
	return errors.Join(errs...)
}

// refuseWaiting refuses all requests that wait on this node.
func (n *Node) refuseWaiting() {
	n.logStop("refusing what waits")
	blduty.PutBlocking[bladmit.Message](n.duties.admit.Put, bladmit.Close{})
	blduty.PutBlocking[bldeliver.Message](n.duties.deliver.Put, bldeliver.Close{})
}

// awaitWork waits until no caller's request is unanswered and the local upstreams run
// no requests. Meanwhile all listeners stay open: upstreams make calls through them for
// what they run, and announce themselves. Once they run nothing, no more orders are
// delivered to them, and no more calls are expected.
func (n *Node) awaitWork(ctx context.Context) {
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for n.working() {
		n.endDelivery()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	blduty.PutBlocking[bldeliver.Message](n.duties.deliver.Put, bldeliver.Close{})
}

// endDelivery refuses orders for the local upstreams once these run nothing, and then
// the requests that may be calls of theirs.
func (n *Node) endDelivery() {
	deliver := n.duties.deliver.View()
	switch {
	case deliver.Running()+deliver.Waiting() > 0:
	case deliver.Closed():
		blduty.PutBlocking[bladmit.Message](n.duties.admit.Put, bladmit.Leave{RefuseCalls: true})
	case n.stages.Counts().Delivery <= int(n.forwarding.Load()):
		blduty.PutBlocking[bldeliver.Message](n.duties.deliver.Put, bldeliver.Close{})
	}
}

func (n *Node) working() bool {
	deliver := n.duties.deliver.View()
	return n.callerServer.Counts().Running+deliver.Running()+deliver.Waiting() > 0
}

// stopServers stops the HTTP servers, that of the callers first.
func (n *Node) stopServers(ctx context.Context) []error {
	servers := []*blserver.Server{n.callerServer}
	for _, server := range n.httpServers {
		if server != n.callerServer {
			servers = append(servers, server)
		}
	}
	var errs []error
	for _, server := range servers {
		if err := server.Stop(ctx); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// drainNodeServer waits for in-flight calls of other nodes to complete, and
// aborts the remaining ones when ctx ends.
func (n *Node) drainNodeServer(ctx context.Context) {
	stop := context.AfterFunc(ctx, n.nodeServer.Stop)
	defer stop()
	n.nodeServer.Drain()
}

// logStop logs one step of a stop: the state of the callers' connections, and what
// the unanswered requests wait for.
func (n *Node) logStop(step string) {
	counts, stages, deliver := n.callerServer.Counts(), n.stages.Counts(), n.duties.deliver.View()
	n.logger.Info(step, "connections_idle", counts.Idle, "connections_reading", counts.Reading, "connections_running", counts.Running,
		"late_requests", counts.Late, "cut", counts.Cut, "admission", stages.Admission, "target", stages.Target, "backoff", stages.Backoff,
		"local", stages.Delivery-int(n.forwarding.Load()), "other_node", n.forwarding.Load(),
		"slot_waiting", deliver.Waiting(), "upstream_running", deliver.Running())
}
