package blbackoff_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blbackoff"
	"bergamotlead/core/bltimer"
)

func ExampleSchedule_WithReturn() {
	var schedule blbackoff.Schedule
	now := bltimer.Instant(time.Second)
	for range 4 {
		var wait time.Duration
		schedule, wait = schedule.WithReturn(now.Add(100*time.Millisecond), 20*time.Millisecond, 150*time.Millisecond, now)
		fmt.Println(wait)
	}
	// Output:
	// 100ms
	// 120ms
	// 140ms
	// 160ms
}

func TestReturnsBeyondTheHorizonTakeNoRoom(t *testing.T) {
	var schedule blbackoff.Schedule
	now := bltimer.Instant(time.Second)
	for range 10 {
		schedule, _ = schedule.WithReturn(now, 50*time.Millisecond, 100*time.Millisecond, now)
	}
	_, got := schedule.WithReturn(now, 50*time.Millisecond, time.Second, now)
	if want := 150 * time.Millisecond; got != want {
		t.Errorf("wait after three planned returns: got %v, want %v", got, want)
	}
}

func TestPastReturnsLeaveRoom(t *testing.T) {
	var schedule blbackoff.Schedule
	schedule, _ = schedule.WithReturn(0, time.Second, time.Second, 0)
	now := bltimer.Instant(3 * time.Second)
	if _, got := schedule.WithReturn(now, time.Second, time.Second, now); got != 0 {
		t.Errorf("wait once the planned returns are over: got %v, want 0", got)
	}
}
