// Package blload generates HTTP load for a limited time and records the latency
// of the responses.
package blload

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency        = int64(time.Microsecond)
	maxLatency        = int64(time.Minute)
	significantDigits = 3
)

// Request is one request of a load.
type Request struct {
	Method    string
	URL       string
	ClientKey string
	Body      string
}

// Plan describes a load.
type Plan struct {
	// Callers is the number of concurrent callers, each of which sends its requests
	// sequentially.
	Callers int
	// Duration is how long each caller sends requests.
	Duration time.Duration
	// Rate is the requests per second of all callers together, or zero for a
	// closed loop. With a rate, latency is measured from the scheduled send time,
	// which avoids coordinated omission.
	Rate float64
	// Next returns the request with the given number of a caller.
	Next func(caller, number int) Request
}

// Result holds the measurements of a load.
type Result struct {
	Latency *hdrhistogram.Histogram
	// Requests counts all requests, failed ones included.
	Requests int
	// Statuses counts the responses by status. Zero stands for a failed request.
	Statuses map[int]int
	Elapsed  time.Duration
}

// Merge adds other to the result.
func (r *Result) Merge(other Result) {
	r.Latency.Merge(other.Latency)
	r.Requests += other.Requests
	for status, count := range other.Statuses {
		r.Statuses[status] += count
	}
	r.Elapsed = max(r.Elapsed, other.Elapsed)
}

// NewResult returns an empty result.
func NewResult() Result {
	return Result{Latency: hdrhistogram.New(minLatency, maxLatency, significantDigits), Statuses: map[int]int{}}
}

// Percentile returns the given percentile of the latency.
func (r Result) Percentile(percentile float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percentile))
}

// Rate returns the responses per second with status 200.
func (r Result) Rate() float64 {
	return float64(r.Statuses[http.StatusOK]) / r.Elapsed.Seconds()
}

// Run generates the load and returns its result when it has ended.
func Run(plan Plan) Result {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: plan.Callers, IdleConnTimeout: time.Minute,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 30 * time.Second}
	total := NewResult()
	var mu sync.Mutex
	var wg sync.WaitGroup
	started := time.Now()
	for i := range plan.Callers {
		c := &caller{number: i, plan: plan, client: client, started: started, result: NewResult()}
		wg.Go(func() {
			c.run()
			mu.Lock()
			total.Merge(c.result)
			mu.Unlock()
		})
	}
	wg.Wait()
	total.Elapsed = time.Since(started)
	return total
}

// caller sends its requests sequentially.
type caller struct {
	number  int
	plan    Plan
	client  *http.Client
	started time.Time
	result  Result
}

func (c *caller) run() {
	for i := 0; time.Since(c.started) < c.plan.Duration; i++ {
		scheduled := c.scheduledAt(i)
		if scheduled.Sub(c.started) >= c.plan.Duration {
			return
		}
		time.Sleep(time.Until(scheduled))
		status := c.send(c.plan.Next(c.number, i))
		_ = c.result.Latency.RecordValue(max(int64(time.Since(scheduled)), minLatency))
		c.result.Requests++
		c.result.Statuses[status]++
	}
}

// scheduledAt returns the scheduled send time of the request with the given
// number.
func (c *caller) scheduledAt(number int) time.Time {
	if c.plan.Rate == 0 {
		return time.Now()
	}
	position := float64(number*c.plan.Callers + c.number)
	return c.started.Add(time.Duration(position / c.plan.Rate * float64(time.Second)))
}

func (c *caller) send(r Request) int {
	request, err := http.NewRequestWithContext(context.Background(), r.Method, r.URL, strings.NewReader(r.Body))
	if err != nil {
		panic(fmt.Sprintf("build request: %v", err))
	}
	if r.ClientKey != "" {
		request.Header.Set("Authorization", "Bearer "+r.ClientKey)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
