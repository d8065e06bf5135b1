package blserver

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestLateWorkOutlivesNode guards against work that is taken during a stop with a
// deadline beyond its end, and is cut there.
func TestLateWorkOutlivesNode(t *testing.T) {
	e := NewEnding()
	defer e.Close()
	if got, want := e.Bound(time.Minute), time.Minute; got != want {
		t.Errorf("time for a request before the stop: got %v, want %v", got, want)
	}
	early, release := e.Limit(t.Context())
	defer release()
	if _, ok := early.Deadline(); ok {
		t.Error("deadline of work before the stop: got one, want none")
	}
	refused := make(chan struct{})
	end := time.Now().Add(refuseReserve + 50*time.Millisecond)
	e.Begin(end, func() { close(refused) })
	limit := time.Until(end.Add(-answerReserve))
	if got := e.Bound(time.Minute); got <= 0 || got > limit {
		t.Errorf("time for a request during the stop: got %v, want at most %v", got, limit)
	}
	<-refused
	select {
	case <-e.Refusing():
	default:
		t.Error("waiting requests: got no refusal, want one")
	}
	if early.Err() != nil {
		t.Error("work before the stop: got an end with the refusals, want it to go on")
	}
	<-early.Done()
	if got := e.Bound(time.Minute); got > 0 {
		t.Errorf("time for a request at the end: got %v, want none", got)
	}
	if got := context.Cause(early); !errors.Is(got, ErrEnding) {
		t.Errorf("cause: got %v, want %v", got, ErrEnding)
	}
	if time.Now().After(end) {
		t.Error("work before the stop: got an end after that of the node, want it before")
	}
}
