package blrollout

import "bergamotlead/core/blvalue"

// Counts are the results of some requests.
type Counts struct {
	Answered uint64
	Failed   uint64
	Latency  [blvalue.LatencyBuckets]uint64
}

// Plus returns the sums of both counts.
func (c Counts) Plus(other Counts) Counts {
	c.Answered += other.Answered
	c.Failed += other.Failed
	for i := range c.Latency {
		c.Latency[i] += other.Latency[i]
	}
	return c
}

func (c Counts) isZero() bool {
	return c == Counts{}
}

// ended returns the number of requests with a known end. Requests whose answer was lost
// may count as failed without being answered.
func (c Counts) ended() uint64 {
	return max(c.Answered, c.Failed)
}

// timed returns the number of answers in the latency histogram.
func (c Counts) timed() uint64 {
	return c.slowerThan(-1)
}

// slowerThan returns the number of answers in buckets above the given one.
func (c Counts) slowerThan(bucket int) uint64 {
	sum := uint64(0)
	for i := bucket + 1; i < len(c.Latency); i++ {
		sum += c.Latency[i]
	}
	return sum
}

// countsSince returns what a class has counted since an earlier report of the same pair
// of incarnations.
func countsSince(class blvalue.ClassResults, before blvalue.UpstreamResults) Counts {
	counts := Counts{Answered: class.Answered, Failed: class.Failed, Latency: class.Latency}
	for _, earlier := range before.Classes {
		if earlier.Class != class.Class {
			continue
		}
		counts.Answered = difference(counts.Answered, earlier.Answered)
		counts.Failed = difference(counts.Failed, earlier.Failed)
		for i := range counts.Latency {
			counts.Latency[i] = difference(counts.Latency[i], earlier.Latency[i])
		}
	}
	return counts
}

// difference returns a-b, or zero if b is larger.
func difference(a, b uint64) uint64 {
	return a - min(a, b)
}
