package bldeliver

import (
	"time"

	"bergamotlead/core/blmember"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Gate is the immutable state of one upstream's slots.
type Gate struct {
	announcement blmember.Announcement
	limiter      Limiter
	pacer        Pacer
	running      int
	queue        []Acquire
	// busy counts the requests of each account that run.
	busy bltable.Table[blvalue.AccountName, int]
	// paces holds how long requests of each class take, as a moving average.
	paces bltable.Table[string, time.Duration]
	// offered is the work that comes here.
	offered Offered
	// closesAt is when a leaving upstream gets no more work, or zero.
	closesAt bltimer.Instant
}

// Limit returns how many requests may run at the upstream at once.
func (g Gate) Limit() int {
	if g.announcement.Cold && !g.pacer.paces() {
		return g.limiter.floor
	}
	return g.limiter.Limit()
}

// Incarnation returns the run of the upstream.
func (g Gate) Incarnation() blvalue.Incarnation { return g.announcement.Upstream.Incarnation }

// Running returns how many requests run at the upstream.
func (g Gate) Running() int { return g.running }

// Waiting returns how many requests wait for a slot.
func (g Gate) Waiting() int { return len(g.queue) }

// Load returns the upstream's work at the moment.
func (g Gate) Load() blvalue.Load {
	return blvalue.Load{Running: g.running, Waiting: len(g.queue), Limit: g.Limit(), Service: g.limiter.Pace()}
}

// classPace returns how long a request of the class takes, or the average over
// all classes while none of it has been answered.
func (g Gate) classPace(class string) time.Duration {
	if pace, ok := g.paces.Get(class); ok {
		return pace
	}
	return g.limiter.Pace()
}

// mostClasses bounds the classes whose pace is kept.
const mostClasses = 256

func (g Gate) withPace(class string, latency time.Duration) Gate {
	pace, ok := g.paces.Get(class)
	if !ok && g.paces.Len() >= mostClasses {
		return g
	}
	if !ok {
		pace = latency
	}
	g.paces = g.paces.With(class, pace+(latency-pace)/paceWeight)
	return g
}

// cold reports whether the upstream is in cold start at now.
func (g Gate) cold(now bltimer.Instant) bool {
	return g.announcement.Cold && (g.announcement.ColdUntil == 0 || now.Before(g.announcement.ColdUntil))
}

// closed reports whether the upstream has left.
func (g Gate) closed(now bltimer.Instant) bool {
	return g.closesAt != 0 && !now.Before(g.closesAt)
}

// withAnnouncement returns the gate after the upstream spoke. A new run of the
// upstream, or one that says so, is in cold start.
func (g Gate) withAnnouncement(a blmember.Announcement) Gate {
	restarted := a.Upstream.Incarnation != g.announcement.Upstream.Incarnation
	if restarted || a.Cold && !g.announcement.Cold {
		g.limiter = g.limiter.WithColdStart()
	}
	g.announcement = a
	return g
}

// withLeaving returns the gate of an upstream that leaves or stays. It closes
// a while after the first word of it, so that its keys can find other owners.
func (g Gate) withLeaving(leaves bool, after time.Duration, now bltimer.Instant) Gate {
	switch {
	case !leaves || after == 0:
		g.closesAt = 0
	case g.closesAt == 0:
		g.closesAt = now.Add(after)
	}
	return g
}

func (g Gate) withBusy(account blvalue.AccountName, change int) Gate {
	g.running += change
	count, _ := g.busy.Get(account)
	if count+change <= 0 {
		g.busy = g.busy.Without(account)
		return g
	}
	g.busy = g.busy.With(account, count+change)
	return g
}

// next returns the position in the queue of the request that goes first, or -1
// when the queue is empty, no slot is free or the upstream bears no more.
func (g Gate) next(now bltimer.Instant) int {
	if g.running >= g.Limit() || len(g.queue) == 0 {
		return -1
	}
	if g.cold(now) && !g.pacer.allows(now) {
		return -1
	}
	best := 0
	for i := range g.queue {
		if g.before(g.queue[i], g.queue[best], now) {
			best = i
		}
	}
	return best
}

// before orders requests that wait: those that can still be answered in time
// to be most useful, then lower ranks, then those of the account that has the
// fewest running, then the one whose caller waits the shortest.
func (g Gate) before(a, b Acquire, now bltimer.Instant) bool {
	if usefulA, usefulB := g.useful(a, now), g.useful(b, now); usefulA != usefulB {
		return usefulA
	}
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	busyA, _ := g.busy.Get(a.Account)
	busyB, _ := g.busy.Get(b.Account)
	if busyA != busyB {
		return busyA < busyB
	}
	return a.Deadline.Before(b.Deadline)
}

// useful reports whether an answer would come in time if the request started
// at now.
func (g Gate) useful(a Acquire, now bltimer.Instant) bool {
	return a.Goal == 0 || !a.Goal.Before(now.Add(g.classPace(a.Class)))
}

func (g Gate) without(position int) Gate {
	queue := make([]Acquire, 0, len(g.queue)-1)
	queue = append(queue, g.queue[:position]...)
	g.queue = append(queue, g.queue[position+1:]...)
	return g
}

// withoutExpired returns the gate without the requests that can no longer be
// answered before their callers stop waiting, and those requests.
func (g Gate) withoutExpired(now bltimer.Instant) (Gate, []Acquire) {
	var expired, kept []Acquire
	for _, a := range g.queue {
		if now.Before(a.Deadline.Add(-g.leastTime(a))) {
			kept = append(kept, a)
			continue
		}
		expired = append(expired, a)
	}
	if len(expired) > 0 {
		g.queue = kept
	}
	return g, expired
}
