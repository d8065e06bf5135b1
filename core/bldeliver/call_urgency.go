package bldeliver

import (
	"math"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/blvalue"
)

// Urgencies is the immutable rank of the most urgent callers' route of each service. The
// zero value knows of no route.
type Urgencies struct {
	ranks bltable.Table[blvalue.ServiceName, int]
}

// unknownUrgency is the urgency of a service to which no callers' route leads.
const unknownUrgency = math.MaxInt

// NewUrgencies returns the urgencies by the routes, without those whose requests are calls.
func NewUrgencies(routes []blconfig.Route, calls CallClasses) Urgencies {
	var u Urgencies
	for _, route := range routes {
		if calls.Contains(route.Name) {
			continue
		}
		if len(route.WeightedServices) == 0 {
			u = u.withRoute(route.Service, route.Rank)
		}
		for _, weighted := range route.WeightedServices {
			u = u.withRoute(weighted.Service, route.Rank)
		}
	}
	return u
}

func (u Urgencies) withRoute(service blvalue.ServiceName, rank int) Urgencies {
	u.ranks = u.ranks.With(service, min(u.Of(service), rank))
	return u
}

// Of returns the rank of the most urgent callers' route of the service.
func (u Urgencies) Of(service blvalue.ServiceName) int {
	if rank, ok := u.ranks.Get(service); ok {
		return rank
	}
	return unknownUrgency
}

// CallsFirst reports whether the calls that origin makes go before the callers' requests
// of service. They are as urgent as the requests that make them, and must not displace
// more urgent ones. Where no callers' route leads to origin, its requests are calls as well.
func (u Urgencies) CallsFirst(origin, service blvalue.ServiceName) bool {
	parents := u.Of(origin)
	return parents == unknownUrgency || parents <= u.Of(service)
}
