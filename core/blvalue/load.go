package blvalue

import "time"

// Load is the load of an upstream as observed by the node beside it.
type Load struct {
	// Running is the number of requests that the upstream processes, and Waiting
	// the number queued in front of it.
	Running int
	Waiting int
	// Limit is the number of requests that may run concurrently. A load whose
	// limit is zero is unknown.
	Limit int
	// ServiceTime is the current mean service time of a request at the upstream.
	ServiceTime time.Duration
}

// UpstreamReport is what an upstream says of its load in a response. It may be late or
// wrong. The zero value means that the upstream reports nothing.
type UpstreamReport struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes on the upstream's host at the moment, in percent
	// of the usual time.
	WorkPercent int
}

// Known reports whether the upstream reported its load.
func (r UpstreamReport) Known() bool {
	return r.WorkPercent > 0
}

// Known reports whether the load was observed, that is, has a limit.
func (l Load) Known() bool {
	return l.Limit > 0
}

// QueueDelay estimates the time that one more request would spend in the queue.
func (l Load) QueueDelay() time.Duration {
	ahead := l.Running + l.Waiting + 1 - l.Limit
	if ahead <= 0 || l.Limit <= 0 {
		return 0
	}
	return l.ServiceTime * time.Duration(ahead) / time.Duration(l.Limit)
}
