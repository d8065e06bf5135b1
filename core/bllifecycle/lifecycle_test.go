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

func doors() *bllifecycle.Table[state, event] {
	return bllifecycle.NewTable(
		bllifecycle.Transition[state, event]{Event: "open", From: []state{"closed"}, To: "opened"},
		bllifecycle.Transition[state, event]{Event: "close", From: []state{"opened"}, To: "closed"},
	)
}

func ExampleLifecycle_With() {
	door := doors().Start("closed")
	opened, _ := door.With("open")
	fmt.Println(door.State(), opened.State())
	// Output: closed opened
}

func TestLifecycleRefusesUnknownTransition(t *testing.T) {
	door := doors().Start("closed")
	same, err := door.With("close")
	var refused bllifecycle.TransitionError
	if !errors.As(err, &refused) {
		t.Errorf("With: got %v, want TransitionError", err)
	}
	if got, want := same.State(), state("closed"); got != want {
		t.Errorf("state after a refusal: got %s, want %s", got, want)
	}
}
