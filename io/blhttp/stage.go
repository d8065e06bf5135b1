package blhttp

import "sync/atomic"

// Stages counts the requests that have not been answered, by what they wait for.
type Stages struct {
	admission, target, backoff, delivery atomic.Int64
}

// StageCounts are the numbers of requests in each stage at one moment.
type StageCounts struct {
	// Admission and Target count those that wait for the admission duty and for the
	// target of a retry, Backoff those that wait before a retry, and Delivery those
	// handed to a node for delivery.
	Admission, Target, Backoff, Delivery int
}

// Counts returns the number of requests in each stage.
func (s *Stages) Counts() StageCounts {
	return StageCounts{
		Admission: int(s.admission.Load()), Target: int(s.target.Load()),
		Backoff: int(s.backoff.Load()), Delivery: int(s.delivery.Load()),
	}
}

// enter counts a request in a stage until the function that it returns is called.
func enter(stage *atomic.Int64) func() {
	stage.Add(1)
	return func() { stage.Add(-1) }
}
