package blring

import (
	"context"
	"fmt"
)

// Reply carries the answer to one message from a duty back to the front end. It
// is a queue of capacity one: the duty calls Put once and the front end
// receives once.
type Reply[T any] struct {
	slot chan T
}

// NewReply returns an empty reply.
func NewReply[T any]() Reply[T] {
	return Reply[T]{slot: make(chan T, 1)}
}

// Put stores the answer without blocking. It drops an answer while another one
// is stored.
func (r Reply[T]) Put(answer T) {
	select {
	case r.slot <- answer:
	default:
	}
}

// Await blocks until the answer is available or ctx is done.
func (r Reply[T]) Await(ctx context.Context) (T, error) {
	select {
	case answer := <-r.slot:
		return answer, nil
	case <-ctx.Done():
		var zero T
		return zero, fmt.Errorf("await reply: %w", ctx.Err())
	}
}

// Poll receives the answer if it is available and never blocks. The answer is
// removed from the reply.
func (r Reply[T]) Poll() (T, bool) {
	select {
	case answer := <-r.slot:
		return answer, true
	default:
		var zero T
		return zero, false
	}
}
