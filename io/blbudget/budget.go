// Package blbudget holds the shares of the memory of the process, which connections take
// and return. The decision is that of core/blmemory.
package blbudget

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blmemory"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/bllog"
	"bergamotlead/io/blmetric"
)

// logLinesPerSecond limits the log lines about closed connections, for each reason.
const logLinesPerSecond = 10

// Budget holds the shares of all connections of a process. A lock guards its state: a
// connection has to know the answer before it reads on, and to hand each message over to
// the thread of a duty would cost two changes of threads.
type Budget struct {
	clock      bltimer.Clock
	metrics    *blmetric.Set
	logger     hclog.Logger
	logLimiter *bllog.RateLimiter
	ids        atomic.Uint64

	mu      sync.Mutex
	state   blmemory.State
	holders map[blmemory.HolderID]*Holder
}

// New returns the budget with the given limits.
func New(limits blmemory.Limits, clock bltimer.Clock, metrics *blmetric.Set, logger hclog.Logger) *Budget {
	b := &Budget{
		clock: clock, metrics: metrics, logger: logger, logLimiter: bllog.NewRateLimiter(logLinesPerSecond),
		state: blmemory.New(limits), holders: map[blmemory.HolderID]*Holder{},
	}
	b.addGauges()
	return b
}

func (b *Budget) addGauges() {
	for kind := range blmemory.KindCount {
		b.metrics.Gauge(`bergamotlead_memory_reserved_bytes{kind="`+kind.String()+`"}`, func() float64 {
			return float64(b.View().Used(kind))
		})
	}
	for listener, name := range map[blmemory.Listener]string{
		blmemory.ListenerCallers: "callers", blmemory.ListenerNodes: "nodes", blmemory.ListenerOthers: "others",
	} {
		b.metrics.Gauge(`bergamotlead_connections{listener="`+name+`"}`, func() float64 {
			return float64(b.View().Connections(listener))
		})
	}
	b.metrics.Gauge("bergamotlead_memory_budget_bytes", func() float64 { return float64(b.View().Limits().Bytes) })
}

// View returns a snapshot of the state.
func (b *Budget) View() blmemory.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// Open takes the share of a new connection. It returns nil if there is none. The holder
// calls closeConnection when the connection has to be closed for the sake of others.
func (b *Budget) Open(listener blmemory.Listener, address string, closeConnection func()) *Holder {
	h := &Holder{budget: b, id: blmemory.HolderID(b.ids.Add(1)), address: address, closeConnection: closeConnection}
	h.Enter(blmemory.PhaseNew)
	h.beganAt.Store(h.arrivedAt.Load())
	if !b.decide(blmemory.Open{ID: h.id, Listener: listener, Address: address}, h) {
		b.refused(blmemory.ReasonConnections, "connection", address)
		return nil
	}
	return h
}

// decide applies the decision to a message and performs its effects. It reports whether
// what the message asked for was granted. A holder is known from its Open on.
func (b *Budget) decide(message blmemory.Message, opened *Holder) bool {
	b.mu.Lock()
	if opened != nil {
		b.holders[opened.id] = opened
	}
	if !b.state.Fits(message) {
		b.state, _ = blmemory.Decide(b.state, b.activities(), b.clock.Now())
	}
	state, effects := blmemory.Decide(b.state, message, b.clock.Now())
	b.state = state
	granted := false
	var actions []func()
	for _, effect := range effects {
		switch e := effect.(type) {
		case blmemory.Answer:
			granted = e.Granted
		case blmemory.CloseConnection:
			if h, ok := b.holders[e.ID]; ok {
				delete(b.holders, e.ID)
				actions = append(actions, func() { h.end(e) })
			}
		case blmemory.GiveUpStart:
			if h, ok := b.holders[e.ID]; ok {
				actions = append(actions, func() { h.giveUpStart(e.Bytes) })
			}
		}
	}
	if opened != nil && !granted {
		delete(b.holders, opened.id)
	}
	b.mu.Unlock()
	for _, action := range actions {
		action()
	}
	return granted
}

// activities returns what all connections are used for. The mutex is held.
func (b *Budget) activities() blmemory.Seen {
	seen := blmemory.Seen{Activities: make([]blmemory.Activity, 0, len(b.holders))}
	for id, h := range b.holders {
		seen.Activities = append(seen.Activities, blmemory.Activity{
			ID: id, Phase: blmemory.Phase(h.phase.Load()), ArrivedAt: bltimer.Instant(h.arrivedAt.Load()),
			BeganAt: bltimer.Instant(h.beganAt.Load()), Bytes: h.arrived.Load(),
		})
	}
	return seen
}

// refused counts and logs a share that was refused.
func (b *Budget) refused(reason blmemory.Reason, kind, address string) {
	b.metrics.ShareRefused(string(reason), kind)
	if allowed, suppressed := b.logLimiter.Allow("refused "+kind, time.Now()); allowed {
		b.logger.Warn("client refused", "reason", string(reason), "share", kind, "client", address, "left_out", suppressed)
	}
}
