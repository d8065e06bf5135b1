package blconfig

import (
	"time"

	"bergamotlead/core/blvalue"
)

// RolloutOrder is an operator's request to move the traffic of a service to the upstreams
// of a version.
type RolloutOrder struct {
	Service blvalue.ServiceName
	// Target is the version that is to get the traffic.
	Target string
	// Duration is the time in which the roll-out has to end.
	Duration time.Duration
	// Revision is the store's revision of the order.
	Revision uint64
}

// RolloutOf returns the roll-out order in force for a service, if there is one.
func (p Plan) RolloutOf(service blvalue.ServiceName) (RolloutOrder, bool) {
	order, ok := p.Rollouts[service]
	return order, ok && p.Exposure.Share > 0
}

// Exposure limits the requests that the upstreams of an unproven version get, over all
// nodes.
type Exposure struct {
	// Share is the fraction of a service's requests between the order and its deadline.
	// Zero disables roll-outs.
	Share float64
	// Reserve is a number of requests in addition to Share.
	Reserve int64
	// RollbackTime is how long after a number of bad answers requests may still reach the
	// version.
	RollbackTime time.Duration
}
