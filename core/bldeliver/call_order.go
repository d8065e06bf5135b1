package bldeliver

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// callRank is the rank of calls, below that of any route.
	callRank = -1
	// callerShare is the share of the slots that stays for callers' requests that wait
	// while calls alone would fill all slots. It is the floor below which no kind of
	// request may be served.
	callerShare = 0.25
	// callBurst is how long calls may fill all slots before the share of callers'
	// requests applies. It equals the deadline of most calls.
	callBurst = 500 * time.Millisecond
)

// asCall returns the request as a call: it goes before callers' requests, whatever the
// rank of its route.
func (a Acquire) asCall() Acquire {
	a.call, a.Rank = true, callRank
	return a
}

// withWorkAdmitted returns the upstream after a request was admitted. It keeps account of
// the work of calls that callers' requests waited for.
func (u UpstreamState) withWorkAdmitted(a Acquire) UpstreamState {
	if a.call {
		u.runningCalls++
	}
	work := u.classLatency(a.Class).Seconds()
	bound := callerShare * callBurst.Seconds() * float64(u.Limit())
	switch {
	case !a.call:
		u.callerDebt -= (1 - callerShare) * work
	case u.waitingCallers() > 0:
		u.callerDebt += callerShare * work
	}
	u.callerDebt = min(max(u.callerDebt, -bound), bound)
	return u
}

// withWorkEnded returns the upstream after a request returned its slot.
func (u UpstreamState) withWorkEnded(r inFlightRequest) UpstreamState {
	if r.call {
		u.runningCalls--
	}
	return u
}

// keptForCalls reports whether the free slots are kept for calls: as many as their work
// fills. Without them, calls that arrive wait for the end of longer callers' requests.
func (u UpstreamState) keptForCalls(now bltimer.Instant) bool {
	if !u.offeredLoad.Current(now) {
		return false
	}
	limit := u.Limit()
	kept := int(min(u.offeredLoad.UrgentShare(callRank+1, limit), 1-callerShare) * float64(limit))
	return kept > 0 && u.running-u.runningCalls >= limit-kept
}

func (u UpstreamState) waitingCallers() int {
	count := 0
	for _, a := range u.queue {
		if !a.call {
			count++
		}
	}
	return count
}

// callersFirst reports whether the next slot belongs to a caller's request, since calls
// have used more than their share.
func (u UpstreamState) callersFirst() bool { return u.callerDebt > 0 }

// callBefore reports whether a goes before b because only one of them is a call, and
// whether that decides their order.
func callBefore(a, b Acquire, callersFirst bool) (before, decided bool) {
	return a.call != callersFirst, a.call != b.call
}

// callWait returns how long a call would wait for a slot: until the calls ahead of it
// have been answered. Callers' requests that wait take their share of the slots.
func (u UpstreamState) callWait(a Acquire, now bltimer.Instant) time.Duration {
	if u.running < u.Limit() && len(u.queue) == 0 {
		return 0
	}
	ahead := u.limiter.AverageLatency()
	callers := false
	for _, other := range u.queue {
		switch {
		case !other.call:
			callers = true
		case !u.goesBefore(a, other, now):
			ahead += u.classLatency(other.Class)
		}
	}
	wait := float64(ahead) / float64(max(u.Limit(), 1))
	if callers {
		wait /= 1 - callerShare
	}
	return time.Duration(wait)
}

// reservedWait returns how long a caller's request would wait if calls took all slots but
// the share of callers' requests.
func (u UpstreamState) reservedWait(a Acquire, now bltimer.Instant) time.Duration {
	work := u.limiter.AverageLatency()
	for _, other := range u.queue {
		if !other.call && !u.goesBefore(a, other, now) {
			work += u.classLatency(other.Class)
		}
	}
	return time.Duration(float64(work) / (callerShare * float64(max(u.Limit(), 1))))
}

// lastCaller returns the queue position of the caller's request that would be admitted
// last, or -1 if only calls wait.
func (u UpstreamState) lastCaller(now bltimer.Instant) int {
	last := -1
	for i, a := range u.queue {
		if !a.call && (last < 0 || !u.goesBefore(a, u.queue[last], now)) {
			last = i
		}
	}
	return last
}

// full reports whether the queue has no room for the request. A call takes the place of a
// caller's request.
func (s State) full(upstream UpstreamState, m Acquire) bool {
	if len(upstream.queue) < s.config.Plan.Limits.QueueLength {
		return false
	}
	return !m.call || upstream.waitingCallers() == 0
}

// withRoom returns the upstream with room in its queue for a request, and the refusal of
// the caller's request whose place a call takes.
func (s State) withRoom(upstream UpstreamState, m Acquire, now bltimer.Instant) (UpstreamState, []Effect) {
	if !m.call || len(upstream.queue) < s.config.Plan.Limits.QueueLength {
		return upstream, nil
	}
	position := upstream.lastCaller(now)
	if position < 0 {
		return upstream, nil
	}
	dropped := upstream.queue[position]
	wait := upstream.estimatedWait(dropped, now)
	upstream = upstream.without(position)
	refusal := refuse(dropped, blvalue.ReasonOverload, "a call of an upstream takes the place in the queue").at(LimitCalls)
	upstream, refusal.Answer.RetryAfter = upstream.withReturn(dropped, wait, now)
	refusal.Answer.Load = upstream.Load(now)
	return upstream, []Effect{refusal}
}
