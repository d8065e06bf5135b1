package blring

import (
	"context"
	"fmt"
)

// Reply is a ring of one item that carries the answer to one message. The
// duty puts once; the front end waits once.
type Reply[T any] struct {
	slot chan T
}

// NewReply returns an empty reply.
func NewReply[T any]() Reply[T] {
	return Reply[T]{slot: make(chan T, 1)}
}

// Put stores the answer. A second answer is dropped.
func (r Reply[T]) Put(answer T) {
	select {
	case r.slot <- answer:
	default:
	}
}

// Await waits for the answer or for the end of ctx.
func (r Reply[T]) Await(ctx context.Context) (T, error) {
	select {
	case answer := <-r.slot:
		return answer, nil
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("await reply: %w", ctx.Err())
	}
}

// Peek returns the answer without waiting, if it has come.
func (r Reply[T]) Peek() (T, bool) {
	select {
	case answer := <-r.slot:
		return answer, true
	default:
		var zero T
		return zero, false
	}
}
