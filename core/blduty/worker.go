package blduty

import (
	"fmt"
	"runtime"

	"bergamotlead/core/blring"
)

// Worker executes blocking jobs, such as calls to the platform's store,
// sequentially on its own OS thread.
type Worker[J any] struct {
	name    string
	ring    *blring.Ring[J]
	perform func(J)
	stopped chan struct{}
}

// NewWorker returns a worker with a ring of at most capacity queued jobs. Call
// Start to run it.
func NewWorker[J any](name string, capacity int, perform func(J)) *Worker[J] {
	return &Worker[J]{
		name:    name,
		ring:    blring.New[J](capacity),
		perform: perform,
		stopped: make(chan struct{}),
	}
}

// Put queues job without blocking. It returns an error that wraps
// blring.FullError or blring.ClosedError when the worker can't accept it.
func (w *Worker[J]) Put(job J) error {
	if err := w.ring.TryPut(job); err != nil {
		return fmt.Errorf("put job to worker %s: %w", w.name, err)
	}
	return nil
}

// Ring returns the worker's job ring, for timer subscriptions.
func (w *Worker[J]) Ring() *blring.Ring[J] {
	return w.ring
}

// Start runs the worker on its own OS thread.
func (w *Worker[J]) Start() {
	go w.run()
}

// Stop rejects further jobs and blocks until the queued ones are executed.
func (w *Worker[J]) Stop() {
	w.ring.Close()
	<-w.stopped
}

func (w *Worker[J]) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(w.stopped)
	for {
		job, err := w.ring.Take()
		if err != nil {
			return
		}
		w.perform(job)
	}
}
