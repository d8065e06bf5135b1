package blproof_test

import (
	"container/heap"
	"time"
)

// event is an action at a simulated time. Events at the same time run in the
// order of seq.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a heap of events, ordered by time and sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.seq, action: action})
}

func (sim *simulation) occurs(perThousand int) bool {
	return sim.random.IntN(1000) < perThousand
}

// delay returns a random message delay: below 3 ms for most messages and below
// 2 s for slowMessagesPerThousand of them.
func (sim *simulation) delay() time.Duration {
	if sim.occurs(sim.slowMessagesPerThousand) {
		return time.Duration(sim.random.IntN(int(2 * time.Second)))
	}
	return time.Duration(sim.random.IntN(int(3 * time.Millisecond)))
}

func (sim *simulation) runUntil(end time.Duration) {
	for len(sim.events) > 0 && sim.events[0].at <= end && len(sim.violations) == 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.action()
	}
	sim.now = end
}
