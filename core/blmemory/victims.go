package blmemory

import (
	"cmp"
	"time"

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

// oldest puts the connection first on which nothing has arrived for longest.
func oldest(a, b holder) bool {
	return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.id, b.id)) < 0
}

// longest puts the connection first whose request began to arrive first.
func longest(a, b holder) bool {
	return cmp.Or(cmp.Compare(a.beganAt, b.beganAt), cmp.Compare(a.id, b.id)) < 0
}

// slowest puts the connection first whose request arrives most slowly.
func slowest(now bltimer.Instant) before {
	return func(a, b holder) bool {
		return cmp.Or(cmp.Compare(a.bytesPerSecond(now), b.bytesPerSecond(now)), cmp.Compare(a.id, b.id)) < 0
	}
}

// silentReader reports whether a connection holds memory for a request that hasn't been
// passed on, and sends nothing more of it.
func (s State) silentReader(h holder, now bltimer.Instant) bool {
	return h.phase == PhaseReading && h.silent(s.limits.SilentAfter, now)
}

// slowReader reports whether the request of a connection hasn't been passed on, since it
// arrives slowly.
func (s State) slowReader(h holder, now bltimer.Instant) bool {
	return h.phase == PhaseReading && h.began(s.limits.SilentAfter, now) && h.bytesPerSecond(now) < s.limits.SlowBytesPerSecond
}

// slowUpload reports whether a connection has a request that has been passed on, and whose
// body arrives slowly or not at all.
func (s State) slowUpload(h holder, now bltimer.Instant) bool {
	if h.phase != PhaseUploading || !h.began(s.limits.LastResortAfter, now) {
		return false
	}
	return h.silent(s.limits.LastResortAfter, now) || h.bytesPerSecond(now) < s.limits.SlowBytesPerSecond
}

// lastResort reports whether a connection may be closed although its request has been
// passed on, and nothing has arrived on it for long: one with unread messages of a node,
// which no request's timeout ends, and any for a share that can't be refused.
func (s State) lastResort(h holder, granted bool, now bltimer.Instant) bool {
	passed := h.phase == PhasePassed || h.phase == PhaseUploading
	return passed && h.silent(s.limits.LastResortAfter, now) && (granted || h.shares[KindMessage] > 0)
}

// tier is a set of connections that give up their shares before those of later tiers.
type tier struct {
	qualifies func(holder) bool
	first     before
	reason    Reason
}

// closeFirst closes the first connection of the first tier that has one.
func (s State) closeFirst(tiers []tier, eligible func(holder) bool) (State, Effect, bool) {
	for _, t := range tiers {
		h, ok := s.choose(func(h holder) bool { return eligible(h) && t.qualifies(h) }, t.first)
		if ok {
			next, effect := s.closeConnection(h, t.reason)
			return next, effect, true
		}
	}
	return s, nil, false
}

// makeRoom takes back one share for a request: first a buffered start that isn't needed
// unless its request fails, then those of a connection that holds memory and sends
// nothing or little, and as the last resort those of one whose request has been passed on.
func (s State) makeRoom(m Reserve, now bltimer.Instant) (State, Effect, bool) {
	if next, effect, ok := s.giveUpStart(); ok {
		return next, effect, true
	}
	tiers := []tier{
		{func(h holder) bool { return s.silentReader(h, now) }, s.holdsMost, ReasonMemory},
		{func(h holder) bool { return s.slowReader(h, now) && h.began(s.limits.LastResortAfter, now) }, slowest(now), ReasonMemory},
		{func(h holder) bool { return s.slowUpload(h, now) }, slowest(now), ReasonMemory},
		{func(h holder) bool { return s.lastResort(h, m.Granted, now) }, s.holdsMost, ReasonLastResort},
	}
	return s.closeFirst(tiers, func(h holder) bool { return h.id != m.ID && h.requestBytes() > 0 })
}

// makeRoomForConnection takes back one share for a new connection. A connection that may
// send small pieces for as long as it likes would keep its place for ever, so requests that
// arrive slowly make room, and at last those that have taken longest to arrive. A request
// that has been passed on isn't ended for a new connection, unless its body stays away.
func (s State) makeRoomForConnection(listener Listener, now bltimer.Instant) (State, Effect, bool) {
	reading := func(age time.Duration) func(holder) bool {
		return func(h holder) bool { return h.phase == PhaseReading && h.began(age, now) }
	}
	tiers := []tier{
		{func(h holder) bool { return h.phase == PhaseEnding }, oldest, ReasonConnections},
		{func(h holder) bool { return h.phase == PhaseNew && h.silent(s.limits.GraceTime, now) }, oldest, ReasonConnections},
		{func(h holder) bool { return s.silentReader(h, now) }, s.holdsMost, ReasonConnections},
		{func(h holder) bool { return s.slowReader(h, now) }, slowest(now), ReasonConnections},
		{func(h holder) bool { return h.phase == PhaseIdle && h.silent(s.limits.SilentAfter, now) }, oldest, ReasonConnections},
		{reading(s.limits.SilentAfter), slowest(now), ReasonConnections},
		{func(h holder) bool { return s.slowUpload(h, now) }, slowest(now), ReasonConnections},
		{reading(s.limits.GraceTime), longest, ReasonConnections},
		{func(h holder) bool { return h.phase == PhaseNew && h.silent(s.limits.FirstReadTime, now) }, oldest, ReasonConnections},
	}
	return s.closeFirst(tiers, func(h holder) bool { return h.listener == listener })
}
