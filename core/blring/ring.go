// Package blring provides the bounded queues that connect duties.
//
// A Ring is a ring buffer of fixed capacity. Producers never block: TryPut on a
// full ring returns FullError. Consumers block on a condition variable and
// never spin.
package blring

import (
	"fmt"
	"sync"
)

// FullError reports that an item was rejected because the ring was at capacity.
type FullError struct {
	// Capacity is the number of items that the ring can hold.
	Capacity int
}

// Error implements the error interface.
func (e FullError) Error() string {
	return fmt.Sprintf("ring is full: capacity %d", e.Capacity)
}

// ClosedError reports that a ring was closed.
type ClosedError struct{}

// Error implements the error interface.
func (ClosedError) Error() string {
	return "ring is closed"
}

// Ring is a bounded FIFO queue, safe for concurrent use.
type Ring[T any] struct {
	mu       sync.Mutex
	notEmpty sync.Cond
	items    []T
	head     int
	count    int
	closed   bool
}

// New returns an empty ring that holds at most capacity items. A capacity
// below one is raised to one.
func New[T any](capacity int) *Ring[T] {
	r := &Ring[T]{items: make([]T, max(capacity, 1))}
	r.notEmpty.L = &r.mu
	return r
}

// TryPut appends item without blocking. It returns FullError when the ring is
// at capacity and ClosedError after Close.
func (r *Ring[T]) TryPut(item T) error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return ClosedError{}
	}
	if r.count == len(r.items) {
		r.mu.Unlock()
		return FullError{Capacity: len(r.items)}
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	r.mu.Unlock()
	r.notEmpty.Signal()
	return nil
}

// Take removes and returns the oldest item and blocks while the ring is empty.
// After Close it returns the remaining items and then ClosedError.
func (r *Ring[T]) Take() (T, error) {
	var one [1]T
	if _, err := r.TakeBatch(one[:]); err != nil {
		return one[0], err
	}
	return one[0], nil
}

// TakeBatch moves up to len(batch) of the oldest items into batch and returns
// the number moved. It blocks while the ring is empty. After Close it returns
// the remaining items and then ClosedError.
func (r *Ring[T]) TakeBatch(batch []T) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.count == 0 {
		if r.closed {
			return 0, ClosedError{}
		}
		r.notEmpty.Wait()
	}
	taken := min(len(batch), r.count)
	var zero T
	for i := range taken {
		batch[i] = r.items[r.head]
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
	}
	r.count -= taken
	return taken, nil
}

// Close rejects further items and wakes every blocked consumer.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.notEmpty.Broadcast()
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}
