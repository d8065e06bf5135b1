// Package blduty runs each duty of the system as an event loop on its own OS
// thread.
//
// A duty owns a state and a ring of messages. Its decision is a pure function
// of state, message and time that returns the next state and a list of effects.
// The duty executes the effects, most of which put messages on the rings of
// other duties.
package blduty

import (
	"fmt"
	"runtime"
	"sync/atomic"

	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
)

// batchSize is the maximum number of messages that a duty takes from its ring
// at once.
const batchSize = 64

// Decision computes the next state and the effects of one message. It must
// neither block nor modify the state passed to it.
type Decision[S, M, E any] func(state S, message M, now bltimer.Instant) (S, []E)

// Duty applies a decision to the messages of its ring, in order.
type Duty[S, M, E any] struct {
	name    string
	ring    *blring.Ring[M]
	decide  Decision[S, M, E]
	perform func(E)
	clock   bltimer.Clock
	state   atomic.Pointer[S]
	stopped chan struct{}
}

// New returns a duty with the given initial state and a ring of at most
// capacity queued messages. Call Start to run it.
func New[S, M, E any](
	name string, capacity int, initial S, decide Decision[S, M, E], perform func(E), clock bltimer.Clock,
) *Duty[S, M, E] {
	d := &Duty[S, M, E]{
		name:    name,
		ring:    blring.New[M](capacity),
		decide:  decide,
		perform: perform,
		clock:   clock,
		stopped: make(chan struct{}),
	}
	d.state.Store(&initial)
	return d
}

// Put queues message without blocking. It returns an error that wraps
// blring.FullError or blring.ClosedError when the duty can't accept it.
func (d *Duty[S, M, E]) Put(message M) error {
	if err := d.ring.TryPut(message); err != nil {
		return fmt.Errorf("put message to duty %s: %w", d.name, err)
	}
	return nil
}

// Ring returns the duty's message ring, for timer subscriptions.
func (d *Duty[S, M, E]) Ring() *blring.Ring[M] {
	return d.ring
}

// View returns a snapshot of the state after the latest message. States are
// immutable, so status pages and metrics can read them while the duty runs.
func (d *Duty[S, M, E]) View() S {
	return *d.state.Load()
}

// Start runs the duty on its own OS thread.
func (d *Duty[S, M, E]) Start() {
	go d.run()
}

// Stop rejects further messages and blocks until the queued ones are processed.
func (d *Duty[S, M, E]) Stop() {
	d.ring.Close()
	<-d.stopped
}

func (d *Duty[S, M, E]) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(d.stopped)
	batch := make([]M, batchSize)
	for {
		count, err := d.ring.TakeBatch(batch)
		if err != nil {
			return
		}
		d.apply(batch[:count])
		clear(batch[:count])
	}
}

func (d *Duty[S, M, E]) apply(batch []M) {
	for _, message := range batch {
		next, effects := d.decide(*d.state.Load(), message, d.clock.Now())
		d.state.Store(&next)
		for _, effect := range effects {
			d.perform(effect)
		}
	}
}
