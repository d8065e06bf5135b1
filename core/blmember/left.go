package blmember

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// maxLeft bounds the number of IDs whose runs are known to have left.
	maxLeft = 64
	// leftMemory is how long a run that has left stays so. One that still announces
	// itself as ready after that did not leave: an earlier run under its ID did.
	leftMemory = time.Minute
)

// leftRuns are the runs under one ID that have left: those that started no later than
// startedAt, in milliseconds since the Unix epoch.
type leftRuns struct {
	startedAt int64
	// at is when the report arrived.
	at bltimer.Instant
}

// upstreamLeft marks an upstream as leaving: announcements that it sent before and that
// arrive later can't undo that.
func (s State) upstreamLeft(m Left, now bltimer.Instant) (State, []Effect) {
	for name, known := range s.upstreams.All() {
		if known.Upstream.ID != m.ID {
			continue
		}
		s = s.withLeft(m.ID, leftRuns{startedAt: known.Upstream.StartedAt, at: now})
		known.Upstream = known.Upstream.WithLeaving(true)
		known.seenAt = now
		s.upstreams = s.upstreams.With(name, known)
		return s.upstreamsChanged(now)
	}
	return s.withLeft(m.ID, leftRuns{startedAt: m.AtMS, at: now}), nil
}

// withLeft returns the state in which the runs under an ID have left. Beyond maxLeft it
// forgets those that left first.
func (s State) withLeft(id blvalue.UpstreamID, runs leftRuns) State {
	before, _ := s.left.Get(id)
	runs.startedAt = max(runs.startedAt, before.startedAt)
	s.left = s.left.With(id, runs)
	if s.left.Len() <= maxLeft {
		return s
	}
	oldest, oldestAt := id, runs.at
	for other, known := range s.left.All() {
		if known.at.Before(oldestAt) {
			oldest, oldestAt = other, known.at
		}
	}
	s.left = s.left.Without(oldest)
	return s
}

// lists reports whether the run of an upstream is among the local upstreams.
func (s State) lists(upstream blvalue.Upstream) bool {
	known, ok := s.upstreams.Get(upstream.Name)
	return ok && known.Upstream.Incarnation == upstream.Incarnation
}

// hasLeft reports whether the run of an upstream has left.
func (s State) hasLeft(upstream blvalue.Upstream, now bltimer.Instant) bool {
	runs, ok := s.left.Get(upstream.ID)
	return ok && upstream.StartedAt <= runs.startedAt && now.Sub(runs.at) <= leftMemory
}
