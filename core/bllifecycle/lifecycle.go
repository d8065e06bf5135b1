// Package bllifecycle holds lifecycles as immutable values whose transitions
// are checked by a finite state machine.
package bllifecycle

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
)

// Transition says which event leads from which states to which state.
type Transition[S, E ~string] struct {
	Event E
	From  []S
	To    S
}

// Table is the list of a lifecycle's transitions.
type Table[S, E ~string] struct {
	events fsm.Events
}

// NewTable returns a table of the given transitions.
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

// Start returns a lifecycle of this table in the given state.
func (t *Table[S, E]) Start(state S) Lifecycle[S, E] {
	return Lifecycle[S, E]{table: t, state: state}
}

// Lifecycle is a state together with the table of its transitions.
type Lifecycle[S, E ~string] struct {
	table *Table[S, E]
	state S
}

// State returns the current state.
func (l Lifecycle[S, E]) State() S {
	return l.state
}

// TransitionError reports an event that the current state doesn't allow.
type TransitionError struct {
	State string
	Event string
}

// Error returns the refusal as text.
func (e TransitionError) Error() string {
	return fmt.Sprintf("event %s is not allowed in state %s", e.Event, e.State)
}

// With returns the lifecycle after event. An event that the state doesn't
// allow leaves it unchanged and returns TransitionError.
func (l Lifecycle[S, E]) With(event E) (Lifecycle[S, E], error) {
	machine := fsm.NewFSM(string(l.state), l.table.events, fsm.Callbacks{})
	if !machine.Can(string(event)) {
		return l, TransitionError{State: string(l.state), Event: string(event)}
	}
	err := machine.Event(context.Background(), string(event))
	if err != nil && machine.Current() != string(l.state) {
		return l, fmt.Errorf("change state by %s: %w", event, err)
	}
	return Lifecycle[S, E]{table: l.table, state: S(machine.Current())}, nil
}
