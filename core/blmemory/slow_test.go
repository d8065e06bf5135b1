package blmemory_test

import (
	"testing"
	"time"

	"bergamotlead/core/blmemory"
)

// arrivedAtRate tells that a request began some time ago and has arrived at a rate since.
func (r *replay) arrivedAtRate(id blmemory.HolderID, phase blmemory.Phase, age time.Duration, bytesPerSecond int64) {
	now := r.clock.Now()
	r.apply(blmemory.Seen{Activities: []blmemory.Activity{{
		ID: id, Phase: phase, ArrivedAt: now, BeganAt: now.Add(-age), Bytes: bytesPerSecond * int64(age/time.Second),
	}}})
}

// fillConnections opens as many connections as the listener allows, in a phase.
func (r *replay) fillConnections(listener blmemory.Listener, phase blmemory.Phase, age time.Duration, bytesPerSecond int64) blmemory.HolderID {
	r.t.Helper()
	limit := blmemory.HolderID(limits().Connections[listener])
	for id := range limit {
		if !r.apply(blmemory.Open{ID: id, Listener: listener, Address: "flood"}) {
			r.t.Fatalf("open %d: got refused, want granted", id)
		}
		r.arrivedAtRate(id, phase, age, bytesPerSecond)
	}
	return limit
}

// TestSlowReadersMakeRoomForConnections replays a crowd that sends its requests piece by
// piece, on both listeners: it kept all connections for as long as it liked.
func TestSlowReadersMakeRoomForConnections(t *testing.T) {
	for _, listener := range []blmemory.Listener{callers, nodes} {
		r := newReplay(t)
		r.clock.Advance(time.Hour)
		limit := r.fillConnections(listener, blmemory.PhaseReading, 10*time.Second, 200)
		r.arrivedAtRate(1, blmemory.PhaseReading, 10*time.Second, 100)
		if !r.apply(blmemory.Open{ID: limit, Listener: listener, Address: "caller"}) {
			t.Error("connection beyond the limit: got refused, want granted")
		}
		r.checkClosed(blmemory.ReasonConnections, 1)
	}
}

// TestSteadyReaderIsClosedAfterSlowOnes guards against an honest upload that ends for a
// crowd: those that send less go first, also ones that have been silent.
func TestSteadyReaderIsClosedAfterSlowOnes(t *testing.T) {
	const steady, silent = 2, 4
	r := newReplay(t)
	r.clock.Advance(time.Hour)
	limit := r.fillConnections(callers, blmemory.PhaseReading, 10*time.Second, 200)
	r.arrivedAtRate(steady, blmemory.PhaseReading, 10*time.Second, 64<<10)
	now := r.clock.Now()
	r.apply(blmemory.Seen{Activities: []blmemory.Activity{{
		ID: silent, Phase: blmemory.PhaseReading, ArrivedAt: now.Add(-2 * time.Second), BeganAt: now.Add(-2 * time.Second), Bytes: 1 << 20,
	}}})
	for i := range limit - 1 {
		r.apply(blmemory.Open{ID: limit + i, Listener: callers, Address: "caller"})
		r.arrivedAtRate(limit+i, blmemory.PhasePassed, 0, 0)
	}
	if got := r.closed[0].ID; got != silent {
		t.Errorf("closed first: got %d, want %d", got, silent)
	}
	for _, c := range r.closed {
		if c.ID == steady {
			t.Errorf("closed: got %v, want all others before %d", r.closed, steady)
		}
	}
}

// TestRequestsThatJustBeganKeepTheirPlace guards against a flood of new connections that
// displaces a caller before its request could be read.
func TestRequestsThatJustBeganKeepTheirPlace(t *testing.T) {
	r := newReplay(t)
	r.clock.Advance(time.Hour)
	limit := r.fillConnections(callers, blmemory.PhaseReading, 0, 0)
	if r.open(limit, "caller") {
		t.Error("connection beyond the limit: got granted, want refused")
	}
	r.clock.Advance(limits().GraceTime)
	if !r.open(limit, "caller") {
		t.Error("connection after the time for a request: got refused, want granted")
	}
	r.checkClosed(blmemory.ReasonConnections, 0)
}

// TestStoppedUploadsMakeRoom guards against bodies that don't end once their requests have
// been passed on. One that arrives well keeps its place.
func TestStoppedUploadsMakeRoom(t *testing.T) {
	const good = 1
	r := newReplay(t)
	r.clock.Advance(time.Hour)
	limit := r.fillConnections(callers, blmemory.PhaseUploading, 10*time.Second, 100)
	r.arrivedAtRate(good, blmemory.PhaseUploading, 10*time.Second, 64<<10)
	for i := range limit - 1 {
		if !r.open(limit+i, "caller") {
			t.Errorf("connection %d beyond the limit: got refused, want granted", i)
		}
		r.arrivedAtRate(limit+i, blmemory.PhasePassed, 0, 0)
	}
	if r.open(2*limit, "caller") {
		t.Error("connection beside those in use: got granted, want refused")
	}
	for _, c := range r.closed {
		if c.ID == good {
			t.Errorf("closed: got %v, want none with a body that arrives", r.closed)
		}
	}
}

// TestAnsweredConnectionsMakeRoomFirst guards against connections that wait for a client to
// read its answer, at the expense of others.
func TestAnsweredConnectionsMakeRoomFirst(t *testing.T) {
	const ending = 3
	r := newReplay(t)
	r.clock.Advance(time.Hour)
	limit := r.fillConnections(callers, blmemory.PhaseReading, 10*time.Second, 1)
	r.arrivedAtRate(ending, blmemory.PhaseEnding, 0, 0)
	if !r.open(limit, "caller") {
		t.Error("connection beyond the limit: got refused, want granted")
	}
	r.checkClosed(blmemory.ReasonConnections, ending)
}

// TestSlowReaderGivesUpItsShares guards against memory that is held by requests that arrive
// piece by piece.
func TestSlowReaderGivesUpItsShares(t *testing.T) {
	r := newReplay(t)
	r.clock.Advance(time.Hour)
	r.openReading(1, "flood", 5)
	r.openReading(2, "other", 5)
	r.arrivedAtRate(1, blmemory.PhaseReading, 10*time.Second, 100)
	r.arrivedAtRate(2, blmemory.PhaseReading, 10*time.Second, 64<<10)
	r.open(3, "caller")
	if !r.reserve(3, blmemory.KindHead, 1) {
		t.Error("share of a caller: got refused, want granted")
	}
	r.checkClosed(blmemory.ReasonMemory, 1)
	if r.reserve(3, blmemory.KindHead, 5) {
		t.Error("share beside a request that arrives well: got granted, want refused")
	}
}
