package blduty_test

import (
	"runtime"
	"testing"

	"bergamotlead/core/blduty"
	"bergamotlead/core/blring"
	"bergamotlead/core/bltimer"
)

// benchmarkRoundTrip measures sending one message to a consumer goroutine and
// receiving its answer. With locked set the consumer is bound to an OS thread.
func benchmarkRoundTrip(b *testing.B, locked bool) {
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

func BenchmarkRoundTripLocked(b *testing.B)   { benchmarkRoundTrip(b, true) }
func BenchmarkRoundTripUnlocked(b *testing.B) { benchmarkRoundTrip(b, false) }

// benchmarkStream measures the throughput of a continuously busy consumer that
// takes messages in batches. With locked set the consumer is bound to an OS
// thread.
func benchmarkStream(b *testing.B, locked bool, batchSize int) {
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

func BenchmarkStreamLockedBatch1(b *testing.B)    { benchmarkStream(b, true, 1) }
func BenchmarkStreamLockedBatch64(b *testing.B)   { benchmarkStream(b, true, 64) }
func BenchmarkStreamUnlockedBatch1(b *testing.B)  { benchmarkStream(b, false, 1) }
func BenchmarkStreamUnlockedBatch64(b *testing.B) { benchmarkStream(b, false, 64) }

// BenchmarkDutyParallel measures round trips through a duty from many
// concurrent callers, so that messages queue up and are taken in batches.
func BenchmarkDutyParallel(b *testing.B) {
	duty := blduty.New("bench", 4096, counter{}, addAmount, putReply, bltimer.NewSystem())
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
