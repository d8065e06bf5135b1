package bldeliver

import (
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Gate is the immutable state of one upstream's slots.
type Gate struct {
	announcement blmember.Announcement
	limiter      Limiter
	running      int
	queue        []Acquire
	// busy counts the requests of each account that run.
	busy bltable.Table[blvalue.AccountName, int]
}

// Limit returns how many requests may run at the upstream at once.
func (g Gate) Limit() int {
	if g.announcement.Cold {
		return g.limiter.floor
	}
	return g.limiter.Limit()
}

// Running returns how many requests run at the upstream.
func (g Gate) Running() int { return g.running }

// Waiting returns how many requests wait for a slot.
func (g Gate) Waiting() int { return len(g.queue) }

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

// next returns the position in the queue of the request that goes first:
// urgent ones before others, then those of the account that has the fewest
// running, then the one whose caller waits the shortest. It is -1 when the
// queue is empty or no slot is free.
func (g Gate) next() int {
	if g.running >= g.Limit() {
		return -1
	}
	best := -1
	for i := range g.queue {
		if best < 0 || g.before(g.queue[i], g.queue[best]) {
			best = i
		}
	}
	return best
}

func (g Gate) before(a, b Acquire) bool {
	if a.Priority != b.Priority {
		return a.Priority == blconfig.PriorityUrgent
	}
	busyA, _ := g.busy.Get(a.Account)
	busyB, _ := g.busy.Get(b.Account)
	if busyA != busyB {
		return busyA < busyB
	}
	return a.Deadline.Before(b.Deadline)
}

func (g Gate) without(position int) Gate {
	queue := make([]Acquire, 0, len(g.queue)-1)
	queue = append(queue, g.queue[:position]...)
	g.queue = append(queue, g.queue[position+1:]...)
	return g
}

// withoutExpired returns the gate without the requests whose callers have
// stopped waiting, and those requests.
func (g Gate) withoutExpired(now bltimer.Instant) (Gate, []Acquire) {
	var expired, kept []Acquire
	for _, a := range g.queue {
		if now.Before(a.Deadline) {
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
