package blreconciler

import (
	"cmp"
	"slices"
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// freeAttempts is the number of attempts at an order that no pause delays: the
	// first one and its first repeat.
	freeAttempts = 2
	// firstPause follows the second Send in a row without a proper answer. Each
	// further one doubles the pause, up to maxPause.
	firstPause = 50 * time.Millisecond
	maxPause   = 400 * time.Millisecond
	// maxRepeats limits the repeated orders of one Send while the upstream is failing.
	maxRepeats = 8
)

// attempts counts how often an order of one kind has failed in a row.
type attempts struct {
	kind   Kind
	failed int
}

// withAnswer returns the attempts after an answer. An order that wasn't sent is none. One
// that is refused has failed: its repeat, under the latest fence, goes at once.
func (a attempts) withAnswer(answer Answer) attempts {
	switch answer.Result {
	case ResultUnknown, ResultRefused:
		return attempts{kind: answer.Order.Kind, failed: a.of(answer.Order.Kind) + 1}
	case ResultDone:
		return attempts{}
	case ResultUnsent, ResultStopped:
	}
	return a
}

// of returns how often an order of the kind has failed in a row.
func (a attempts) of(kind Kind) int {
	if a.kind != kind {
		return 0
	}
	return a.failed
}

// backoff is the immutable plan of repeated orders to an upstream whose orders fail.
// The zero value is that of an upstream with proper answers.
type backoff struct {
	// failed is the number of Sends in a row that got no proper answer.
	failed int
	// until is when the pause ends before the next repeat.
	until bltimer.Instant
	// unsentUntil is when the pause ends after a Send of which nothing was worth sending.
	unsentUntil bltimer.Instant
}

// withAnswers returns the plan after the answers to a Send.
func (b backoff) withAnswers(answers []Answer, now bltimer.Instant) backoff {
	failed := false
	for _, answer := range answers {
		switch answer.Result {
		case ResultDone:
			return backoff{}
		case ResultUnknown, ResultRefused:
			failed = true
		case ResultUnsent, ResultStopped:
		}
	}
	if !failed {
		b.unsentUntil = now.Add(firstPause)
		return b
	}
	b.failed++
	b.until = now.Add(b.pause())
	return b
}

// pause returns how long the next repeat waits.
func (b backoff) pause() time.Duration {
	pause := firstPause
	for range b.failed - freeAttempts {
		pause = min(2*pause, maxPause)
	}
	if b.failed < freeAttempts {
		return 0
	}
	return pause
}

// permitted returns those of the due orders that the failures of the upstream let go
// now. While it fails, a Send repeats few orders, those with the fewest attempts first:
// one proper answer is enough to send all others.
func (s State) permitted(due []Order, now bltimer.Instant) []Order {
	if now.Before(s.backoff.unsentUntil) {
		return nil
	}
	if s.backoff.failed < freeAttempts {
		return due
	}
	var permitted, repeats []Order
	for _, order := range due {
		if s.failedAttempts(order) < freeAttempts {
			permitted = append(permitted, order)
			continue
		}
		repeats = append(repeats, order)
	}
	if now.Before(s.backoff.until) {
		return permitted
	}
	slices.SortStableFunc(repeats, func(a, b Order) int {
		return cmp.Compare(s.failedAttempts(a), s.failedAttempts(b))
	})
	return append(permitted, repeats[:min(len(repeats), maxRepeats)]...)
}

// failedAttempts returns how often an order for the same has failed in a row.
func (s State) failedAttempts(order Order) int {
	state, _ := s.states.Get(order.Partition)
	return state.attempts.of(order.Kind)
}
