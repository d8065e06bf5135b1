// Package bldeliver implements the delivery duty of a node. It limits the
// concurrency of the node's local upstreams, protects them in cold start and
// under overload, and decides which waiting request is admitted next.
package bldeliver

import "time"

// Limiter is the immutable adaptive concurrency limit of one upstream. The
// limit starts at the cold-start limit, increases while the upstream answers in
// time, and decreases when the upstream sheds requests or becomes slow.
type Limiter struct {
	minLimit    int
	maxLimit    int
	serviceTime time.Duration
	// limit is the current limit in units of 1/limitScale request.
	limit int
	// averageLatency is an exponentially weighted moving average, or zero before
	// the first answer.
	averageLatency time.Duration
}

const (
	limitScale = 1000
	// onTimeFactor is the multiple of the expected service time up to which an
	// answer counts as in time.
	onTimeFactor = 2
	// coldThresholdHalves is the average latency, in halves of the expected
	// service time, above which the upstream is treated as cold.
	coldThresholdHalves = 5
	// averageDivisor is the inverse of the weight of a new sample in a moving
	// average: each sample counts for one eighth.
	averageDivisor = 8
	// shedLimitPercent is the new limit after the upstream shed a request, in
	// percent of the previous limit.
	shedLimitPercent = 70
	percent          = 100
)

// NewLimiter returns the limiter of an upstream in cold start. The expected
// serviceTime separates answers in time from slow ones. If it is zero (unknown),
// the limit is all slots, and neither a cold start nor a shed request lowers it.
func NewLimiter(coldStartLimit, slots int, serviceTime time.Duration) Limiter {
	minLimit := max(coldStartLimit, 1)
	if serviceTime == 0 {
		return Limiter{minLimit: minLimit, maxLimit: max(slots, minLimit), limit: max(slots, minLimit) * limitScale}
	}
	return Limiter{minLimit: minLimit, maxLimit: max(slots, minLimit), serviceTime: serviceTime, limit: minLimit * limitScale}
}

// Limit returns the number of requests that may run at the upstream
// concurrently.
func (l Limiter) Limit() int {
	return l.limit / limitScale
}

// WithBounds returns the limiter with new settings. The current limit is kept
// within the new bounds, unless the expected service time is unknown, and the
// average latency is kept.
func (l Limiter) WithBounds(coldStartLimit, slots int, serviceTime time.Duration) Limiter {
	updated := NewLimiter(coldStartLimit, slots, serviceTime)
	updated.averageLatency = l.averageLatency
	if serviceTime == 0 {
		return updated
	}
	updated.limit = min(max(l.limit, updated.minLimit*limitScale), updated.maxLimit*limitScale)
	return updated
}

// WithColdStart returns the limiter reset for an upstream in cold start.
func (l Limiter) WithColdStart() Limiter {
	if l.serviceTime > 0 {
		l.limit = l.minLimit * limitScale
	}
	l.averageLatency = 0
	return l
}

// WithShed returns the limiter after the upstream shed a request. If the
// expected service time is unknown, the limit stays at the upstream's own slots,
// and a request that it sheds below them is shed for another reason.
func (l Limiter) WithShed() Limiter {
	if l.serviceTime == 0 {
		return l
	}
	l.limit = max(l.limit*shedLimitPercent/percent, limitScale)
	return l
}

// WithAnswer returns the limiter after an answer. Each round of answers in time
// raises the limit by one; a slow answer leaves it unchanged. A high average
// latency means that the upstream became cold without announcing it, and resets
// the limit.
func (l Limiter) WithAnswer(latency time.Duration) Limiter {
	if l.averageLatency == 0 {
		l.averageLatency = latency
		if l.serviceTime > 0 {
			l.averageLatency = min(latency, l.serviceTime)
		}
	}
	l.averageLatency += (latency - l.averageLatency) / averageDivisor
	if l.serviceTime == 0 {
		return l.withIncrease()
	}
	if 2*l.averageLatency > coldThresholdHalves*l.serviceTime {
		return l.WithColdStart()
	}
	if latency > onTimeFactor*l.serviceTime {
		return l
	}
	return l.withIncrease()
}

// withIncrease raises the limit by 1/limit for one answer, so that it grows by
// one in a round of as many answers as the limit.
func (l Limiter) withIncrease() Limiter {
	l.limit = min(l.limit+limitScale*limitScale/max(l.limit, limitScale), l.maxLimit*limitScale)
	return l
}

// AverageLatency returns the moving average of the time to answer, or zero.
func (l Limiter) AverageLatency() time.Duration {
	return l.averageLatency
}
