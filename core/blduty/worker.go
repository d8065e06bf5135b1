package blduty

import (
	"fmt"
	"runtime"

	"bergamotlead/core/blring"
)

// Worker performs jobs that block, such as calls to the platform's store, one
// after the other on its own thread.
type Worker[J any] struct {
	name    string
	ring    *blring.Ring[J]
	perform func(J)
	ended   chan struct{}
}

// NewWorker returns a worker that holds at most capacity waiting jobs.
func NewWorker[J any](name string, capacity int, perform func(J)) *Worker[J] {
	return &Worker[J]{
		name:    name,
		ring:    blring.New[J](capacity),
		perform: perform,
		ended:   make(chan struct{}),
	}
}

// Put hands job to the worker. It returns an error wrapping blring.FullError
// or blring.ClosedError when the worker can't take it.
func (w *Worker[J]) Put(job J) error {
	if err := w.ring.TryPut(job); err != nil {
		return fmt.Errorf("put job to worker %s: %w", w.name, err)
	}
	return nil
}

// Ring returns the ring that the worker reads, for timer subscriptions.
func (w *Worker[J]) Ring() *blring.Ring[J] {
	return w.ring
}

// Start runs the worker on its own thread.
func (w *Worker[J]) Start() {
	go w.run()
}

// Stop refuses further jobs and waits until those that wait are done.
func (w *Worker[J]) Stop() {
	w.ring.Close()
	<-w.ended
}

func (w *Worker[J]) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(w.ended)
	for {
		job, err := w.ring.Take()
		if err != nil {
			return
		}
		w.perform(job)
	}
}
