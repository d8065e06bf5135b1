package blnode

import (
	"context"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
)

// configReadTimeout bounds the time to read or fetch a whole configuration. One of
// a megabyte takes a second at 10 Mbit/s.
const configReadTimeout = 10 * time.Second

// reloadJob requests a read of the configuration currently in the store.
type reloadJob struct {
	// revision is the revision that another node has reported. The job is void if it
	// has been read meanwhile. Zero stands for any.
	revision uint64
}

// configReloader rereads the configuration in case a watch has missed a change.
type configReloader struct {
	source ConfigSource
	outage *outageLog
	// inForce returns the configuration by which the node handles requests.
	inForce  func() blconfig.Accepted
	onConfig func(blconfig.Accepted)
	// onRead is called after each attempt with whether the source answered.
	onRead func(bool)
	// onMissed is called with a configuration that no watch has brought.
	onMissed  func(blconfig.Accepted)
	countCall func(kind string)
}

func (r configReloader) perform(job reloadJob) {
	if job.revision != 0 && r.inForce().Revision >= job.revision {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
	defer cancel()
	r.countCall("get")
	startedAt := time.Now()
	accepted, err := r.source.Load(ctx)
	r.onRead(err == nil)
	r.outage.record(err, "revision", accepted.Revision, "bytes", len(accepted.Source), "elapsed_ms", time.Since(startedAt).Milliseconds())
	if err != nil {
		return
	}
	if accepted.Revision == 0 {
		return
	}
	if !accepted.SameAs(r.inForce()) {
		r.onMissed(accepted)
	}
	r.onConfig(accepted)
}

// fetchJob requests the configuration of another node.
type fetchJob struct {
	from blvalue.Host
	// known returns the configuration that this node has. It is called when the job
	// is performed, since another job may have brought a later one.
	known func() blconfig.Accepted
}

// configFetcher fetches configurations from other nodes.
type configFetcher struct {
	client   *blgrpc.Client
	onConfig func(blconfig.Accepted)
	outage   *outageLog
}

func (f configFetcher) perform(job fetchJob) {
	ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
	defer cancel()
	startedAt := time.Now()
	accepted, err := f.client.FetchConfig(ctx, job.from.Address, job.known())
	f.outage.record(err, "from", string(job.from.Name), "elapsed_ms", time.Since(startedAt).Milliseconds())
	if err == nil && accepted.Revision > 0 {
		f.onConfig(accepted)
	}
}

// reloadDue reports whether this node is to reread the configuration, which it then
// does: as lead in each period, and without a lead the more rarely the more nodes
// share the store.
func (n *Node) reloadDue() bool {
	if !n.platform.AllNodesReadConfig {
		return false
	}
	if n.isLead() {
		return true
	}
	if !n.leadUnavailable() {
		return false
	}
	now := n.clock.Now()
	if now.Sub(n.reloadedAt) < reloadInterval(n.duties.member.View().NodeCount()) {
		return false
	}
	n.reloadedAt = now
	return true
}

const (
	// reloadIntervalPerNode is the interval at which a node without a lead rereads the
	// configuration, for each node of the fleet.
	reloadIntervalPerNode = 10 * time.Millisecond
	maxReloadInterval     = 2 * time.Second
)

// reloadInterval returns the interval at which a node without a lead rereads the
// configuration in a fleet of the given size.
func reloadInterval(nodes int) time.Duration {
	return min(time.Duration(nodes)*reloadIntervalPerNode, maxReloadInterval)
}
