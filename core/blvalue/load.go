package blvalue

import "time"

// Load is what the node beside an upstream knows of its work.
type Load struct {
	// Running and Waiting count the requests at the upstream and before it.
	Running int
	Waiting int
	// Limit is the number of requests that may run at once. A load without one
	// says nothing.
	Limit int
	// Service is how long a request takes there at the moment.
	Service time.Duration
}

// Known reports whether the load says anything.
func (l Load) Known() bool {
	return l.Limit > 0
}

// Wait returns how long another request would wait for its turn.
func (l Load) Wait() time.Duration {
	ahead := l.Running + l.Waiting + 1 - l.Limit
	if ahead <= 0 || l.Limit <= 0 {
		return 0
	}
	return l.Service * time.Duration(ahead) / time.Duration(l.Limit)
}
