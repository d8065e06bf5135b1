package bltimer_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
)

func ExampleSubscribe() {
	clock := bltimer.NewManual()
	service := bltimer.New(clock)
	ring := blring.New[bltimer.Tick](4)
	bltimer.Subscribe(service, time.Second, ring, func(tick bltimer.Tick) bltimer.Tick { return tick })
	clock.Advance(time.Second)
	service.Fire()
	tick, _ := ring.Take()
	fmt.Println(time.Duration(tick.Now))
	// Output: 1s
}

func TestServiceSkipsMissedTicks(t *testing.T) {
	clock := bltimer.NewManual()
	service := bltimer.New(clock)
	ring := blring.New[bltimer.Tick](8)
	bltimer.Subscribe(service, time.Second, ring, func(tick bltimer.Tick) bltimer.Tick { return tick })
	clock.Advance(10 * time.Second)
	service.Fire()
	if got, want := ring.Len(), 1; got != want {
		t.Errorf("ticks after a pause: got %d, want %d", got, want)
	}
	clock.Advance(time.Second)
	service.Fire()
	if got, want := ring.Len(), 2; got != want {
		t.Errorf("ticks a period later: got %d, want %d", got, want)
	}
}

func TestServiceSendsNoTicksToInactiveSubscribers(t *testing.T) {
	clock := bltimer.NewManual()
	service := bltimer.New(clock)
	ring := blring.New[bltimer.Tick](8)
	active := false
	bltimer.SubscribeWhile(service, time.Second, ring, func(tick bltimer.Tick) bltimer.Tick { return tick },
		func() bool { return active })
	clock.Advance(time.Second)
	service.Fire()
	if got, want := ring.Len(), 0; got != want {
		t.Errorf("ticks while inactive: got %d, want %d", got, want)
	}
	active = true
	clock.Advance(time.Second)
	service.Fire()
	if got, want := ring.Len(), 1; got != want {
		t.Errorf("ticks while active: got %d, want %d", got, want)
	}
}

func TestServiceSendsPeriodicTicksAfterStart(t *testing.T) {
	service := bltimer.New(bltimer.NewSystem())
	service.Start()
	defer service.Stop()
	ring := blring.New[bltimer.Tick](8)
	bltimer.Subscribe(service, 5*time.Millisecond, ring, func(tick bltimer.Tick) bltimer.Tick { return tick })
	first, _ := ring.Take()
	second, _ := ring.Take()
	if !first.Now.Before(second.Now) {
		t.Errorf("ticks: got %d then %d, want increasing instants", first.Now, second.Now)
	}
}
