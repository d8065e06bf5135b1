package bltimer

import (
	"runtime"
	"sync"
	"time"

	"bergamotlead/core/blring"
)

// Tick is the notification that a subscriber receives when its timer fires.
type Tick struct {
	// Now is the instant at which the timer fired.
	Now Instant
	// Suspended is the time for which the host has been suspended so far.
	Suspended time.Duration
}

type subscription struct {
	due    Instant
	period time.Duration
	// active reports whether the subscriber has time-dependent work pending.
	active func() bool
	notify func(Tick)
}

// Service sends periodic ticks to all subscribers from a single OS thread.
type Service struct {
	clock Clock
	wake  chan struct{}
	done  chan struct{}

	mu            sync.Mutex
	subscriptions []subscription
}

// New returns a service that uses the given clock. Call Start to run it.
func New(clock Clock) *Service {
	return &Service{clock: clock, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Subscribe puts message(tick) on the target ring every period. A tick is
// dropped when the ring is full, since the next one carries a later time.
func Subscribe[M any](s *Service, period time.Duration, target *blring.Ring[M], message func(Tick) M) {
	SubscribeWhile(s, period, target, message, func() bool { return true })
}

// SubscribeWhile is like Subscribe, but sends no tick while active reports
// false, so that the thread of a subscriber without time-dependent work is not
// woken.
func SubscribeWhile[M any](
	s *Service, period time.Duration, target *blring.Ring[M], message func(Tick) M, active func() bool,
) {
	s.add(subscription{
		due:    s.clock.Now().Add(period),
		period: period,
		active: active,
		notify: func(tick Tick) { _ = target.TryPut(message(tick)) },
	})
}

func (s *Service) add(added subscription) {
	s.mu.Lock()
	s.subscriptions = append(s.subscriptions, added)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Start runs the service on its own OS thread until Stop is called.
func (s *Service) Start() {
	go s.run()
}

// Stop terminates the service. It must be called at most once.
func (s *Service) Stop() {
	close(s.done)
}

func (s *Service) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		case <-timer.C:
		}
		timer.Reset(s.Fire())
	}
}

// maxWait bounds the time until the next wake-up. It applies when there are no
// subscriptions or none is due earlier.
const maxWait = time.Minute

// Fire notifies every subscription that is due and returns the time until the
// next one is due. Tests with a manual clock call it after advancing the clock.
func (s *Service) Fire() time.Duration {
	now := s.clock.Now()
	tick := Tick{Now: now, Suspended: s.clock.Suspended()}
	for _, due := range s.takeDue(now) {
		if due.active() {
			due.notify(tick)
		}
	}
	return s.untilNext()
}

func (s *Service) takeDue(now Instant) []subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []subscription
	for i := range s.subscriptions {
		sub := &s.subscriptions[i]
		if now.Before(sub.due) {
			continue
		}
		due = append(due, *sub)
		sub.due = sub.due.Add(sub.period)
		if sub.due.Before(now) {
			sub.due = now.Add(sub.period)
		}
	}
	return due
}

func (s *Service) untilNext() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := maxWait
	now := s.clock.Now()
	for _, sub := range s.subscriptions {
		wait = min(wait, sub.due.Sub(now))
	}
	return max(wait, 0)
}
