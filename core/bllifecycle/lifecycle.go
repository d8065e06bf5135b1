// Package bllifecycle represents lifecycles as immutable values whose
// transitions are validated by a finite state machine.
package bllifecycle

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// Transition declares that Event moves a lifecycle from any state in From to
// the state To.
type Transition[S, E ~string] struct {
	Event E
	From  []S
	To    S
}

// Table is the transition table of a lifecycle.
type Table[S, E ~string] struct {
	events fsm.Events
}

// NewTable returns a table with the given transitions.
func NewTable[S, E ~string](transitions ...Transition[S, E]) *Table[S, E] {
	events := make(fsm.Events, 0, len(transitions))
	for _, transition := range transitions {
		sources := make([]string, 0, len(transition.From))
		for _, state := range transition.From {
			sources = append(sources, string(state))
		}
		events = append(events, fsm.EventDesc{
			Name: string(transition.Event), Src: sources, Dst: string(transition.To),
		})
	}
	return &Table[S, E]{events: events}
}

// Start returns a lifecycle with this table and the given initial state.
func (t *Table[S, E]) Start(state S) Lifecycle[S, E] {
	return Lifecycle[S, E]{table: t, state: state}
}

// Lifecycle is an immutable pair of a current state and a transition table.
type Lifecycle[S, E ~string] struct {
	table *Table[S, E]
	state S
}

// State returns the current state.
func (l Lifecycle[S, E]) State() S {
	return l.state
}

// TransitionError reports an event that is not allowed in the current state.
type TransitionError struct {
	State string
	Event string
}

// Error implements the error interface.
func (e TransitionError) Error() string {
	return fmt.Sprintf("event %s is not allowed in state %s", e.Event, e.State)
}

// With returns the lifecycle after event. If event is not allowed in the
// current state, it returns the unchanged lifecycle and a TransitionError.
func (l Lifecycle[S, E]) With(event E) (Lifecycle[S, E], error) {
	stateMachine := fsm.NewFSM(string(l.state), l.table.events, fsm.Callbacks{})
	if !stateMachine.Can(string(event)) {
		return l, TransitionError{State: string(l.state), Event: string(event)}
	}
	// Event returns an error also for a transition to the same state.
	err := stateMachine.Event(context.Background(), string(event))
	if err != nil && stateMachine.Current() != string(l.state) {
		return l, fmt.Errorf("apply event %s: %w", event, err)
	}
	return Lifecycle[S, E]{table: l.table, state: S(stateMachine.Current())}, nil
}
