package blconfig

import (
	"time"

	"bergamotlead/core/blvalue"
)

// Priority is the priority class of requests that wait for a slot.
type Priority string

// The priority classes.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
)

// Rank returns the rank of the class. Lower ranks go first.
func (p Priority) Rank() int {
	if p == PriorityUrgent {
		return 0
	}
	return 1
}

// AnyPath matches every path of a service.
const AnyPath = "*"

// Route defines how matching requests are handled. It matches by service, method
// and path, or by authority and path prefix.
type Route struct {
	Name    string
	Service blvalue.ServiceName
	Method  string
	// Path is the part of the URL path after the key, or AnyPath.
	Path       string
	Idempotent bool
	Open       bool
	// Rank orders requests that wait for a slot. Lower ranks go first.
	Rank int
	// Host and Prefix match the request's authority and the beginning of its
	// path. They are set in routes that match by authority.
	Host   string
	Prefix string
	// WeightedServices share the route's requests by weight. Service is set if
	// there is only one.
	WeightedServices []WeightedService
	// Timeout is the maximum time to handle a request, or zero to use the
	// caller's timeout.
	Timeout time.Duration
	// Goal is the latency goal: the time within which an answer is most useful,
	// or zero for none.
	Goal time.Duration
	// MaxAttempts is the maximum number of upstreams to which a request may be
	// sent, or zero if the route sets none.
	MaxAttempts int
}

// WithRank returns the route with the given rank.
func (r Route) WithRank(rank int) Route {
	r.Rank = rank
	return r
}

// WeightedService is a service that receives a weighted share of a route's
// requests.
type WeightedService struct {
	Service blvalue.ServiceName
	Weight  int
}

// Choose returns the service for the request with the given sequence number.
// Consecutive numbers are distributed over the services by weight.
func (r Route) Choose(number uint64) blvalue.ServiceName {
	total := 0
	for _, weighted := range r.WeightedServices {
		total += max(weighted.Weight, 0)
	}
	if total == 0 {
		return r.Service
	}
	offset := int(number * weightStride % uint64(total))
	for _, weighted := range r.WeightedServices {
		offset -= max(weighted.Weight, 0)
		if offset < 0 {
			return weighted.Service
		}
	}
	return r.Service
}

// weightStride is a prime that spreads consecutive sequence numbers over the
// weights of a route.
const weightStride = 7919

func newRoute(d Document, name string) Route {
	return Route{
		Name:       name,
		Service:    blvalue.ServiceName(d.value(SectionRoutes, name, "service").Text),
		Method:     d.value(SectionRoutes, name, "method").Text,
		Path:       d.value(SectionRoutes, name, "path").Text,
		Idempotent: d.value(SectionRoutes, name, "idempotent").Boolean,
		Open:       d.value(SectionRoutes, name, "open").Boolean,
		Rank:       Priority(d.value(SectionRoutes, name, "priority").Text).Rank(),
	}
}
