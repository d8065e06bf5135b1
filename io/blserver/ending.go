package blserver

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// refuseReserve, answerReserve and workReserve are the times before the end of a
	// stop at which waiting requests are refused, at which upstreams have to have
	// answered what they are sent during the stop, and at which all work is given up.
	refuseReserve = 500 * time.Millisecond
	answerReserve = 300 * time.Millisecond
	workReserve   = 100 * time.Millisecond
)

// ErrEnding is the cause for which work is given up at the end of a stop.
var ErrEnding = fmt.Errorf("this node ends: %w", context.DeadlineExceeded)

// Ending tells requests when a leaving node ends. Until Begin is called it doesn't
// limit them.
type Ending struct {
	refusing chan struct{}
	work     context.Context
	giveUp   context.CancelFunc

	mu     sync.Mutex
	end    time.Time
	timers []*time.Timer
}

// NewEnding returns the ending of a node that doesn't leave.
func NewEnding() *Ending {
	work, giveUp := context.WithCancel(context.Background())
	return &Ending{refusing: make(chan struct{}), work: work, giveUp: giveUp}
}

// Begin sets when the stop ends. It calls refuse when waiting requests have to be
// refused.
func (e *Ending) Begin(end time.Time, refuse func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.end = end
	e.timers = []*time.Timer{
		time.AfterFunc(time.Until(end.Add(-refuseReserve)), func() {
			close(e.refusing)
			refuse()
		}),
		time.AfterFunc(time.Until(end.Add(-workReserve)), e.giveUp),
	}
}

// Close ends the timers of Begin and all work.
func (e *Ending) Close() {
	e.giveUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, timer := range e.timers {
		timer.Stop()
	}
}

// Refusing returns a channel that is closed when waiting requests have to be refused.
func (e *Ending) Refusing() <-chan struct{} { return e.refusing }

// Bound returns the time that an upstream may be given for a request. During a stop it
// is short enough for the upstream's answer to reach the caller, or not above zero.
func (e *Ending) Bound(timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.end.IsZero() {
		return timeout
	}
	return min(timeout, time.Until(e.end.Add(-answerReserve)))
}

// Limit returns the context of work. It ends early enough for an answer to be sent
// before the node ends.
func (e *Ending) Limit(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.work, func() { cancel(ErrEnding) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
