package blbudget

import (
	"sync"
	"sync/atomic"
	"time"

	"bergamotlead/core/blmemory"
)

// Holder holds the shares of one connection. A nil Holder is that of a connection without
// a budget, to which everything is granted.
type Holder struct {
	budget          *Budget
	id              blmemory.HolderID
	address         string
	closeConnection func()
	// phase and arrivedAt are the activity of the connection, which the decision asks for
	// when memory is short. An ordinary request changes nothing else.
	phase              atomic.Int32
	arrivedAt, beganAt atomic.Int64
	arrived            atomic.Int64
	// requestShares is set while there are shares that the end of the request returns.
	requestShares atomic.Bool

	mu sync.Mutex
	// dropStart drops the buffered start of a body, and reports whether it might.
	dropStart func() bool
}

// Reserve takes a share, and reports whether there is one.
func (h *Holder) Reserve(kind blmemory.Kind, bytes int64) bool {
	if h == nil || bytes <= 0 {
		return true
	}
	h.requestShares.Store(true)
	if h.budget.decide(blmemory.Reserve{ID: h.id, Kind: kind, Bytes: bytes}, nil) {
		return true
	}
	h.budget.refused(blmemory.ReasonMemory, kind.String(), h.address)
	return false
}

// Refused counts and logs a request that is refused for another reason than memory.
func (h *Holder) Refused(reason blmemory.Reason, kind blmemory.Kind) {
	if h != nil {
		h.budget.refused(reason, kind.String(), h.address)
	}
}

// Take takes a share that can't be refused. Others have to make room for it.
func (h *Holder) Take(kind blmemory.Kind, bytes int64) {
	if h == nil || bytes <= 0 {
		return
	}
	h.requestShares.Store(true)
	h.budget.decide(blmemory.Reserve{ID: h.id, Kind: kind, Bytes: bytes, Granted: true}, nil)
}

// Release returns a part of the shares of a kind.
func (h *Holder) Release(kind blmemory.Kind, bytes int64) {
	if h == nil || bytes <= 0 {
		return
	}
	h.budget.decide(blmemory.Release{ID: h.id, Kind: kind, Bytes: bytes}, nil)
}

// Arrived tells that bytes have arrived in a phase. The first ones in PhaseReading begin a
// request.
func (h *Holder) Arrived(phase blmemory.Phase, count int) {
	if h == nil {
		return
	}
	now := int64(h.budget.clock.Now())
	if phase == blmemory.PhaseReading && h.phase.Load() != int32(phase) {
		h.beganAt.Store(now)
		h.arrived.Store(0)
	}
	h.arrivedAt.Store(now)
	h.arrived.Add(int64(count))
	// The phase comes last: with the times of the last request, a new one would seem slow.
	h.phase.Store(int32(phase))
}

// ArrivedMore tells that more bytes have arrived in the same phase.
func (h *Holder) ArrivedMore(count int) {
	if h != nil {
		h.arrivedAt.Store(int64(h.budget.clock.Now()))
		h.arrived.Add(int64(count))
	}
}

// Enter tells that a phase has begun in which nothing has arrived yet.
func (h *Holder) Enter(phase blmemory.Phase) { h.Arrived(phase, 0) }

// BodyEnded tells that the body of an upload has arrived.
func (h *Holder) BodyEnded() {
	if h != nil {
		h.phase.CompareAndSwap(int32(blmemory.PhaseUploading), int32(blmemory.PhasePassed))
	}
}

// EndRequest returns all shares of a request.
func (h *Holder) EndRequest() {
	if h == nil {
		return
	}
	h.Enter(blmemory.PhaseIdle)
	if h.requestShares.Swap(false) {
		h.KeepStart(nil)
		h.budget.decide(blmemory.Ended{ID: h.id}, nil)
	}
}

// KeepStart sets the function that drops the buffered start of the request's body when
// its memory is needed. It reports false if the start has to be kept for the moment.
func (h *Holder) KeepStart(drop func() bool) {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.dropStart = drop
	h.mu.Unlock()
}

// StartSent tells that the buffered start has been sent, so that it may be dropped.
func (h *Holder) StartSent() {
	if h == nil {
		return
	}
	h.budget.decide(blmemory.StartSent{ID: h.id}, nil)
}

// giveUpStart drops the buffered start, whose share has been taken back. If it has to be
// kept, the share is taken again.
func (h *Holder) giveUpStart(bytes int64) {
	h.mu.Lock()
	drop := h.dropStart
	h.mu.Unlock()
	if drop == nil || drop() {
		return
	}
	h.Take(blmemory.KindStart, bytes)
}

// Close returns all shares of the connection.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	delete(h.budget.holders, h.id)
	h.budget.mu.Unlock()
	h.budget.decide(blmemory.Close{ID: h.id}, nil)
}

// end closes the connection for the sake of others.
func (h *Holder) end(closed blmemory.CloseConnection) {
	b := h.budget
	b.metrics.ConnectionClosed(string(closed.Reason))
	if allowed, suppressed := b.logLimiter.Allow("closed "+string(closed.Reason), time.Now()); allowed {
		b.logger.Warn("connection closed", "reason", string(closed.Reason), "client", closed.Address,
			"held_bytes", closed.Bytes, "left_out", suppressed)
	}
	h.closeConnection()
}
