package blnode

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blsettings"
	"bergamotlead/io/blstore"
)

// documentSource is the configuration document in the store.
type documentSource struct {
	store blplatform.Store
}

// Load implements ConfigSource.
func (d documentSource) Load(ctx context.Context) (blconfig.Accepted, error) {
	entry, err := d.store.Get(ctx, blstore.Config)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("load configuration: %w", err)
	}
	return readConfig(entry)
}

// Watch implements ConfigSource.
func (d documentSource) Watch(ctx context.Context, revision uint64) (blconfig.Accepted, error) {
	entry, err := d.store.Watch(ctx, blstore.Config, revision)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("watch configuration: %w", err)
	}
	return readConfig(entry)
}

// Decode implements ConfigSource.
func (documentSource) Decode(revision uint64, source []byte) (blconfig.Accepted, error) {
	document, err := blsettings.ParseDocument(source)
	if err != nil {
		return blconfig.Accepted{}, fmt.Errorf("decode configuration: %w", err)
	}
	return blconfig.NewAccepted(revision, document, string(source)), nil
}

// readConfig reads the configuration in entry. One that is absent has revision
// zero.
func readConfig(entry blplatform.Entry) (blconfig.Accepted, error) {
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
	return blconfig.NewAccepted(entry.Revision, document, stored.Document).WithGrantBound(stored.GrantBound()), nil
}

// reloadJob asks for the configuration that the store holds now.
type reloadJob struct{}

// configReload reads the configuration when a watch may have missed it.
type configReload struct {
	source ConfigSource
	logger hclog.Logger
	config func(blconfig.Accepted)
	fresh  func(bool)
	count  func(kind string)
}

func (r configReload) perform(reloadJob) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	r.count("get")
	accepted, err := r.source.Load(ctx)
	r.fresh(err == nil)
	if err != nil {
		r.logger.Debug("configuration not read", "error", err)
		return
	}
	if accepted.Revision > 0 {
		r.config(accepted)
	}
}

// watchJob asks for the next configuration after a revision.
type watchJob struct {
	revision uint64
	// failures counts the attempts in a row that the source did not answer.
	failures int
}

const (
	watchTimeout = time.Minute
	// shortestPause and longestPause bound the time between attempts that fail.
	// A node that can't read configurations gets them from the lead meanwhile.
	shortestPause = 200 * time.Millisecond
	longestPause  = 1600 * time.Millisecond
)

// pause returns how long to wait after so many attempts that failed: twice as
// long after each.
func (j watchJob) pause() time.Duration {
	pause := shortestPause
	for range j.failures - 1 {
		pause = min(2*pause, longestPause)
	}
	return pause
}

// configWatch waits for configurations, on the lead's behalf or on the node's
// own.
type configWatch struct {
	source ConfigSource
	logger hclog.Logger
	config func(blconfig.Accepted)
	// wanted tells whether this process is to watch.
	wanted func() bool
	// fresh hears whether the source answers.
	fresh func(bool)
	again func(watchJob)
	count func(kind string)
	// failing keeps an outage from being logged at each attempt.
	failing *atomic.Bool
}

// perform waits for one change and asks to be run again while that is wanted.
func (w configWatch) perform(job watchJob) {
	if !w.wanted() {
		return
	}
	w.count("watch")
	ctx, cancel := context.WithTimeout(context.Background(), watchTimeout)
	defer cancel()
	accepted, err := w.next(ctx, job)
	w.fresh(err == nil)
	if err != nil {
		if !w.failing.Swap(true) {
			w.logger.Warn("configuration not watched", "revision", job.revision, "error", err)
		}
		job.failures++
		time.Sleep(job.pause())
		w.again(job)
		return
	}
	job.failures = 0
	if w.failing.Swap(false) {
		w.logger.Info("configuration watched again", "revision", accepted.Revision)
	}
	job.revision = max(job.revision, accepted.Revision)
	if accepted.Revision > 0 {
		w.config(accepted)
	}
	w.again(job)
}

func (w configWatch) next(ctx context.Context, job watchJob) (blconfig.Accepted, error) {
	if job.revision == 0 {
		accepted, err := w.source.Load(ctx)
		if err != nil || accepted.Revision > 0 {
			return accepted, err //nolint:wrapcheck // the source has said what failed
		}
	}
	return w.source.Watch(ctx, job.revision) //nolint:wrapcheck // the source has said what failed
}
