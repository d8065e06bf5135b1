package bllifecycle_test

import (
	"errors"
	"fmt"
	"testing"

	"bergamotlead/core/bllifecycle"
)

type (
	state string
	event string
)

func doorTable() *bllifecycle.Table[state, event] {
	return bllifecycle.NewTable(
		bllifecycle.Transition[state, event]{Event: "open", From: []state{"closed"}, To: "opened"},
		bllifecycle.Transition[state, event]{Event: "close", From: []state{"opened"}, To: "closed"},
	)
}

func ExampleLifecycle_With() {
	door := doorTable().Start("closed")
	opened, _ := door.With("open")
	fmt.Println(door.State(), opened.State())
	// Output: closed opened
}

func TestLifecycleRejectsUnknownTransition(t *testing.T) {
	door := doorTable().Start("closed")
	unchanged, err := door.With("close")
	var rejected bllifecycle.TransitionError
	if !errors.As(err, &rejected) {
		t.Errorf("With: got %v, want TransitionError", err)
	}
	if got, want := unchanged.State(), state("closed"); got != want {
		t.Errorf("state after a rejected event: got %s, want %s", got, want)
	}
}
