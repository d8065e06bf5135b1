package bldeliver

import (
	"time"

	"bergamotlead/core/blbackoff"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// UpstreamState is the immutable state of one upstream: its concurrency limit,
// the requests that run and the queue of those that wait for a slot.
type UpstreamState struct {
	announcement blmember.Announcement
	limiter      Limiter
	pace         WorkPace
	pacer        Pacer
	running      int
	queue        []Acquire
	// uploads counts the running requests by the state of their bodies.
	uploads [uploadStates]int
	// runningByAccount counts the running requests of each account.
	runningByAccount bltable.Table[blvalue.AccountName, int]
	// classLatencies holds the moving average latency of each request class.
	classLatencies bltable.Table[string, time.Duration]
	// offeredLoad measures the work that arrives for the upstream.
	offeredLoad OfferedLoad
	// returns plans when refused requests come back.
	returns blbackoff.Schedule
	// closesAt is when this node stops sending requests to a leaving upstream, or
	// zero for never.
	closesAt bltimer.Instant
}

// Limit returns the number of requests that may run at the upstream concurrently.
// An upstream that announces a cold start is held to the cold-start limit, unless
// a cold-start rate limits it.
func (u UpstreamState) Limit() int {
	if u.announcement.Cold && !u.pacer.enabled() {
		return u.limiter.minLimit
	}
	return u.limiter.Limit()
}

// Incarnation returns the identity of the upstream's current process.
func (u UpstreamState) Incarnation() blvalue.Incarnation { return u.announcement.Upstream.Incarnation }

// Running returns the number of requests that run at the upstream.
func (u UpstreamState) Running() int { return u.running }

// Free returns the number of free slots.
func (u UpstreamState) Free() int { return max(u.Limit()-u.running, 0) }

// Waiting returns the number of requests that wait for a slot.
func (u UpstreamState) Waiting() int { return len(u.queue) }

// Load returns the upstream's current load.
func (u UpstreamState) Load() blvalue.Load {
	return blvalue.Load{Running: u.running, Waiting: len(u.queue), Limit: u.Limit(), ServiceTime: u.limiter.AverageLatency()}
}

// classLatency returns the average latency of the class, or that of all classes
// if no request of the class has been answered yet.
func (u UpstreamState) classLatency(class string) time.Duration {
	if average, ok := u.classLatencies.Get(class); ok {
		return average
	}
	return u.limiter.AverageLatency()
}

// maxClasses bounds the number of classes whose average latency is tracked.
const maxClasses = 256

func (u UpstreamState) withClassLatency(class string, latency time.Duration) UpstreamState {
	average, ok := u.classLatencies.Get(class)
	if !ok && u.classLatencies.Len() >= maxClasses {
		return u
	}
	if !ok {
		average = latency
	}
	u.classLatencies = u.classLatencies.With(class, average+(latency-average)/averageDivisor)
	return u
}

// cold reports whether the upstream is in cold start at now.
func (u UpstreamState) cold(now bltimer.Instant) bool {
	return u.announcement.Cold && (u.announcement.ColdUntil == 0 || now.Before(u.announcement.ColdUntil))
}

// closed reports whether the upstream is leaving and gets no more requests.
func (u UpstreamState) closed(now bltimer.Instant) bool {
	return u.closesAt != 0 && !now.Before(u.closesAt)
}

// withAnnouncement returns the upstream with a new announcement. An upstream
// that restarted, or that announces a cold start, is treated as cold.
func (u UpstreamState) withAnnouncement(a blmember.Announcement) UpstreamState {
	restarted := a.Upstream.Incarnation != u.announcement.Upstream.Incarnation
	if restarted || a.Cold && !u.announcement.Cold {
		u.limiter = u.limiter.WithColdStart()
	}
	if restarted {
		u.pace = WorkPace{}
	}
	u.announcement = a
	return u
}

// withLeaving returns the upstream marked as leaving or staying. A leaving
// upstream closes only after a delay, counted from the first call with leaving
// set, so that its keys can move to other owners. A delay of zero never closes it.
func (u UpstreamState) withLeaving(leaving bool, delay time.Duration, now bltimer.Instant) UpstreamState {
	switch {
	case !leaving || delay == 0:
		u.closesAt = 0
	case u.closesAt == 0:
		u.closesAt = now.Add(delay)
	}
	return u
}

func (u UpstreamState) withRunning(account blvalue.AccountName, delta int) UpstreamState {
	u.running += delta
	u.uploads[uploadArriving] += delta
	count, _ := u.runningByAccount.Get(account)
	if count+delta <= 0 {
		u.runningByAccount = u.runningByAccount.Without(account)
		return u
	}
	u.runningByAccount = u.runningByAccount.With(account, count+delta)
	return u
}

// next returns the queue position of the request to admit next, or -1 if the
// queue is empty, no slot is free or the cold-start rate is used up.
func (u UpstreamState) next(now bltimer.Instant) int {
	if u.running >= u.Limit() || len(u.queue) == 0 {
		return -1
	}
	if u.cold(now) && !u.pacer.allows(now) {
		return -1
	}
	best := 0
	for i := range u.queue {
		if u.goesBefore(u.queue[i], u.queue[best], now) {
			best = i
		}
	}
	return best
}

// goesBefore orders waiting requests: first those that can still meet their
// latency goal, then by lower rank, then by account with the fewest running
// requests, then by earliest deadline.
func (u UpstreamState) goesBefore(a, b Acquire, now bltimer.Instant) bool {
	if meetsA, meetsB := u.meetsGoal(a, now), u.meetsGoal(b, now); meetsA != meetsB {
		return meetsA
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	runningA, _ := u.runningByAccount.Get(a.Account)
	runningB, _ := u.runningByAccount.Get(b.Account)
	if runningA != runningB {
		return runningA < runningB
	}
	return a.Deadline.Before(b.Deadline)
}

// meetsGoal reports whether the request would meet its latency goal if it started
// at now. A request without a goal always does.
func (u UpstreamState) meetsGoal(a Acquire, now bltimer.Instant) bool {
	return a.Goal == 0 || !a.Goal.Before(now.Add(u.pace.Stretched(u.classLatency(a.Class), now)))
}

func (u UpstreamState) without(position int) UpstreamState {
	queue := make([]Acquire, 0, len(u.queue)-1)
	queue = append(queue, u.queue[:position]...)
	u.queue = append(queue, u.queue[position+1:]...)
	return u
}

// withoutExpired returns the upstream without the queued requests that can no
// longer be answered before their deadline, and those requests.
func (u UpstreamState) withoutExpired(now bltimer.Instant) (UpstreamState, []Acquire) {
	return u.withoutQueued(func(_ int, a Acquire) bool {
		return !now.Before(a.Deadline.Add(-u.minLatency(a)))
	})
}

// withoutQueued returns the upstream without the queued requests that match, and those
// requests.
func (u UpstreamState) withoutQueued(match func(position int, a Acquire) bool) (UpstreamState, []Acquire) {
	var matched, remaining []Acquire
	for i, a := range u.queue {
		if match(i, a) {
			matched = append(matched, a)
			continue
		}
		remaining = append(remaining, a)
	}
	if len(matched) > 0 {
		u.queue = remaining
	}
	return u, matched
}
