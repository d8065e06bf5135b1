package bllead

import (
	"slices"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// capacityMoveDelay is how long a new lead collects heartbeats before it
	// replaces a responsive standby by one with more capacity.
	capacityMoveDelay = 2 * time.Second
	// capacityMoveFactor is the minimum ratio of capacities that justifies moving
	// a role.
	capacityMoveFactor = 2
)

// outranks reports whether a has so much more capacity than b that the role of
// lead or standby should move from b to a.
func outranks(a, b blvalue.Host) bool {
	return b.Capacity > 0 && a.Capacity >= capacityMoveFactor*b.Capacity
}

// shouldReplaceStandby reports whether the chosen peer should replace a standby
// that answers, since the first standby is appointed when few processes have
// reported. A peer in the lead's own failure domain doesn't replace a standby in
// another one.
func (s State) shouldReplaceStandby(chosen, current blvalue.Host, now bltimer.Instant) bool {
	keepsDomain := chosen.Domain != s.self.Domain || current.Domain == s.self.Domain
	return keepsDomain && outranks(chosen, current) && now.Sub(s.leadSince) > capacityMoveDelay
}

// isPeer reports whether the host is among the candidates for the standby.
func (s State) isPeer(host blvalue.Host) bool {
	return slices.ContainsFunc(s.peers, func(peer blvalue.Host) bool { return peer.Incarnation == host.Incarnation })
}

// peerReportTime is the time in which the nodes of a fleet report to a new lead.
const peerReportTime = 2 * time.Second

// updateStandby writes a record with another standby when the current one doesn't
// answer or is no candidate any more, or a peer has far more capacity. It requires
// the lease of the store.
func updateStandby(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	if s.writing != nil || !now.Before(s.leaseUntil) || !s.hasLease() || s.leaving {
		return s, effects
	}
	current, ok := s.standby()
	chosen := s.chooseStandby(current.Incarnation)
	if chosen.IsZero() {
		return s, effects
	}
	suited := s.isPeer(current) || now.Sub(s.leadSince) < peerReportTime
	if ok && suited && now.Sub(s.standbyContactAt) < standbyTimeout && !s.shouldReplaceStandby(chosen, current, now) {
		return s, effects
	}
	var write WriteRecord
	s, write = s.withWrite(s.stored.Record.WithStandby(chosen, ""))
	s.standbyContactAt = now
	return s, append(effects, write)
}

// chooseStandby returns the peer with the most capacity, preferring those in
// another failure domain. It never returns the excluded incarnation or one that
// has terminated.
func (s State) chooseStandby(excluded blvalue.Incarnation) blvalue.Host {
	var best blvalue.Host
	for _, peer := range s.peers {
		if peer.Incarnation == s.self.Incarnation || peer.Incarnation == excluded || s.hasEnded(peer.Incarnation) {
			continue
		}
		if best.IsZero() || s.prefers(peer, best) {
			best = peer
		}
	}
	return best
}

// prefers reports whether a is the better standby: in another failure domain,
// then with more capacity.
func (s State) prefers(a, b blvalue.Host) bool {
	if otherDomain := a.Domain != s.self.Domain; otherDomain != (b.Domain != s.self.Domain) {
		return otherDomain
	}
	return a.Capacity > b.Capacity
}
