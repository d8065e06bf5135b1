package blmemory

import (
	"cmp"

	"bergamotlead/core/bltimer"
)

// before orders connections by who gives up its shares first.
type before func(a, b holder) bool

// choose returns the connection that comes first among those that qualify.
func (s State) choose(qualifies func(holder) bool, first before) (holder, bool) {
	var chosen holder
	found := false
	for _, h := range s.holders.All() {
		if qualifies(h) && (!found || first(h, chosen)) {
			chosen, found = h, true
		}
	}
	return chosen, found
}

// closeConnection takes back the shares of a connection and closes it.
func (s State) closeConnection(h holder, reason Reason) (State, Effect) {
	return s.without(h.id), CloseConnection{ID: h.id, Listener: h.listener, Address: h.address, Reason: reason, Bytes: h.bytes()}
}

// giveUpStart takes back the largest buffered start of a body that has been sent, and
// among equal ones that of the connection that has been silent longest.
func (s State) giveUpStart() (State, Effect, bool) {
	h, ok := s.choose(
		func(h holder) bool { return h.startSent && h.shares[KindStart] > 0 },
		func(a, b holder) bool {
			return cmp.Or(cmp.Compare(b.shares[KindStart], a.shares[KindStart]), cmp.Compare(a.arrivedAt, b.arrivedAt)) < 0
		})
	if !ok {
		return s, nil, false
	}
	return s.with(h.withShare(KindStart, 0).withStartSent(false)), GiveUpStart{ID: h.id, Bytes: h.shares[KindStart]}, true
}

// holdsMost puts the address that holds most first, then the connection that does, then
// the one that has been silent longest.
func (s State) holdsMost(a, b holder) bool {
	heldByA, _ := s.byAddress.Get(a.address)
	heldByB, _ := s.byAddress.Get(b.address)
	return cmp.Or(cmp.Compare(heldByB, heldByA), cmp.Compare(b.bytes(), a.bytes()), cmp.Compare(a.arrivedAt, b.arrivedAt)) < 0
}

// silentReader reports whether a connection holds memory for a request that hasn't been
// passed on, and sends nothing more of it.
func (s State) silentReader(h holder, now bltimer.Instant) bool {
	return h.phase == PhaseReading && now.Sub(h.arrivedAt) >= s.limits.SilentAfter
}

// lastResort reports whether a connection may be closed although its request has been
// passed on, and nothing has arrived on it for long: one with unread messages of a node,
// which no request's timeout ends, and any for a share that can't be refused.
func (s State) lastResort(h holder, granted bool, now bltimer.Instant) bool {
	return h.phase == PhasePassed && now.Sub(h.arrivedAt) >= s.limits.LastResortAfter && (granted || h.shares[KindMessage] > 0)
}

// makeRoom takes back one share for a request: first a buffered start that isn't needed
// unless its request fails, then those of a connection that holds memory and sends
// nothing, and as the last resort those of one whose request has been passed on.
func (s State) makeRoom(m Reserve, now bltimer.Instant) (State, Effect, bool) {
	if next, effect, ok := s.giveUpStart(); ok {
		return next, effect, true
	}
	h, ok := s.choose(func(h holder) bool {
		return h.id != m.ID && h.requestBytes() > 0 && s.silentReader(h, now)
	}, s.holdsMost)
	if ok {
		next, effect := s.closeConnection(h, ReasonMemory)
		return next, effect, true
	}
	h, ok = s.choose(func(h holder) bool {
		return h.id != m.ID && h.requestBytes() > 0 && s.lastResort(h, m.Granted, now)
	}, s.holdsMost)
	if !ok {
		return s, nil, false
	}
	next, effect := s.closeConnection(h, ReasonLastResort)
	return next, effect, true
}

// makeRoomForConnection takes back one share for a new connection: first that of one on
// which nothing has arrived, then that of one that holds memory and sends nothing, then
// that of the one that has been idle longest. A request that has been passed on isn't
// ended for a new connection.
func (s State) makeRoomForConnection(listener Listener, now bltimer.Instant) (State, Effect, bool) {
	oldest := func(a, b holder) bool {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id)) < 0
	}
	h, ok := s.choose(func(h holder) bool { return h.listener == listener && h.phase == PhaseNew }, oldest)
	if !ok {
		h, ok = s.choose(func(h holder) bool { return h.listener == listener && s.silentReader(h, now) }, s.holdsMost)
	}
	if !ok {
		h, ok = s.choose(func(h holder) bool {
			return h.listener == listener && h.phase == PhaseIdle && now.Sub(h.arrivedAt) >= s.limits.SilentAfter
		}, oldest)
	}
	if !ok {
		return s, nil, false
	}
	next, effect := s.closeConnection(h, ReasonConnections)
	return next, effect, true
}
