package blvalue

import "time"

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

// Allowance is what the node beside an upstream may send it while the upstream's version
// is unproven.
type Allowance struct {
	Incarnation Incarnation
	// Node is the run of the node that the allowance is for. Another run has counted
	// nothing of what was sent before and must not get it.
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
