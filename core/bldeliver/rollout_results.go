package bldeliver

import (
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// withSent returns the roll-outs after a request was sent to the upstream, and the
// revision at which the counts began that the request belongs to, or zero if none do.
func (r Rollouts) withSent(upstream blvalue.Upstream) (Rollouts, uint64) {
	order, ok := r.orders.Get(upstream.Service)
	if !ok {
		return r, 0
	}
	r.results = r.results.With(upstream.Incarnation, r.resultsOf(upstream).WithSent())
	return r, order.first
}

func (r Rollouts) resultsOf(upstream blvalue.Upstream) blvalue.UpstreamResults {
	if results, ok := r.results.Get(upstream.Incarnation); ok {
		return results
	}
	return blvalue.UpstreamResults{
		Upstream: upstream.Name, Incarnation: upstream.Incarnation, Service: upstream.Service, Version: upstream.Version,
	}
}

// withResult returns the roll-outs after a request ended. Cold is set if the upstream was
// in cold start at some time during the request.
func (r Rollouts) withResult(request inFlightRequest, m Release, cold bool) Rollouts {
	results, ok := r.results.Get(request.incarnation)
	if !ok || request.order == 0 {
		return r
	}
	if order, _ := r.orders.Get(results.Service); order.first != request.order {
		return r
	}
	change := func(c blvalue.ClassResults) blvalue.ClassResults { return c.WithLost() }
	switch {
	case m.Result == ResultAnswered:
		change = func(c blvalue.ClassResults) blvalue.ClassResults {
			c = c.WithAnswer(m.ServerError)
			if cold {
				return c
			}
			return c.WithLatency(m.Latency)
		}
	case !m.Lost:
		return r
	}
	r.results = r.results.With(request.incarnation, results.WithClass(request.class, maxClasses, change))
	return r
}

// Results returns the results of the requests that this node sent to its upstreams whose
// services have a roll-out order. Upstreams that were sent none are listed as well.
func (s State) Results(now bltimer.Instant) []blvalue.UpstreamResults {
	if s.rollouts.orders.Len() == 0 {
		return nil
	}
	r := s.rollouts
	for _, upstream := range s.upstreams.All() {
		run := upstream.announcement.Upstream
		if _, ok := r.orders.Get(run.Service); ok {
			r.results = r.results.With(run.Incarnation, r.resultsOf(run))
		}
	}
	running := map[blvalue.Incarnation]int{}
	for _, request := range s.inFlight.All() {
		running[request.incarnation]++
	}
	list := make([]blvalue.UpstreamResults, 0, r.results.Len())
	for incarnation, results := range r.results.All() {
		order, _ := r.orders.Get(results.Service)
		results.Order, results.OrderAge = order.Revision, now.Sub(order.learnedAt)
		results.Running = running[incarnation]
		list = append(list, results)
	}
	return list
}
