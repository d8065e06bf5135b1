package bldeliver

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// slowWorkPercent is the reported duration of work, in percent of the usual one, from
	// which an upstream counts as slow.
	slowWorkPercent = 150
	// slowPeriod is how long other workloads on a host slow its upstream down at a time.
	// A report says nothing about the time after it.
	slowPeriod = 400 * time.Millisecond
	// minSlowSamples is the number of latencies measured while the upstream reported to be
	// slow before its reports count.
	minSlowSamples = 4
	// maxSlowdown bounds the measured effect of a slow period.
	maxSlowdown = 4.0
	// ratioDivisor is the inverse of the weight of a new sample in the averages.
	ratioDivisor = 8
)

// WorkPace is the immutable view of how fast an upstream works at the moment. Its reports
// say when it is slow; how much slower it then is comes from the measured latencies, so that
// false reports change nothing. The zero value knows of no report.
type WorkPace struct {
	// slowSince is when the upstream began to report that it is slow, or zero while it
	// doesn't, and reportedAt is when it last reported.
	slowSince  bltimer.Instant
	reportedAt bltimer.Instant
	// usualRatio and slowRatio average the measured latencies, as fractions of the average
	// of their class, of requests whose response reported the usual pace and a slow one.
	usualRatio float64
	slowRatio  float64
	// slowSamples counts the latencies in slowRatio.
	slowSamples int
}

// WithReport returns the pace after a response that carried a report.
func (w WorkPace) WithReport(report blvalue.UpstreamReport, now bltimer.Instant) WorkPace {
	if !report.Known() {
		return w
	}
	switch {
	case report.WorkPercent < slowWorkPercent:
		w.slowSince = 0
	case w.slowSince == 0 || now.Sub(w.reportedAt) >= slowPeriod:
		w.slowSince = now
	}
	w.reportedAt = now
	return w
}

// WithLatency returns the pace after a complete response. The average is that of the
// request's class before it.
func (w WorkPace) WithLatency(report blvalue.UpstreamReport, latency, average time.Duration) WorkPace {
	if !report.Known() || average <= 0 {
		return w
	}
	ratio := min(latency.Seconds()/average.Seconds(), maxSlowdown)
	if report.WorkPercent < slowWorkPercent {
		w.usualRatio = movingRatio(w.usualRatio, ratio)
		return w
	}
	w.slowRatio = movingRatio(w.slowRatio, ratio)
	w.slowSamples = min(w.slowSamples+1, minSlowSamples)
	return w
}

func movingRatio(average, sample float64) float64 {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/ratioDivisor
}

// slowdown returns how much longer than on average work takes in a slow period, at least
// one.
func (w WorkPace) slowdown() float64 {
	if w.slowSamples < minSlowSamples || w.slowRatio <= w.usualRatio {
		return 1
	}
	return min(max(w.slowRatio, 1), maxSlowdown)
}

// slowLeft returns how much of the present slow period is left at a time.
func (w WorkPace) slowLeft(at bltimer.Instant) time.Duration {
	if w.slowSince == 0 {
		return 0
	}
	return max(w.slowSince.Add(slowPeriod).Sub(at), 0)
}

// Stretched returns how long work takes that begins at a time and takes usual on average.
func (w WorkPace) Stretched(usual time.Duration, at bltimer.Instant) time.Duration {
	left, slowdown := w.slowLeft(at), w.slowdown()
	if left == 0 || slowdown == 1 {
		return usual
	}
	stretched := time.Duration(slowdown * float64(usual))
	if stretched <= left {
		return stretched
	}
	return left + usual - time.Duration(float64(left)/slowdown)
}
