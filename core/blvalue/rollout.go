package blvalue

import (
	"math/bits"
	"slices"
	"time"
)

// LatencyBuckets is the number of buckets of a latency histogram. Bucket i counts the
// answers that took less than 2^i milliseconds and no less than the bucket before it;
// the last one counts all longer answers.
const LatencyBuckets = 14

// UpstreamResults are the results of the requests that one run of a node sent to one run
// of an upstream since the node learned of the latest roll-out order of its service. All
// counts are cumulative.
type UpstreamResults struct {
	Upstream    UpstreamName
	Incarnation Incarnation
	Service     ServiceName
	Version     string
	// Order is the revision of the roll-out order.
	Order uint64
	// OrderAge is how long ago the node learned of the order.
	OrderAge time.Duration
	// Sent counts the requests sent, those without an answer included.
	Sent uint64
	// Running is the number of requests sent that have not ended.
	Running int
	Classes []ClassResults
}

// ClassResults are the results of the requests of one class.
type ClassResults struct {
	Class string
	// Answered counts the complete answers, and Failed those of them with a status of
	// 500 or above and the requests whose answer was lost or broken.
	Answered uint64
	Failed   uint64
	// Latency counts the answers by how long they took, without those of a cold start.
	Latency [LatencyBuckets]uint64
}

// LatencyBucket returns the bucket of a latency histogram that counts the latency.
func LatencyBucket(latency time.Duration) int {
	return min(bits.Len64(uint64(max(latency.Milliseconds(), 0))), LatencyBuckets-1)
}

// WithSent returns the results after one more request was sent.
func (r UpstreamResults) WithSent() UpstreamResults {
	r.Sent++
	return r
}

// WithClass returns the results with those of one class changed. It adds the class if
// it is new and there are fewer than maxClasses.
func (r UpstreamResults) WithClass(class string, maxClasses int, change func(ClassResults) ClassResults) UpstreamResults {
	position := slices.IndexFunc(r.Classes, func(c ClassResults) bool { return c.Class == class })
	if position < 0 && len(r.Classes) >= maxClasses {
		return r
	}
	r.Classes = slices.Clone(r.Classes)
	if position < 0 {
		position = len(r.Classes)
		r.Classes = append(r.Classes, ClassResults{Class: class})
	}
	r.Classes[position] = change(r.Classes[position])
	return r
}

// SameCounts reports whether both results count the same. The age of the order doesn't
// matter.
func (r UpstreamResults) SameCounts(other UpstreamResults) bool {
	return r.Upstream == other.Upstream && r.Incarnation == other.Incarnation && r.Order == other.Order &&
		r.Sent == other.Sent && r.Running == other.Running && slices.Equal(r.Classes, other.Classes)
}

// WithAnswer returns the results after a complete answer.
func (c ClassResults) WithAnswer(failed bool) ClassResults {
	c.Answered++
	if failed {
		c.Failed++
	}
	return c
}

// WithLost returns the results after an answer was lost or broken.
func (c ClassResults) WithLost() ClassResults {
	c.Failed++
	return c
}

// WithLatency returns the results with an answer that took the given time.
func (c ClassResults) WithLatency(latency time.Duration) ClassResults {
	c.Latency[LatencyBucket(latency)]++
	return c
}

// Allowance is what the node beside an upstream may send it while the upstream's version
// is unproven.
type Allowance struct {
	Incarnation Incarnation
	// Node is the run of the node to which the allowance is given, since another run
	// counts from zero. The lead passes the allowance to no other run. It is empty at
	// the node.
	Node Incarnation
	// Order is the revision of the roll-out order.
	Order uint64
	// Unlimited is set once the version has passed.
	Unlimited bool
	// Requests is the number of requests that the node may send in total, counted as
	// UpstreamResults.Sent.
	Requests uint64
	// TTL is how long the allowance lasts, counted from when the node sent the
	// heartbeat that it answers. An unlimited one doesn't end.
	TTL time.Duration
}
