package blnode

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltimer"
)

// TestWatchBacksOff guards against a watch that retries at a constant rate during
// an outage of the store, or whose delay grows so long that it resumes too late
// after the outage.
func TestWatchBacksOff(t *testing.T) {
	cases := []struct {
		failures int
		want     time.Duration
	}{
		{1, 200 * time.Millisecond}, {2, 400 * time.Millisecond}, {3, 800 * time.Millisecond},
		{4, 1600 * time.Millisecond}, {40, 1600 * time.Millisecond},
	}
	for _, c := range cases {
		if got := (watchJob{failures: c.failures}).backoff(); got != c.want {
			t.Errorf("backoff after %d failures: got %v, want %v", c.failures, got, c.want)
		}
	}
}

// scriptedSource is a configuration source whose watch waits until it is cancelled.
type scriptedSource struct {
	ConfigSource

	loaded blconfig.Accepted
	// watched receives the revision from which each watch starts.
	watched chan uint64
}

func (s scriptedSource) Load(context.Context) (blconfig.Accepted, error) { return s.loaded, nil }

func (s scriptedSource) Watch(ctx context.Context, revision uint64) (blconfig.Accepted, error) {
	s.watched <- revision
	<-ctx.Done()
	return blconfig.Accepted{}, ctx.Err()
}

// TestMissedChangeRestartsWatch guards against a watch on a connection that has gone
// silent: it hears no later change either, until it times out.
func TestMissedChangeRestartsWatch(t *testing.T) {
	later := blconfig.NewAcceptedPlan(9, blconfig.Plan{}, "later")
	source := scriptedSource{loaded: later, watched: make(chan uint64, 1)}
	outage := newOutageLog(hclog.NewNullLogger(), bltimer.NewSystem(), "lost", "regained")
	current := &currentWatch{}
	requeued := make(chan watchJob, 1)
	watcher := configWatcher{
		source: source, outage: outage, current: current, enabled: func() bool { return true }, onConfig: func(blconfig.Accepted) {},
		onRead:  func(succeeded bool) { t.Errorf("read: got %t, want no result of the cancelled watch", succeeded) },
		requeue: func(job watchJob) { requeued <- job }, countCall: func(string) {},
	}
	go watcher.perform(watchJob{revision: 5})
	if got := <-source.watched; got != 5 {
		t.Fatalf("watch: got from %d, want 5", got)
	}
	inForce := blconfig.NewAcceptedPlan(5, blconfig.Plan{}, "earlier")
	reloader := configReloader{
		source: source, outage: outage, inForce: func() blconfig.Accepted { return inForce }, onConfig: func(blconfig.Accepted) {},
		onRead: func(bool) {}, onMissed: current.restart, countCall: func(string) {},
	}
	reloader.perform(reloadJob{revision: 5})
	select {
	case job := <-requeued:
		t.Fatalf("watch after nothing new: got a restart at %d, want none", job.revision)
	case <-time.After(50 * time.Millisecond):
	}
	reloader.perform(reloadJob{revision: 9})
	if got, want := <-requeued, (watchJob{revision: 9}); got != want {
		t.Errorf("watch after a missed change: got %+v, want %+v", got, want)
	}
}

// repeatingSource is a configuration source whose watch answers at once with the same
// configuration, as one does whose store has dropped the history again each time.
type repeatingSource struct {
	ConfigSource

	accepted blconfig.Accepted
	watches  *atomic.Int64
}

func (s repeatingSource) Watch(context.Context, uint64) (blconfig.Accepted, error) {
	s.watches.Add(1)
	return s.accepted, nil
}

// TestWatchThatBringsNothingBacksOff guards against a watch that asks the store again
// without delay, as long as each answer comes at once and brings nothing.
func TestWatchThatBringsNothingBacksOff(t *testing.T) {
	for _, accepted := range []blconfig.Accepted{{}, blconfig.NewAcceptedPlan(5, blconfig.Plan{}, "same")} {
		var watches atomic.Int64
		jobs := make(chan watchJob, 1)
		watcher := configWatcher{
			source: repeatingSource{accepted: accepted, watches: &watches}, current: &currentWatch{}, enabled: func() bool { return true },
			outage:   newOutageLog(hclog.NewNullLogger(), bltimer.NewSystem(), "lost", "regained"),
			onConfig: func(blconfig.Accepted) {}, onRead: func(bool) {}, countCall: func(string) {},
			requeue: func(job watchJob) { jobs <- job },
		}
		job, stopAt := watchJob{revision: 4}, time.Now().Add(3*minWatchBackoff)
		for time.Now().Before(stopAt) {
			watcher.perform(job)
			job = <-jobs
		}
		if got, most := watches.Load(), int64(4); got > most {
			t.Errorf("watches of revision %d in %s: got %d, want at most %d", accepted.Revision, 3*minWatchBackoff, got, most)
		}
	}
}
