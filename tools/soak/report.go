package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bergamotlead/tools/blfleet"
)

const (
	maxLatency        = int64(time.Minute)
	significantDigits = 3
	second            = time.Second
	plotWidth         = 900
	plotHeight        = 260
	barHeight         = 6
	plotPercentile    = 99
)

// report records the answered requests, the other outcomes and the latency of
// each second of a run.
type report struct {
	mu        sync.Mutex
	startedAt time.Time
	all       *hdrhistogram.Histogram
	seconds   []*secondReport
}

type secondReport struct {
	answered int
	other    int
	latency  *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(time.Microsecond), maxLatency, significantDigits)
}

func newReport() *report {
	return &report{all: newHistogram()}
}

// observe records one request of the traffic.
func (r *report) observe(outcome string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startedAt.IsZero() {
		r.startedAt = time.Now()
	}
	index := int(time.Since(r.startedAt) / second)
	for len(r.seconds) <= index {
		r.seconds = append(r.seconds, &secondReport{latency: newHistogram()})
	}
	if outcome != blfleet.OutcomeAnswered {
		r.seconds[index].other++
		return
	}
	r.seconds[index].answered++
	_ = r.seconds[index].latency.RecordValue(int64(latency))
	_ = r.all.RecordValue(int64(latency))
}

// percentileMS returns a percentile of the latency of answered requests, in
// milliseconds.
func (r *report) percentileMS(percentile float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.all.ValueAtQuantile(percentile)) / float64(time.Millisecond)
}

// write writes an SVG plot of the answered requests and other outcomes of each
// second and the 99th percentile of latency, with the faults as bars below.
func (r *report) write(path string, plan []plannedFault) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	most, slowest := 1, int64(1)
	for _, interval := range r.seconds {
		most = max(most, interval.answered+interval.other)
		slowest = max(slowest, interval.latency.ValueAtQuantile(plotPercentile))
	}
	width := float64(plotWidth) / float64(max(len(r.seconds), 1))
	var svg strings.Builder
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-size="9">`,
		plotWidth, plotHeight+barHeight*(len(plan)+2))
	fmt.Fprintf(&svg, `<text x="4" y="10">answers a second, at most %d; line: 99th percentile, at most %d ms; bars: faults</text>`,
		most, slowest/int64(time.Millisecond))
	line := make([]string, 0, len(r.seconds))
	for i, interval := range r.seconds {
		x := float64(i) * width
		answered := float64(interval.answered) / float64(most) * plotHeight
		other := float64(interval.other) / float64(most) * plotHeight
		fmt.Fprintf(&svg, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#9c9"/>`, x, plotHeight-answered, width-1, answered)
		fmt.Fprintf(&svg, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#c66"/>`, x, plotHeight-answered-other, width-1, other)
		latency := float64(interval.latency.ValueAtQuantile(plotPercentile)) / float64(slowest) * plotHeight
		line = append(line, fmt.Sprintf("%.1f,%.1f", x+width/2, plotHeight-latency))
	}
	fmt.Fprintf(&svg, `<polyline points="%s" fill="none" stroke="#338"/>`, strings.Join(line, " "))
	for i, planned := range plan {
		y := plotHeight + barHeight*(i+1)
		fmt.Fprintf(&svg, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#888"/><text x="%.1f" y="%d" font-size="6">%s %d</text>`,
			planned.At.Seconds()*width, y, planned.Duration.Seconds()*width, barHeight-1,
			(planned.At+planned.Duration).Seconds()*width+2, y+barHeight-1, planned.Fault, planned.Host+1)
	}
	svg.WriteString("</svg>\n")
	if err := os.WriteFile(path, []byte(svg.String()), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
