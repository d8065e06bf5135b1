// Package blduty runs one duty of the system on one thread.
//
// A duty owns a state and a ring of messages. Its decision is a pure function
// from state, message and time to the next state and a list of effects; the
// duty performs the effects, most of which put messages on the rings of other
// duties.
package blduty

import (
	"fmt"
	"runtime"
	"sync/atomic"

	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
)

// batchSize is the number of messages that a duty takes from its ring at once.
const batchSize = 64

// Decision computes the next state and the effects of one message. It neither
// blocks nor changes the state that it was given.
type Decision[S, M, E any] func(state S, message M, now bltimer.Instant) (S, []E)

// Duty applies a decision to the messages of its ring, in order.
type Duty[S, M, E any] struct {
	name    string
	ring    *blring.Ring[M]
	decide  Decision[S, M, E]
	perform func(E)
	clock   bltimer.Clock
	view    atomic.Pointer[S]
	ended   chan struct{}
}

// New returns a duty that starts from the state initial and holds at most
// capacity waiting messages. Start runs it.
func New[S, M, E any](
	name string, capacity int, initial S, decide Decision[S, M, E], perform func(E), clock bltimer.Clock,
) *Duty[S, M, E] {
	d := &Duty[S, M, E]{
		name:    name,
		ring:    blring.New[M](capacity),
		decide:  decide,
		perform: perform,
		clock:   clock,
		ended:   make(chan struct{}),
	}
	d.view.Store(&initial)
	return d
}

// Put hands message to the duty. It returns an error wrapping
// blring.FullError or blring.ClosedError when the duty can't take it.
func (d *Duty[S, M, E]) Put(message M) error {
	if err := d.ring.TryPut(message); err != nil {
		return fmt.Errorf("put message to duty %s: %w", d.name, err)
	}
	return nil
}

// Ring returns the ring that the duty reads, for timer subscriptions.
func (d *Duty[S, M, E]) Ring() *blring.Ring[M] {
	return d.ring
}

// View returns the state after the latest message. States are immutable, so
// that status pages and metrics may read them beside the running duty.
func (d *Duty[S, M, E]) View() S {
	return *d.view.Load()
}

// Start runs the duty on its own thread.
func (d *Duty[S, M, E]) Start() {
	go d.run()
}

// Stop refuses further messages and waits until those that wait are done.
func (d *Duty[S, M, E]) Stop() {
	d.ring.Close()
	<-d.ended
}

func (d *Duty[S, M, E]) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(d.ended)
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
		next, effects := d.decide(*d.view.Load(), message, d.clock.Now())
		d.view.Store(&next)
		for _, effect := range effects {
			d.perform(effect)
		}
	}
}
