package blring_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotlead/core/blring"
)

func ExampleRing() {
	ring := blring.New[string](2)
	_ = ring.TryPut("first")
	_ = ring.TryPut("second")
	fmt.Println(ring.TryPut("third"))
	item, _ := ring.Take()
	fmt.Println(item)
	// Output:
	// ring is full: capacity 2
	// first
}

func ExampleReply() {
	reply := blring.NewReply[int]()
	reply.Put(7)
	answer, _ := reply.Await(context.Background())
	fmt.Println(answer)
	// Output: 7
}

func TestRingRejectsItemsWhenFullOrClosed(t *testing.T) {
	ring := blring.New[int](1)
	if err := ring.TryPut(1); err != nil {
		t.Fatalf("TryPut on an empty ring: got %v, want nil", err)
	}
	var full blring.FullError
	if err := ring.TryPut(2); !errors.As(err, &full) {
		t.Errorf("TryPut on a full ring: got %v, want FullError", err)
	}
	ring.Close()
	var closed blring.ClosedError
	if err := ring.TryPut(3); !errors.As(err, &closed) {
		t.Errorf("TryPut on a closed ring: got %v, want ClosedError", err)
	}
	if got, err := ring.Take(); err != nil || got != 1 {
		t.Errorf("Take after Close: got %d, %v, want 1, nil", got, err)
	}
	if _, err := ring.Take(); !errors.As(err, &closed) {
		t.Errorf("Take on an empty closed ring: got %v, want ClosedError", err)
	}
}

func TestRingPreservesOrderOfEachProducer(t *testing.T) {
	const producers, itemsPerProducer = 4, 500
	ring := blring.New[[2]int](16)
	var wg sync.WaitGroup
	for p := range producers {
		wg.Go(func() {
			for i := range itemsPerProducer {
				for ring.TryPut([2]int{p, i}) != nil {
					time.Sleep(10 * time.Microsecond)
				}
			}
		})
	}
	next := [producers]int{}
	batch := make([][2]int, 8)
	for received := 0; received < producers*itemsPerProducer; {
		n, err := ring.TakeBatch(batch)
		if err != nil {
			t.Fatalf("TakeBatch: got %v, want nil", err)
		}
		for _, item := range batch[:n] {
			if got, want := item[1], next[item[0]]; got != want {
				t.Fatalf("producer %d: got item %d, want %d", item[0], got, want)
			}
			next[item[0]]++
		}
		received += n
	}
	wg.Wait()
	if got := ring.Len(); got != 0 {
		t.Errorf("Len: got %d, want 0", got)
	}
}

func TestReplyAwaitReturnsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := blring.NewReply[int]().Await(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Await: got %v, want context.Canceled", err)
	}
}
