package bllead

import (
	"slices"
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// askStandby calls the standby at the interval of lease renewals, so that the
// standby knows that the lead is alive. As soon as the lease has missed a renewal,
// it calls more often and asks for a promise.
func askStandby(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	standby, ok := s.standby()
	missed := s.missedRenewal(now)
	interval := s.timing.renewInterval()
	if missed {
		interval /= renewalsPerLease
	}
	if !ok || now.Sub(s.standbyAskedAt) < interval {
		return s, effects
	}
	s.standbyAskedAt = now
	return s, append(effects, AskStandby{
		Term: s.stored.Record.Term, Standby: standby, WantPromise: missed && s.writing == nil,
	})
}

// missedRenewal reports whether the store has left the renewals unanswered for the
// time between two of them, or the lease has expired. The lease itself tells less:
// with a slow store much of it has passed when it is acquired or renewed.
func (s State) missedRenewal(now bltimer.Instant) bool {
	unanswered := s.unansweredSince != 0 && now.Sub(s.unansweredSince) >= s.timing.renewInterval()
	return unanswered || !now.Before(s.leaseUntil)
}

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

const (
	// retiringDelay is how long the host of a lead has to be about to be removed
	// before the lead moves.
	retiringDelay = time.Second
	// peerReportTime is the time in which the nodes of a fleet report to a new lead.
	peerReportTime = 2 * time.Second
)

// withRetiring tracks since when the host of this process is likely to be removed.
func (s State) withRetiring(retiring bool, now bltimer.Instant) State {
	switch {
	case !retiring:
		s.retiringSince = 0
	case s.retiringSince == 0:
		s.retiringSince = now
	}
	return s
}

// retires reports whether this process should leave the lead to the standby because
// its host is likely to be removed for good.
func (s State) retires(standby blvalue.Host, now bltimer.Instant) bool {
	return s.retiringSince != 0 && now.Sub(s.retiringSince) > retiringDelay && s.isPeer(standby)
}

// isPeer reports whether the host is among the candidates for the standby.
func (s State) isPeer(host blvalue.Host) bool {
	return slices.ContainsFunc(s.peers, func(peer blvalue.Host) bool { return peer.Incarnation == host.Incarnation })
}

// shouldTransferLead reports whether the standby answers and should become lead: it
// has much more capacity, or the host of this process is likely to be removed.
func (s State) shouldTransferLead(now bltimer.Instant) bool {
	standby, ok := s.standby()
	if !ok || s.Role() != RoleLeading || s.writing != nil || s.restored() || !outranks(standby, s.self) && !s.retires(standby, now) {
		return false
	}
	return now.Sub(s.leadSince) > 2*capacityMoveDelay && now.Sub(s.standbyContactAt) < s.timing.Lease && !s.missedRenewal(now)
}

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

func standbyAsked(s State, m StandbyAsked, now bltimer.Instant) (State, []Effect) {
	answer := StandbyAnswer{Incarnation: s.self.Incarnation}
	s.heardTerm = max(s.heardTerm, m.Term)
	if m.Resigned != "" {
		return leadTransferred(s, m, answer, now)
	}
	answer.Refusal = s.promiseRefusal(m, now)
	answer.StoreAnswers = s.mayReplaceByStore(now)
	if answer.Refusal == "" && m.WantPromise {
		answer.Promised = true
		s.promisedUntil = max(s.promisedUntil, now.Add(s.timing.Lease+s.timing.ClockMargin))
	}
	effects := []Effect{AnswerStandby{Reply: m.Reply, Answer: answer}}
	if m.Probe {
		return probeStore(s, effects, true, now)
	}
	if m.Standby == s.self.Incarnation && s.Role() == RoleFollower && m.Term >= s.stored.Record.Term {
		s.leadContactAt = now
		s.standbyTerm = m.Term
		s.standbyCalledAt = now
		s, effects = probeStore(s, effects, m.WantPromise, now)
	}
	return s, effects
}

// probeInterval is the interval at which a lead that can't reach the store probes
// a node that may be able to.
const probeInterval = 250 * time.Millisecond

// probeCandidate asks a node whether it reaches the store while this lead doesn't.
func probeCandidate(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	standby, _ := s.standby()
	if s.timing.HoldLimit == 0 || s.Role() != RoleHolding || s.candidate.IsZero() || s.candidate == standby {
		return s, effects
	}
	if now.Sub(s.probedAt) < probeInterval {
		return s, effects
	}
	s.probedAt = now
	return s, append(effects, AskStandby{Term: s.stored.Record.Term, Standby: s.candidate, Probe: true})
}

// leadTransferred handles the lead's notice that it has stepped down. From then on
// neither its lease nor a promise given to it prevents a takeover.
func leadTransferred(s State, m StandbyAsked, answer StandbyAnswer, now bltimer.Instant) (State, []Effect) {
	if m.Standby == s.self.Incarnation && s.Role() == RoleFollower && m.Term >= s.stored.Record.Term {
		s.resignedTerm = m.Term
		s.leadContactAt = 0
		s.storeReadAt = 0
		s.promisedUntil = 0
		s.standbyTerm = m.Term
		s.standbyCalledAt = now
		s.resigned = m.Resigned
	}
	return s, []Effect{AnswerStandby{Reply: m.Reply, Answer: answer}}
}

// probeStore reads the record while the lead can't reach the store: a standby that
// reaches the store takes over instead of extending the lead's hold by a promise.
func probeStore(s State, effects []Effect, wantPromise bool, now bltimer.Instant) (State, []Effect) {
	if !wantPromise || now.Sub(s.storeReadAt) < standbyReadInterval {
		return s, effects
	}
	s.storeReadAt = now
	return s, append(effects, ReadRecord{})
}

// promiseRefusal returns the reason for refusing the promise, or an empty string.
func (s State) promiseRefusal(m StandbyAsked, now bltimer.Instant) string {
	switch {
	case m.Standby != s.self.Incarnation:
		return "not the standby: another incarnation"
	case s.Role() != RoleFollower:
		return "role is " + string(s.Role())
	case s.writing != nil:
		return "a write of the record is unresolved"
	case m.Term < s.stored.Record.Term:
		return "a later term is known"
	case s.leaving:
		return "leaving"
	case s.mayReplaceByStore(now):
		return "the store answers here"
	}
	return ""
}

// reachesStore reports whether the store has answered this process within the last
// half of a lease.
func (s State) reachesStore(now bltimer.Instant) bool {
	return s.storeContactAt != 0 && now.Sub(s.storeContactAt) < s.timing.Lease/2
}

// mayReplaceByStore reports whether this process reaches the store and could take over
// by it. After a restore it couldn't yet, so that the lead had better go on.
func (s State) mayReplaceByStore(now bltimer.Instant) bool {
	return s.reachesStore(now) && !s.restored()
}

// candidateAnswered transfers the lead to the probed node if it reaches the store
// while this lead doesn't.
func candidateAnswered(s State, m StandbyAnswered, now bltimer.Instant) (State, []Effect) {
	if m.Asked != s.candidate.Incarnation || !m.Answer.StoreAnswers || s.Role() != RoleHolding || s.writing != nil {
		return s, nil
	}
	return transferTo(s, s.candidate, now)
}

func standbyAnswered(s State, m StandbyAnswered, now bltimer.Instant) (State, []Effect) {
	standby := s.stored.Record.Standby
	if m.Failed {
		return s, nil
	}
	if m.Asked != standby.Incarnation {
		return candidateAnswered(s, m, now)
	}
	if m.Answer.Incarnation != standby.Incarnation {
		return s.withEnded(standby.Incarnation, now), nil
	}
	s.standbyContactAt = now
	if s.leads() && s.writing == nil && m.Answer.StoreAnswers && s.missedRenewal(now) {
		return transferToStandby(s, now)
	}
	if m.Answer.Promised && s.leads() && s.writing == nil {
		s.promiseUntil = max(s.promiseUntil, m.SentAt.Add(s.timing.Lease-s.timing.ClockMargin))
	}
	return s, nil
}
