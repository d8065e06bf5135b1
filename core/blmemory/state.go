package blmemory

import (
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
)

// State is the immutable state of all shares.
type State struct {
	limits  Limits
	holders bltable.Table[HolderID, holder]
	// used holds the shares by kind, byAddress those of each client address, and
	// connections the number of connections of each listener.
	used        [KindCount]int64
	byAddress   bltable.Table[string, int64]
	connections [listenerCount]int
}

// New returns the state without connections.
func New(limits Limits) State {
	return State{limits: limits}
}

// Used returns the shares of a kind, in bytes.
func (s State) Used(kind Kind) int64 { return s.used[kind] }

// Limits returns the limits.
func (s State) Limits() Limits { return s.limits }

// Connections returns the number of connections of a listener.
func (s State) Connections(listener Listener) int { return s.connections[listener] }

// Decide returns the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Open:
		return s.open(m, now)
	case Reserve:
		return s.reserve(m, now)
	case Release:
		return s.release(m), nil
	case Seen:
		return s.seen(m), nil
	case Ended:
		return s.update(m.ID, func(h holder) holder { return h.withoutRequest(now) }), nil
	case StartSent:
		return s.update(m.ID, func(h holder) holder { return h.withStartSent(true) }), nil
	case Close:
		return s.without(m.ID), nil
	}
	return s, nil
}

// total returns all shares.
func (s State) total() int64 {
	total := int64(0)
	for _, bytes := range s.used {
		total += bytes
	}
	return total
}

// fits reports whether there is room for a further share.
func (s State) fits(kind Kind, bytes int64) bool {
	total := s.total() + bytes
	if kind != KindMessage {
		total += max(s.limits.MessageBytes-s.used[KindMessage], 0)
	}
	if kind == KindConnection {
		return total <= s.limits.Bytes
	}
	return total <= s.limits.Bytes && total-s.used[KindConnection] <= s.limits.RequestBytes
}

// Fits reports whether there is room for what a message asks for. If there isn't, Seen has
// to precede it.
func (s State) Fits(message Message) bool {
	switch m := message.(type) {
	case Open:
		return s.connections[m.Listener] < s.limits.Connections[m.Listener] && s.fits(KindConnection, connectionBytes(m.Listener))
	case Reserve:
		return s.fits(m.Kind, m.Bytes)
	}
	return true
}

// seen returns the state with the activities of connections.
func (s State) seen(m Seen) State {
	for _, a := range m.Activities {
		h, ok := s.holders.Get(a.ID)
		if ok && h.activity() != a {
			s.holders = s.holders.With(a.ID, h.withActivity(a))
		}
	}
	return s
}

func (s State) open(m Open, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for !s.Fits(m) {
		next, effect, ok := s.makeRoomForConnection(m.Listener, now)
		if !ok {
			return s, append(effects, Answer{Reason: ReasonConnections})
		}
		s, effects = next, append(effects, effect)
	}
	h := holder{id: m.ID, listener: m.Listener, address: m.Address, arrivedAt: now, beganAt: now}
	return s.with(h.withShare(KindConnection, connectionBytes(m.Listener))), append(effects, Answer{Granted: true})
}

func (s State) reserve(m Reserve, now bltimer.Instant) (State, []Effect) {
	h, ok := s.holders.Get(m.ID)
	if !ok {
		return s, []Effect{Answer{Reason: ReasonMemory}}
	}
	var effects []Effect
	for !s.Fits(m) {
		next, effect, ok := s.makeRoom(m, now)
		if !ok && !m.Granted {
			return s, append(effects, Answer{Reason: ReasonMemory})
		}
		if !ok {
			break
		}
		s, effects = next, append(effects, effect)
	}
	// The start of the requester's own body may have been given up.
	h, _ = s.holders.Get(h.id)
	return s.with(h.withShare(m.Kind, h.shares[m.Kind]+m.Bytes)), append(effects, Answer{Granted: true})
}

func (s State) release(m Release) State {
	return s.update(m.ID, func(h holder) holder { return h.withShare(m.Kind, max(h.shares[m.Kind]-m.Bytes, 0)) })
}

// update returns the state with a connection changed, if there is one.
func (s State) update(id HolderID, change func(holder) holder) State {
	h, ok := s.holders.Get(id)
	if !ok {
		return s
	}
	return s.with(change(h))
}

// with returns the state with a connection added or replaced.
func (s State) with(h holder) State {
	s = s.without(h.id)
	s.holders = s.holders.With(h.id, h)
	for kind, bytes := range h.shares {
		s.used[kind] += bytes
	}
	s.connections[h.listener]++
	held, _ := s.byAddress.Get(h.address)
	s.byAddress = s.byAddress.With(h.address, held+h.bytes())
	return s
}

// without returns the state without a connection.
func (s State) without(id HolderID) State {
	h, ok := s.holders.Get(id)
	if !ok {
		return s
	}
	s.holders = s.holders.Without(id)
	for kind, bytes := range h.shares {
		s.used[kind] -= bytes
	}
	s.connections[h.listener]--
	held, _ := s.byAddress.Get(h.address)
	if held -= h.bytes(); held > 0 {
		s.byAddress = s.byAddress.With(h.address, held)
	} else {
		s.byAddress = s.byAddress.Without(h.address)
	}
	return s
}
