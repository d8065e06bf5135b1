package blnode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
)

// documentSource reads the configuration document from the store.
type documentSource struct {
	store blplatform.Store
}

// Load implements ConfigSource.
func (d documentSource) Load(ctx context.Context) (blconfig.Accepted, error) {
	entry, err := d.store.Get(ctx, blstore.ConfigKey)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("load configuration: %w", err)
	}
	return decodeConfig(entry)
}

// Watch implements ConfigSource.
func (d documentSource) Watch(ctx context.Context, revision uint64) (blconfig.Accepted, error) {
	entry, err := d.store.Watch(ctx, blstore.ConfigKey, revision)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("watch configuration: %w", err)
	}
	return decodeConfig(entry)
}

// Decode implements ConfigSource.
func (documentSource) Decode(revision uint64, source []byte) (blconfig.Accepted, error) {
	document, err := blsettings.ParseDocument(source)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("decode configuration: %w", err)
	}
	return blconfig.NewAccepted(revision, document, string(source)), nil
}

// decodeConfig decodes the configuration in entry. If the entry doesn't exist,
// the revision is zero.
func decodeConfig(entry blplatform.Entry) (blconfig.Accepted, error) {
	if !entry.Exists() {
		return blconfig.Accepted{}, nil
	}
	stored, err := blstore.DecodeConfig(entry)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("read configuration: %w", err)
	}
	document, err := blsettings.ParseDocument([]byte(stored.Document))
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("read configuration: %w", err)
	}
	return blconfig.NewAccepted(entry.Revision, document, stored.Document).WithMaxGrantTTL(stored.MaxGrantTTL()), nil
}

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

// watchJob requests the next configuration after a revision.
type watchJob struct {
	revision uint64
	// failures counts consecutive attempts that the source did not answer.
	failures int
}

const (
	watchTimeout = time.Minute
	// minWatchBackoff and maxWatchBackoff bound the delay after a failed attempt.
	// A node that can't read configurations gets them from the lead meanwhile.
	minWatchBackoff = 200 * time.Millisecond
	maxWatchBackoff = 1600 * time.Millisecond
)

// backoff returns the delay before the next attempt. It doubles with each
// consecutive failure up to maxWatchBackoff.
func (j watchJob) backoff() time.Duration {
	delay := minWatchBackoff
	for range j.failures - 1 {
		delay = min(2*delay, maxWatchBackoff)
	}
	return delay
}

// configWatcher watches the configuration on behalf of the lead or of the node
// itself.
type configWatcher struct {
	source   ConfigSource
	outage   *outageLog
	onConfig func(blconfig.Accepted)
	// enabled reports whether this process is to watch the configuration.
	enabled func() bool
	// onRead is called after each attempt with whether the source answered.
	onRead    func(bool)
	requeue   func(watchJob)
	countCall func(kind string)
	current   *currentWatch
}

// currentWatch is the watch that waits for its answer.
type currentWatch struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	// restartAt is the revision at which the next watch is to start, or zero if this
	// one wasn't cancelled.
	restartAt uint64
}

// begin returns the context of a new watch.
func (c *currentWatch) begin(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, c.cancel = context.WithCancel(ctx)
	c.restartAt = 0
	return ctx
}

// end returns the revision at which the next watch is to start, if the watch was
// cancelled.
func (c *currentWatch) end() (uint64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	return c.restartAt, c.restartAt > 0
}

// restart cancels a watch that has missed a change, so that the next one starts at
// the revision which has been read meanwhile.
func (c *currentWatch) restart(accepted blconfig.Accepted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.restartAt = accepted.Revision
		c.cancel()
	}
}

// perform waits for one change and requeues the job as long as the watch is
// enabled.
func (w configWatcher) perform(job watchJob) {
	if !w.enabled() {
		return
	}
	w.countCall("watch")
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	accepted, err := w.next(w.current.begin(ctx), job)
	if revision, restarted := w.current.end(); restarted && err != nil {
		w.requeue(watchJob{revision: revision})
		return
	}
	w.onRead(err == nil)
	w.outage.record(err, "revision", max(job.revision, accepted.Revision), "bytes", len(accepted.Source))
	if err != nil {
		job.failures++
		time.Sleep(job.backoff())
		w.requeue(job)
		return
	}
	job.failures = 0
	job.revision = max(job.revision, accepted.Revision)
	if accepted.Revision > 0 {
		w.onConfig(accepted)
	}
	w.requeue(job)
}

func (w configWatcher) next(ctx context.Context, job watchJob) (blconfig.Accepted, error) {
	if job.revision == 0 {
		accepted, err := w.source.Load(ctx)
		if err != nil || accepted.Revision > 0 {
			return accepted, err //nolint:wrapcheck // the error of the source says what failed
		}
	}
	return w.source.Watch(ctx, job.revision) //nolint:wrapcheck // the error of the source says what failed
}
