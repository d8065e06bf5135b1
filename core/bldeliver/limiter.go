// Package bldeliver is a node's duty of delivery: it keeps the slots of the
// upstreams beside it, protects them in cold start and under load, and decides
// which request goes next.
package bldeliver

import "time"

// Limiter bounds the requests at one upstream. It starts at the cold-start
// limit, rises as answers come in time, and falls when the upstream sheds or
// turns slow. It is immutable.
type Limiter struct {
	floor    int
	ceiling  int
	expected time.Duration
	// limit is in thousandths of a request.
	limit int
	// pace is the moving average of the time to answer.
	pace time.Duration
}

const (
	thousand = 1000
	// inTimeFactor is how many times the expected service time an answer may
	// take and still count as in time.
	inTimeFactor = 2
	// coldHalves is how many halves of the expected service time the average
	// may reach before the upstream is taken for cold.
	coldHalves = 5
	// paceWeight is the share of a new answer in the average: one in eight.
	paceWeight = 8
	// shedKeep is what is left of the limit after shedding, in percent.
	shedKeep = 70
	percent  = 100
)

// NewLimiter returns the limiter of an upstream in cold start. The expected
// service time tells answers in time from slow ones. Where it is unknown, the
// limit is all slots, and neither a cold start nor a shed request lowers it.
func NewLimiter(coldStartLimit, slots int, expected time.Duration) Limiter {
	floor := max(coldStartLimit, 1)
	if expected == 0 {
		return Limiter{floor: floor, ceiling: max(slots, floor), limit: max(slots, floor) * thousand}
	}
	return Limiter{floor: floor, ceiling: max(slots, floor), expected: expected, limit: floor * thousand}
}

// Limit returns how many requests may be at the upstream at once.
func (l Limiter) Limit() int {
	return l.limit / thousand
}

// WithBounds returns the limiter under changed settings.
func (l Limiter) WithBounds(coldStartLimit, slots int, expected time.Duration) Limiter {
	fresh := NewLimiter(coldStartLimit, slots, expected)
	fresh.limit = min(max(l.limit, fresh.floor*thousand), fresh.ceiling*thousand)
	fresh.pace = l.pace
	return fresh
}

// WithColdStart returns the limiter of an upstream that has turned cold.
func (l Limiter) WithColdStart() Limiter {
	if l.expected > 0 {
		l.limit = l.floor * thousand
	}
	l.pace = 0
	return l
}

// WithShed returns the limiter after the upstream shed a request. Where the
// expected service time is unknown, the upstream's own slots are the limit, and
// what it sheds below them it sheds for another reason.
func (l Limiter) WithShed() Limiter {
	if l.expected == 0 {
		return l
	}
	l.limit = max(l.limit*shedKeep/percent, thousand)
	return l
}

// WithAnswer returns the limiter after an answer. Each round of answers in
// time raises the limit by one; a slow one holds it; a slow average means that
// the upstream has turned cold unasked.
func (l Limiter) WithAnswer(latency time.Duration) Limiter {
	if l.pace == 0 {
		l.pace = latency
		if l.expected > 0 {
			l.pace = min(latency, l.expected)
		}
	}
	l.pace += (latency - l.pace) / paceWeight
	if l.expected == 0 {
		return l.withRound()
	}
	if 2*l.pace > coldHalves*l.expected {
		return l.WithColdStart()
	}
	if latency > inTimeFactor*l.expected {
		return l
	}
	return l.withRound()
}

// withRound raises the limit by one in a round of answers.
func (l Limiter) withRound() Limiter {
	l.limit = min(l.limit+thousand*thousand/max(l.limit, thousand), l.ceiling*thousand)
	return l
}

// Pace returns the moving average of the time to answer, or zero.
func (l Limiter) Pace() time.Duration {
	return l.pace
}
