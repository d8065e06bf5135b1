package blrollout_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotlead/core/blrollout"
)

// BenchmarkTick measures a tick of the lead while both versions get requests, which is when
// it compares the most upstreams.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{53, 350} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			o := large(500*time.Millisecond, 12*time.Second)
			o.old, o.added, o.seed = size, size, 1
			sim := started(o)
			sim.runUntil(orderAt + 7500*time.Millisecond)
			l := sim.lead()
			b.ReportAllocs()
			for b.Loop() {
				blrollout.Decide(l.state, blrollout.Tick{}, sim.instant())
			}
		})
	}
}
