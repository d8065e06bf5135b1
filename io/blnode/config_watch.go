package blnode

import (
	"context"
	"sync"
	"time"

	"bergamotlead/core/blconfig"
)

// watchJob requests the next configuration after a revision.
type watchJob struct {
	revision uint64
	// digest is that of the configuration that the latest answer contained.
	digest uint64
	// failures counts consecutive attempts that the source did not answer, or answered
	// at once without anything new.
	failures int
}

// after returns the job that follows an answer which took elapsed.
func (j watchJob) after(accepted blconfig.Accepted, elapsed time.Duration) watchJob {
	nothingNew := accepted.Revision == 0 || accepted.Digest == j.digest
	if nothingNew && elapsed < minWatchBackoff {
		j.failures++
	} else {
		j.failures = 0
	}
	if accepted.Revision > 0 {
		j.digest = accepted.Digest
	}
	j.revision = max(j.revision, accepted.Revision)
	return j
}

const (
	watchTimeout = time.Minute
	// minWatchBackoff and maxWatchBackoff bound the delay after a failed attempt, or one
	// that brought nothing sooner than minWatchBackoff.
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
	startedAt := time.Now()
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
	if accepted.Revision > 0 {
		w.onConfig(accepted)
	}
	job = job.after(accepted, time.Since(startedAt))
	if job.failures > 0 {
		time.Sleep(job.backoff())
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
