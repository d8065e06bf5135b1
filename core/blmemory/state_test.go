package blmemory_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotlead/core/blmemory"
	"bergamotlead/core/bltimer"
)

const (
	callers = blmemory.ListenerCallers
	nodes   = blmemory.ListenerNodes
	share   = 100 << 10
)

// replay applies messages to a state and collects the effects.
type replay struct {
	t       *testing.T
	state   blmemory.State
	clock   *bltimer.Manual
	closed  []blmemory.CloseConnection
	givenUp []blmemory.HolderID
}

// limits are those of a small process: room for ten shares of requests and few
// connections.
func limits() blmemory.Limits {
	l := blmemory.NewLimits(1, 16)
	l.Bytes, l.RequestBytes, l.MessageBytes = 16*blmemory.ConnectionBytes+10*share, 10*share, 0
	return l
}

func newReplay(t *testing.T) *replay {
	return &replay{t: t, state: blmemory.New(limits()), clock: bltimer.NewManual()}
}

// apply applies a message and reports whether what it asks for was granted.
func (r *replay) apply(message blmemory.Message) bool {
	state, effects := blmemory.Decide(r.state, message, r.clock.Now())
	r.state = state
	granted := false
	for _, effect := range effects {
		switch e := effect.(type) {
		case blmemory.Answer:
			granted = e.Granted
		case blmemory.CloseConnection:
			r.closed = append(r.closed, e)
		case blmemory.GiveUpStart:
			r.givenUp = append(r.givenUp, e.ID)
		}
	}
	return granted
}

func (r *replay) open(id blmemory.HolderID, address string) bool {
	return r.apply(blmemory.Open{ID: id, Listener: callers, Address: address})
}

func (r *replay) arrived(id blmemory.HolderID, phase blmemory.Phase) {
	r.apply(blmemory.Seen{Activities: []blmemory.Activity{{ID: id, Phase: phase, ArrivedAt: r.clock.Now()}}})
}

func (r *replay) reserve(id blmemory.HolderID, kind blmemory.Kind, shares int64) bool {
	return r.apply(blmemory.Reserve{ID: id, Kind: kind, Bytes: shares * share})
}

// openReading opens a connection that holds shares of a head.
func (r *replay) openReading(id blmemory.HolderID, address string, shares int64) {
	r.t.Helper()
	if !r.open(id, address) {
		r.t.Fatalf("open %d: got refused, want granted", id)
	}
	r.arrived(id, blmemory.PhaseReading)
	if !r.reserve(id, blmemory.KindHead, shares) {
		r.t.Fatalf("reserve for %d: got refused, want granted", id)
	}
}

