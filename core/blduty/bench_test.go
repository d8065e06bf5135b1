package blduty_test

import (
	"runtime"
	"testing"

	"bergamotlead/core/blduty"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
)

// handOver measures one message to a thread and its answer back.
func handOver(b *testing.B, locked bool) {
	b.Helper()
	ring := blring.New[blring.Reply[int]](64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if locked {
			runtime.LockOSThread()
		}
		for {
			reply, err := ring.Take()
			if err != nil {
				return
			}
			reply.Put(1)
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		reply := blring.NewReply[int]()
		_ = ring.TryPut(reply)
		_, _ = reply.Await(b.Context())
	}
	ring.Close()
	<-done
}

func BenchmarkRoundTripLocked(b *testing.B)   { handOver(b, true) }
func BenchmarkRoundTripUnlocked(b *testing.B) { handOver(b, false) }

// stream measures messages that keep a thread busy, taken in batches.
func stream(b *testing.B, locked bool, batchSize int) {
	b.Helper()
	ring := blring.New[int](4096)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if locked {
			runtime.LockOSThread()
		}
		batch := make([]int, batchSize)
		for {
			if _, err := ring.TakeBatch(batch); err != nil {
				return
			}
		}
	}()
	for b.Loop() {
		for ring.TryPut(1) != nil {
			runtime.Gosched()
		}
	}
	ring.Close()
	<-done
}

func BenchmarkStreamLockedBatch1(b *testing.B)    { stream(b, true, 1) }
func BenchmarkStreamLockedBatch64(b *testing.B)   { stream(b, true, 64) }
func BenchmarkStreamUnlockedBatch1(b *testing.B)  { stream(b, false, 1) }
func BenchmarkStreamUnlockedBatch64(b *testing.B) { stream(b, false, 64) }

// BenchmarkDutyParallel measures round trips through a duty from many callers,
// where batches form by themselves.
func BenchmarkDutyParallel(b *testing.B) {
	duty := blduty.New("bench", 4096, counter{}, addUp, sendReply, bltimer.NewSystem())
	duty.Start()
	defer duty.Stop()
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			reply := blring.NewReply[int]()
			if duty.Put(addMessage{amount: 1, reply: reply}) == nil {
				_, _ = reply.Await(b.Context())
			}
		}
	})
}
