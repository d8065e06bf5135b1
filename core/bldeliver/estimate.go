package bldeliver

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// minLatencyDivisor sets the minimum latency of a request to half of the
	// average latency of its class. A request with less time left is not expected
	// to be answered before its deadline.
	minLatencyDivisor = 2
	// lateWaitDivisor limits the wait of a request that will miss its latency goal
	// to a quarter of the time left to its deadline.
	lateWaitDivisor = 4
	// minRetryAfter is the minimum retry delay suggested to a refused caller.
	minRetryAfter = 50 * time.Millisecond
	// returnDivisor gives the part of the time left to its deadline, one in three, for
	// which a refused caller waits before it comes back.
	returnDivisor = 3
)

// withReturn returns the upstream with the return of a refused request, and how long
// its caller should wait: until there is room, after the others refused before.
func (u UpstreamState) withReturn(a Acquire, room time.Duration, now bltimer.Instant) (UpstreamState, time.Duration) {
	spacing := u.classLatency(a.Class) / time.Duration(max(u.Limit(), 1))
	horizon := a.Deadline.Sub(now) / returnDivisor
	var wait time.Duration
	u.returns, wait = u.returns.WithReturn(now.Add(max(room, minRetryAfter)), spacing, horizon, now)
	return u, wait
}

// minLatency returns the minimum time in which the request can be expected to be
// answered, or zero if it has no latency goal.
func (u UpstreamState) minLatency(a Acquire) time.Duration {
	if a.Goal == 0 {
		return 0
	}
	return u.classLatency(a.Class) / minLatencyDivisor
}

// estimatedWait returns how long a request would wait for a slot: until the
// requests ahead of it in the queue, and more urgent ones that arrive in the
// meantime, have been answered.
func (u UpstreamState) estimatedWait(a Acquire, now bltimer.Instant) time.Duration {
	load := u.Load()
	load.Waiting = 0
	// Uploads that stall give up their slots to those that wait.
	load.Running -= u.uploads[uploadStalled] + u.uploads[uploadEnded]
	for _, other := range u.queue {
		if !u.goesBefore(a, other, now) {
			load.Waiting++
		}
	}
	wait := time.Duration(float64(load.QueueDelay()) / (1 - u.offeredLoad.UrgentShare(a.Rank, load.Limit)))
	wait = u.pace.Stretched(wait, now)
	if u.cold(now) && u.pacer.enabled() {
		perRequest := time.Duration(float64(time.Second) / u.pacer.perSecond)
		wait = max(wait, perRequest*time.Duration(load.Waiting+1))
	}
	return wait
}

// tooLate reports whether a request with the given estimated wait should be
// refused immediately: it can't be answered before its deadline, or it would miss
// its latency goal after waiting for too much of the time left.
func (u UpstreamState) tooLate(a Acquire, wait time.Duration, now bltimer.Instant) bool {
	if a.Goal == 0 || wait == 0 {
		return false
	}
	start := now.Add(wait)
	if !start.Add(u.minLatency(a)).Before(a.Deadline) {
		return true
	}
	return !u.meetsGoal(a, start) && wait > a.Deadline.Sub(now)/lateWaitDivisor
}

// withoutTooLate returns the upstream without the queued requests that later
// arrivals have delayed until they are too late, and those requests.
func (u UpstreamState) withoutTooLate(now bltimer.Instant) (UpstreamState, []Acquire) {
	return u.withoutQueued(func(position int, a Acquire) bool {
		others := u.without(position)
		return others.tooLate(a, others.estimatedWait(a, now), now)
	})
}