func (r *replay) checkClosed(reason blmemory.Reason, want ...blmemory.HolderID) {
	r.t.Helper()
	got := make([]blmemory.HolderID, 0, len(r.closed))
	for _, c := range r.closed {
		got = append(got, c.ID)
		if c.Reason != reason {
			r.t.Errorf("reason of closing %d: got %s, want %s", c.ID, c.Reason, reason)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		r.t.Errorf("closed connections: got %v, want %v", got, want)
	}
}

// TestSilentHolderIsClosedFirst guards against callers that are refused while others hold
// memory and send nothing.
func TestSilentHolderIsClosedFirst(t *testing.T) {
	r := newReplay(t)
	r.openReading(1, "flood", 3)
	r.openReading(2, "flood", 4)
	r.openReading(3, "other", 3)
	r.clock.Advance(2 * time.Second)
	r.arrived(3, blmemory.PhaseReading)
	if !r.open(4, "caller") || !r.reserve(4, blmemory.KindHead, 2) {
		t.Error("share of a caller: got refused, want granted")
	}
	r.checkClosed(blmemory.ReasonMemory, 2)
}

// TestLargestAddressIsClosedFirst guards against a client that spreads what it holds over
// many connections.
func TestLargestAddressIsClosedFirst(t *testing.T) {
	r := newReplay(t)
	r.openReading(1, "single", 4)
	for id := range blmemory.HolderID(6) {
		r.openReading(10+id, "flood", 1)
	}
	r.clock.Advance(2 * time.Second)
	r.open(2, "caller")
	if !r.reserve(2, blmemory.KindHead, 1) {
		t.Error("share of a caller: got refused, want granted")
	}
	if len(r.closed) != 1 || r.closed[0].Address != "flood" {
		t.Errorf("closed: got %v, want one of the flood", r.closed)
	}
}

// TestActiveHoldersArentClosed guards against a slow sender whose request is cut for the
// sake of a new one: the new one is refused.
func TestActiveHoldersArentClosed(t *testing.T) {
	r := newReplay(t)
	r.openReading(1, "a", 10)
	r.open(2, "b")
	if r.reserve(2, blmemory.KindHead, 1) {
		t.Error("share beyond the budget: got granted, want refused")
	}
	r.checkClosed("")
}

// TestPassedRequestIsTheLastResort guards against requests that are cut after an upstream
// may have run them: only a share that can't be refused does that, and only to one that
// is silent.
func TestPassedRequestIsTheLastResort(t *testing.T) {
	r := newReplay(t)
	r.openReading(1, "a", 10)
	r.arrived(1, blmemory.PhasePassed)
	r.clock.Advance(time.Minute)
	r.open(2, "b")
	if r.reserve(2, blmemory.KindHead, 1) {
		t.Error("share of a head: got granted, want refused")
	}
	r.checkClosed("")
	r.apply(blmemory.Reserve{ID: 2, Kind: blmemory.KindResponse, Bytes: share, Granted: true})
	r.checkClosed(blmemory.ReasonLastResort, 1)
}

// TestResponseIsNeverRefused guards against a response that is lost after its request has
// run: it takes its share even if nobody can make room.
func TestResponseIsNeverRefused(t *testing.T) {
	r := newReplay(t)
	r.openReading(1, "a", 10)
	if !r.apply(blmemory.Reserve{ID: 1, Kind: blmemory.KindResponse, Bytes: share, Granted: true}) {
		t.Error("share of a response: got refused, want granted")
	}
	r.checkClosed("")
}

// TestSentStartIsGivenUpFirst guards against connections that are closed while memory is
// held for second attempts that aren't needed yet.
func TestSentStartIsGivenUpFirst(t *testing.T) {
	r := newReplay(t)
	for id, shares := range map[blmemory.HolderID]int64{1: 3, 2: 5, 3: 2} {
		r.open(id, "a")
		r.arrived(id, blmemory.PhaseReading)
		if !r.reserve(id, blmemory.KindStart, shares) {
			t.Fatalf("reserve for %d: got refused, want granted", id)
		}
	}
	r.apply(blmemory.StartSent{ID: 1})
	r.apply(blmemory.StartSent{ID: 3})
	r.clock.Advance(time.Minute)
	r.open(4, "b")
	if !r.reserve(4, blmemory.KindHead, 3) {
		t.Error("share of a head: got refused, want granted")
	}
	if got, want := fmt.Sprint(r.givenUp), "[1]"; got != want {
		t.Errorf("starts given up: got %s, want %s", got, want)
	}
	r.checkClosed("")
}

// TestConnectionsThatNeverSendMakeRoom guards against connections on which nothing is sent
// that keep others out: the oldest is closed, one that is in use isn't.
func TestConnectionsThatNeverSendMakeRoom(t *testing.T) {
	r := newReplay(t)
	limit := blmemory.HolderID(limits().Connections[callers])
	for id := range limit {
		r.open(id, "a")
		r.clock.Advance(time.Millisecond)
	}
	r.arrived(0, blmemory.PhasePassed)
	if !r.open(limit, "b") {
		t.Error("connection beyond the limit: got refused, want granted")
	}
	r.checkClosed(blmemory.ReasonConnections, 1)
	if got := r.state.Connections(callers); got != int(limit) {
		t.Errorf("connections: got %d, want %d", got, limit)
	}
}

// TestBusyConnectionsKeepOthersOut guards against requests that are cut for a new
// connection.
func TestBusyConnectionsKeepOthersOut(t *testing.T) {
	r := newReplay(t)
	limit := blmemory.HolderID(limits().Connections[callers])
	for id := range limit {
		r.open(id, "a")
		r.arrived(id, blmemory.PhasePassed)
	}
	r.clock.Advance(time.Hour)
	if r.open(limit, "b") {
		t.Error("connection beyond the limit: got granted, want refused")
	}
	r.checkClosed("")
	if !r.apply(blmemory.Open{ID: limit, Listener: nodes, Address: "b"}) {
		t.Error("connection of a node: got refused, want granted")
	}
}

// TestKindsLeaveRoomForOthers guards against large requests that leave no memory for
// connections with ordinary ones, and against connections that leave none for requests.
func TestKindsLeaveRoomForOthers(t *testing.T) {
	const eighths = 8
	for _, memoryMB := range []int{64, 96, 184, 1024} {
		l := blmemory.NewLimits(memoryMB, 1<<20)
		room := l.Bytes / eighths
		if got := l.Bytes - l.RequestBytes; got < room {
			t.Errorf("room beside requests of %d MB: got %d, want at least %d", memoryMB, got, room)
		}
		taken := int64(l.Connections[callers])*blmemory.ConnectionBytes + l.MessageBytes
		if got := l.Bytes - taken; got < room {
			t.Errorf("room beside connections and messages of %d MB: got %d, want at least %d", memoryMB, got, room)
		}
	}
}

// TestCallersLeaveRoomForNodes guards against connections between nodes, each with many
// requests, that are closed because of what callers hold.
func TestCallersLeaveRoomForNodes(t *testing.T) {
	r := newReplay(t)
	l := limits()
	l.MessageBytes = 2 * share
	r.state = blmemory.New(l)
	r.openReading(1, "a", 8)
	if r.reserve(1, blmemory.KindHead, 1) {
		t.Error("share of a head beside that of nodes: got granted, want refused")
	}
	r.apply(blmemory.Open{ID: 2, Listener: nodes, Address: "b"})
	r.arrived(2, blmemory.PhasePassed)
	if !r.reserve(2, blmemory.KindMessage, 2) {
		t.Error("share of messages: got refused, want granted")
	}
	if r.reserve(2, blmemory.KindMessage, 1) {
		t.Error("share of messages beyond the budget: got granted, want refused")
	}
}

// TestLimitsOfSmallSettings guards against settings for which no connection is accepted.
func TestLimitsOfSmallSettings(t *testing.T) {
	for _, c := range [][2]int{{0, 0}, {1, 1}, {40, 16}, {184, 4100}, {1 << 20, 1 << 20}} {
		l := blmemory.NewLimits(c[0], c[1])
		if l.Bytes < blmemory.ConnectionBytes || l.Connections[callers] < 1 || l.Connections[nodes] < 1 {
			t.Errorf("limits of %v: got %+v, want room for a connection", c, l)
		}
	}
}

// TestSharesAddUp guards against shares that are lost or returned twice: whatever happens,
// those by kind are those of the open connections, and nothing but responses exceeds the
// budget.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newReplay(t)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			r.applyRandom(rt)
			total := int64(0)
			for kind := range blmemory.KindCount {
				if r.state.Used(kind) < 0 {
					rt.Fatalf("shares of %s: got %d, want none below zero", kind, r.state.Used(kind))
				}
				if kind != blmemory.KindResponse {
					total += r.state.Used(kind)
				}
			}
			if total > limits().Bytes {
				rt.Fatalf("shares: got %d, want at most %d", total, limits().Bytes)
			}
		}
		for id := range blmemory.HolderID(20) {
			r.apply(blmemory.Close{ID: id})
		}
		for kind := range blmemory.KindCount {
			if got := r.state.Used(kind); got != 0 {
				rt.Fatalf("shares of %s without connections: got %d, want 0", kind, got)
			}
		}
	})
}

// applyRandom applies a random message.
func (r *replay) applyRandom(rt *rapid.T) {
	id := blmemory.HolderID(rapid.IntRange(0, 19).Draw(rt, "id"))
	kind := blmemory.Kind(rapid.IntRange(1, int(blmemory.KindCount)-1).Draw(rt, "kind"))
	bytes := int64(rapid.IntRange(1, 4*share).Draw(rt, "bytes"))
	r.clock.Advance(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(rt, "message") {
	case 0:
		r.apply(blmemory.Close{ID: id})
		r.apply(blmemory.Open{ID: id, Listener: blmemory.Listener(id % 2), Address: fmt.Sprint(id % 3)})
	case 1, 2:
		r.apply(blmemory.Reserve{ID: id, Kind: kind, Bytes: bytes, Granted: kind == blmemory.KindResponse})
	case 3:
		r.apply(blmemory.Release{ID: id, Kind: kind, Bytes: bytes})
	case 4:
		r.arrived(id, blmemory.Phase(rapid.IntRange(0, int(blmemory.PhaseEnding)).Draw(rt, "phase")))
	case 5:
		r.apply(blmemory.Ended{ID: id})
	case 6:
		r.apply(blmemory.StartSent{ID: id})
	}
}
