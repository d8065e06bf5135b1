package bldeliver

import (
	"math"
	"time"

	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// minCallRun is the minimum number of requests in a row from the hosts of one
	// service for which their class is considered.
	minCallRun = 32
	// callCheckInterval is the number of requests of a run after which its evidence is
	// evaluated again.
	callCheckInterval = 8
	// minCallSpan is the minimum time that a run covers. It keeps a burst of one client,
	// whose requests all enter at the same host, from looking like calls.
	minCallSpan = time.Second
	// maxChance is the maximum probability with which a run may start by chance at a given
	// request of a class whose requests enter at all hosts.
	maxChance = 1e-9
	// minOrigins is the minimum number of requests of other classes from which the
	// distribution of callers over the services is estimated.
	minOrigins = 64
	// originWindow is the number of requests of a class after which the older half of its
	// origins is forgotten.
	originWindow = 256
	// maxOrigins bounds the number of services counted for one class.
	maxOrigins = 32
	// shareErrors is the number of standard errors added to the estimated share of a
	// service.
	shareErrors = 3
)

// CallClasses is the immutable classifier of the classes of requests that upstreams make
// while they run a request. It sees the service of the host at which each request
// entered. Callers' requests enter at the hosts of all services, calls only at those of
// the service that makes them. The zero value has seen no request.
type CallClasses struct {
	classes bltable.Table[string, classOrigins]
}

// classOrigins holds the evidence about one class.
type classOrigins struct {
	// origin is the service of the latest request, run the number of latest requests that
	// all came from it, and since the time of the first of them.
	origin blvalue.ServiceName
	run    int
	since  bltimer.Instant
	// current and previous count the requests by service, in two windows.
	current, previous bltable.Table[blvalue.ServiceName, int]
	counted           int
	calls             bool
}

// CallsChanged reports that a class is recognised as calls, or no longer.
type CallsChanged struct {
	Class string
	// Calls is set if the class is now recognised.
	Calls bool
	// Origin is the service from which the latest request came, and Run the number of
	// latest requests that came from it.
	Origin blvalue.ServiceName
	Run    int
}

// Contains reports whether the class is recognised as calls.
func (c CallClasses) Contains(class string) bool {
	evidence, _ := c.classes.Get(class)
	return evidence.calls
}

// Recognised returns the classes recognised as calls, in order.
func (c CallClasses) Recognised() []string {
	var names []string
	for name, evidence := range c.classes.All() {
		if evidence.calls {
			names = append(names, name)
		}
	}
	return names
}

// WithRequest returns the classifier after a request of a class that entered at a host of
// origin, and the change of the class that follows, or nil.
func (c CallClasses) WithRequest(class string, origin blvalue.ServiceName, now bltimer.Instant) (CallClasses, *CallsChanged) {
	evidence, ok := c.classes.Get(class)
	if !ok && c.classes.Len() >= maxClasses {
		return c, nil
	}
	before := evidence.calls
	evidence = evidence.withOrigin(origin, now)
	switch {
	case evidence.run < minCallRun:
		evidence.calls = false
	case evidence.run%callCheckInterval == 0:
		evidence.calls = now.Sub(evidence.since) >= minCallSpan && c.ruledOut(class, evidence)
	}
	c.classes = c.classes.With(class, evidence)
	if evidence.calls == before {
		return c, nil
	}
	return c, &CallsChanged{Class: class, Calls: evidence.calls, Origin: origin, Run: evidence.run}
}

func (e classOrigins) withOrigin(origin blvalue.ServiceName, now bltimer.Instant) classOrigins {
	switch {
	case origin == "":
		e.run = 0
	case origin != e.origin || e.run == 0:
		e.run, e.since = 1, now
	default:
		e.run++
	}
	e.origin = origin
	if e.counted >= originWindow {
		e.previous, e.current, e.counted = e.current, bltable.Table[blvalue.ServiceName, int]{}, 0
	}
	count, ok := e.current.Get(origin)
	if ok || e.current.Len() < maxOrigins {
		e.current = e.current.With(origin, count+1)
	}
	e.counted++
	return e
}

// severalOrigins reports whether the requests of the class came from several services.
func (e classOrigins) severalOrigins() bool {
	if e.current.Len() > 1 || e.previous.Len() > 1 {
		return true
	}
	for origin := range e.current.All() {
		if _, same := e.previous.Get(origin); !same && e.previous.Len() > 0 {
			return true
		}
	}
	return false
}

// countOf returns the number of counted requests from origin, and that of all.
func (e classOrigins) countOf(origin blvalue.ServiceName) (from, all int) {
	for _, window := range []bltable.Table[blvalue.ServiceName, int]{e.current, e.previous} {
		for service, count := range window.All() {
			all += count
			if service == origin {
				from += count
			}
		}
	}
	return from, all
}

// ruledOut reports whether chance is ruled out as the cause of the run: whether a class
// whose requests are distributed over the services like those of the other classes has
// such a run with a probability of at most maxChance.
func (c CallClasses) ruledOut(class string, evidence classOrigins) bool {
	from, all := 0, 0
	for name, other := range c.classes.All() {
		if name == class || !other.severalOrigins() {
			continue
		}
		otherFrom, otherAll := other.countOf(evidence.origin)
		from, all = from+otherFrom, all+otherAll
	}
	if all < minOrigins {
		return false
	}
	return float64(evidence.run)*math.Log(upperShare(from, all)) <= math.Log(maxChance)
}

// upperShare returns an upper estimate of a share of which from in all were seen.
func upperShare(from, all int) float64 {
	share := float64(from+1) / float64(all+2)
	deviation := math.Sqrt(share * (1 - share) / float64(all))
	return min(share+shareErrors*deviation, 1)
}

// Calls returns the classifier of the classes of calls.
func (s State) Calls() CallClasses { return s.calls }

// arrive classifies a request before it is queued. In a deployment with client accounts,
// calls carry a rank of their own, and nothing is classified.
func (s State) arrive(m Acquire, now bltimer.Instant) (State, []Effect) {
	upstream, ok := s.upstreams.Get(m.Upstream)
	if !ok || upstream.announcement.Upstream.Service != m.Service || len(s.config.Plan.Accounts) > 0 {
		return s.acquire(m, now)
	}
	var change *CallsChanged
	s.calls, change = s.calls.WithRequest(m.Class, m.Origin, now)
	if s.calls.Contains(m.Class) {
		m = m.asCall()
	}
	s, effects := s.acquire(m, now)
	if change != nil {
		effects = append(effects, Effect{Calls: change})
	}
	return s, effects
}
