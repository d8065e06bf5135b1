package bltimer

import (
	"runtime"
	"sync"
	"time"

	"bergamotlead/core/blring"
)

// Tick is what a subscriber receives.
type Tick struct {
	// Now is the instant at which the timer fired.
	Now Instant
}

type subscription struct {
	due    Instant
	period time.Duration
	// busy tells whether the subscriber has anything to wait for.
	busy   func() bool
	notify func(Tick)
}

// Service tells subscribers when their time has come, on one thread.
type Service struct {
	clock Clock
	wake  chan struct{}
	done  chan struct{}

	mu            sync.Mutex
	subscriptions []subscription
}

// New returns a service that reads clock. Start runs it.
func New(clock Clock) *Service {
	return &Service{clock: clock, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Subscribe puts message(tick) on target every period. A tick that finds the
// ring full is dropped, since the next one carries a later time.
func Subscribe[M any](s *Service, period time.Duration, target *blring.Ring[M], message func(Tick) M) {
	SubscribeWhile(s, period, target, message, func() bool { return true })
}

// SubscribeWhile is Subscribe for a part that has nothing to do with time
// while busy reports false. It then gets no tick, so that its thread sleeps on.
func SubscribeWhile[M any](
	s *Service, period time.Duration, target *blring.Ring[M], message func(Tick) M, busy func() bool,
) {
	s.add(subscription{
		due:    s.clock.Now().Add(period),
		period: period,
		busy:   busy,
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

// Start runs the service on its own thread until Stop.
func (s *Service) Start() {
	go s.run()
}

// Stop ends the service. It is called once.
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

// idleWait is how long the service sleeps when nobody has subscribed.
const idleWait = time.Minute

// Fire notifies every subscription that is due and returns the time until the
// next one. Tests with a manual clock call it after they move the clock.
func (s *Service) Fire() time.Duration {
	now := s.clock.Now()
	for _, due := range s.takeDue(now) {
		if due.busy() {
			due.notify(Tick{Now: now})
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
	wait := idleWait
	now := s.clock.Now()
	for _, sub := range s.subscriptions {
		wait = min(wait, sub.due.Sub(now))
	}
	return max(wait, 0)
}
