// Package blvalue defines the immutable value types that the slices share.
package blvalue

import "slices"

// HostName names a host that runs one process of the system.
type HostName string

// DomainName names a failure domain.
type DomainName string

// ServiceName names a service, such as pot or wishlist.
type ServiceName string

// UpstreamName names one server instance of a service.
type UpstreamName string

// UpstreamID identifies an upstream to itself: it carries out calls that name its ID,
// and rejects those that name another. It may keep the ID when it restarts.
type UpstreamID string

// AccountName names a client account.
type AccountName string

// Incarnation identifies one run of a process and changes with every restart.
// A node draws its own at random when it starts.
type Incarnation string

// Host describes one process of the system and the address at which it is
// reachable.
type Host struct {
	Name        HostName
	Incarnation Incarnation
	Domain      DomainName
	// Address is the IP address and port at which other nodes reach the process.
	Address string
	// Capacity is the CPU time that the host provides to the node, in percent of
	// a core, or zero if it is unknown.
	Capacity int
}

// IsZero reports whether the host is unset, that is, has no incarnation.
func (h Host) IsZero() bool {
	return h.Incarnation == ""
}

// Upstream is one server instance of a service, as announced by its node.
type Upstream struct {
	Name        UpstreamName
	Incarnation Incarnation
	// ID is the server's own ID, or empty where calls to it name none. Only the node
	// beside the server knows it.
	ID      UpstreamID
	Service ServiceName
	// Version is the version of the server's software, or empty if it names none.
	Version string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// ChecksFence reports whether the server rejects orders with an outdated
	// fence.
	ChecksFence bool
	// KeepsGrants reports whether the server stores its grants itself, regardless
	// of which run of the node renews them.
	KeepsGrants bool
	// Cold reports whether the server declares itself in cold start, during which
	// it can handle only little load.
	Cold bool
	// StartedAt is the start time of the run, in milliseconds since the Unix epoch
	// by the server's own clock, or zero if the server does not report it. Of two
	// runs beside one node, the one that started later has replaced the other.
	StartedAt int64
	// Leaving reports whether the server is draining and accepts no new work.
	Leaving bool
}

// HasIncarnation reports whether one of the upstreams has the given incarnation.
func HasIncarnation(upstreams []Upstream, incarnation Incarnation) bool {
	return slices.ContainsFunc(upstreams, func(u Upstream) bool { return u.Incarnation == incarnation })
}

// WithLeaving returns a copy of the upstream with Leaving set to leaving.
func (u Upstream) WithLeaving(leaving bool) Upstream {
	u.Leaving = leaving
	return u
}
