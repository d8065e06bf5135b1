package bldeliver

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// leastPart is the part of the usual time to answer below which an answer
	// before the deadline is not to be expected.
	leastPart = 2
	// latePart is the part of the time left for which a request may wait that
	// can't be answered while that is most useful.
	latePart = 4
	// shortestRetry is the least time after which a refused caller should come
	// back.
	shortestRetry = 50 * time.Millisecond
)

// leastTime returns the time that an answer takes at the least.
func (g Gate) leastTime(a Acquire) time.Duration {
	if a.Goal == 0 {
		return 0
	}
	return g.classPace(a.Class) / leastPart
}

// wait returns how long a request would wait for a slot: until those that go
// before it have been answered, and the more urgent ones that come meanwhile.
func (g Gate) wait(a Acquire, now bltimer.Instant) time.Duration {
	load := g.Load()
	load.Waiting = 0
	for _, other := range g.queue {
		if !g.before(a, other, now) {
			load.Waiting++
		}
	}
	wait := time.Duration(float64(load.Wait()) / (1 - g.offered.Share(a.Rank, load.Limit)))
	if g.cold(now) && g.pacer.paces() {
		perRequest := time.Duration(float64(time.Second) / g.pacer.perSecond)
		wait = max(wait, perRequest*time.Duration(load.Waiting+1))
	}
	return wait
}

// hopeless reports whether a request that has to wait so long is better refused
// at once.
func (g Gate) hopeless(a Acquire, wait time.Duration, now bltimer.Instant) bool {
	if a.Goal == 0 || wait == 0 {
		return false
	}
	start := now.Add(wait)
	if !start.Add(g.leastTime(a)).Before(a.Deadline) {
		return true
	}
	return !g.useful(a, start) && wait > a.Deadline.Sub(now)/latePart
}

// withoutHopeless returns the gate without the requests that later ones have
// pushed back too far, and those requests.
func (g Gate) withoutHopeless(now bltimer.Instant) (Gate, []Acquire) {
	var kept, hopeless []Acquire
	for i, a := range g.queue {
		if others := g.without(i); others.hopeless(a, others.wait(a, now), now) {
			hopeless = append(hopeless, a)
			continue
		}
		kept = append(kept, a)
	}
	if len(hopeless) > 0 {
		g.queue = kept
	}
	return g, hopeless
}
