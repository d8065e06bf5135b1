// Package blvalue holds the immutable values that slices exchange.
package blvalue

import "slices"

// HostName names a machine that runs one process of the system.
type HostName string

// DomainName names a failure domain.
type DomainName string

// ServiceName names a service, such as pot or wishlist.
type ServiceName string

// UpstreamName names one server of a service.
type UpstreamName string

// AccountName names a client account.
type AccountName string

// Incarnation is the random identity that a process draws when it starts.
type Incarnation string

// Host is one process of the system and where it is reached.
type Host struct {
	Name        HostName
	Incarnation Incarnation
	Domain      DomainName
	// Address is the IP address and port at which other nodes reach it.
	Address string
	// Capacity is the processor time that the host gives the node, in percent of
	// a core, or zero where it is unknown.
	Capacity int
}

// IsZero reports whether the host is unset.
func (h Host) IsZero() bool {
	return h.Incarnation == ""
}

// Upstream is one server of a service, as its node announces it.
type Upstream struct {
	Name        UpstreamName
	Incarnation Incarnation
	Service     ServiceName
	// Slots is the number of requests that the server works on at once.
	Slots int
	// ChecksFence tells whether the server refuses orders with an old fence.
	ChecksFence bool
	// KeepsGrants tells that the server keeps its grants itself, whichever run
	// of the node renews them.
	KeepsGrants bool
	// Cold tells that the server says it is in cold start, in which it bears
	// little.
	Cold bool
	// Born is when the run started, in milliseconds since the Unix epoch by the
	// server's own clock, or zero where it doesn't say. Of two runs beside one
	// node the one that was born later has replaced the other.
	Born int64
	// Leaving tells that the server takes no new work.
	Leaving bool
}

// HasIncarnation reports whether one of the upstreams is the given run.
func HasIncarnation(upstreams []Upstream, incarnation Incarnation) bool {
	return slices.ContainsFunc(upstreams, func(u Upstream) bool { return u.Incarnation == incarnation })
}

// WithLeaving returns the upstream with its leaving state set.
func (u Upstream) WithLeaving(leaving bool) Upstream {
	u.Leaving = leaving
	return u
}
