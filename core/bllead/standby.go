package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// askStandby keeps the standby informed, and asks for its promise as soon as
// the lease has missed a renewal.
func askStandby(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	standby, ok := s.standby()
	missed := s.missesStore(now)
	every := s.timing.renewEvery()
	if missed {
		every /= renewals
	}
	if !ok || now.Sub(s.askedAt) < every {
		return s, effects
	}
	s.askedAt = now
	return s, append(effects, AskStandby{
		Term: s.stored.Record.Term, Standby: standby, WantPromise: missed && s.writing == nil,
	})
}

// missesStore reports whether the lease has missed a renewal.
func (s State) missesStore(now bltimer.Instant) bool {
	return s.leaseUntil.Sub(now) < s.timing.Lease-2*s.timing.renewEvery()
}

const (
	// upgradeAfter is how long a lead gathers reports before it names a standby
	// with more capacity in place of one that answers.
	upgradeAfter = 2 * time.Second
	// upgradeFactor is how many times the capacity of the other the better
	// process has.
	upgradeFactor = 2
)

// outranks reports whether a process has so much more capacity than another that
// the lead, or its place in waiting, should pass to it.
func outranks(a, b blvalue.Host) bool {
	return b.Capacity > 0 && a.Capacity >= upgradeFactor*b.Capacity
}

// upgrades reports whether a standby that answers should make room for another:
// the first one was named when few processes had reported.
func (s State) upgrades(chosen, current blvalue.Host, now bltimer.Instant) bool {
	apart := chosen.Domain != s.self.Domain || current.Domain == s.self.Domain
	return apart && outranks(chosen, current) && now.Sub(s.gainedAt) > upgradeAfter
}

// yields reports whether the lead should pass to its standby, which answers and
// has far more capacity.
func (s State) yields(now bltimer.Instant) bool {
	standby, ok := s.standby()
	if !ok || s.Role() != RoleLeading || s.writing != nil || !outranks(standby, s.self) {
		return false
	}
	return now.Sub(s.gainedAt) > 2*upgradeAfter && now.Sub(s.standbyHeard) < s.timing.Lease && !s.missesStore(now)
}

// nameStandby writes a record with another standby when there is none that
// answers, or a far better one. It needs the store.
func nameStandby(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	if s.writing != nil || !now.Before(s.leaseUntil) || s.leaving {
		return s, effects
	}
	current, ok := s.standby()
	chosen := s.chooseStandby(current.Incarnation)
	if chosen.IsZero() {
		return s, effects
	}
	if ok && now.Sub(s.standbyHeard) < standbySilence && !s.upgrades(chosen, current, now) {
		return s, effects
	}
	var write WriteRecord
	s, write = s.withWrite(s.stored.Record.WithStandby(chosen, ""))
	s.standbyHeard = now
	return s, append(effects, write)
}

// chooseStandby returns the peer with the most capacity in another failure
// domain, or else any peer.
func (s State) chooseStandby(silent blvalue.Incarnation) blvalue.Host {
	var found blvalue.Host
	for _, peer := range s.peers {
		if peer.Incarnation == s.self.Incarnation || peer.Incarnation == silent || s.hasEnded(peer.Incarnation) {
			continue
		}
		if found.IsZero() || s.prefers(peer, found) {
			found = peer
		}
	}
	return found
}

// prefers reports whether a is the better standby: in another failure domain,
// then with more capacity.
func (s State) prefers(a, b blvalue.Host) bool {
	if apart := a.Domain != s.self.Domain; apart != (b.Domain != s.self.Domain) {
		return apart
	}
	return a.Capacity > b.Capacity
}

func standbyAsked(s State, m StandbyAsked, now bltimer.Instant) (State, []Effect) {
	answer := StandbyAnswer{Incarnation: s.self.Incarnation}
	if m.Resigned != "" {
		return standbyCalled(s, m, answer)
	}
	answer.Refusal = s.refusesPromise(m, now)
	answer.StoreAnswers = s.reachesStore(now)
	if answer.Refusal == "" && m.WantPromise {
		answer.Promised = true
		s.promisedUntil = max(s.promisedUntil, now.Add(s.timing.Lease+s.timing.Margin))
	}
	effects := []Effect{AnswerStandby{Reply: m.Reply, Answer: answer}}
	if m.Probe {
		return probeStore(s, effects, true, now)
	}
	if m.Standby == s.self.Incarnation && s.Role() == RoleFollower && m.Term >= s.stored.Record.Term {
		s.leadHeard = now
		s.askedTerm = m.Term
		s, effects = probeStore(s, effects, m.WantPromise, now)
	}
	return s, effects
}

// probeEvery is how often a lead without the store asks a node that may reach
// it.
const probeEvery = 250 * time.Millisecond

// probeFresh asks a node that may reach the store, while this lead doesn't,
// whether it does.
func probeFresh(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	standby, _ := s.standby()
	if s.timing.HoldLimit == 0 || s.Role() != RoleHolding || s.fresh.IsZero() || s.fresh == standby {
		return s, effects
	}
	if now.Sub(s.probedAt) < probeEvery {
		return s, effects
	}
	s.probedAt = now
	return s, append(effects, AskStandby{Term: s.stored.Record.Term, Standby: s.fresh, Probe: true})
}

// standbyCalled takes the lead's word that it gives up: neither its lease nor a
// promise to it binds any more.
func standbyCalled(s State, m StandbyAsked, answer StandbyAnswer) (State, []Effect) {
	if m.Standby == s.self.Incarnation && s.Role() == RoleFollower && m.Term >= s.stored.Record.Term {
		s.resignedTerm = m.Term
		s.leadHeard = 0
		s.storeSent = 0
		s.promisedUntil = 0
		s.askedTerm = m.Term
		s.resigned = m.Resigned
	}
	return s, []Effect{AnswerStandby{Reply: m.Reply, Answer: answer}}
}

// probeStore reads the store while the lead can't: a standby that reaches it
// takes over rather than let the lead hold.
func probeStore(s State, effects []Effect, wantPromise bool, now bltimer.Instant) (State, []Effect) {
	if !wantPromise || now.Sub(s.storeSent) < standbyReadEvery {
		return s, effects
	}
	s.storeSent = now
	return s, append(effects, ReadRecord{})
}

// refusesPromise returns why the standby promises nothing, or empty text.
func (s State) refusesPromise(m StandbyAsked, now bltimer.Instant) string {
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
	case s.reachesStore(now):
		return "the store answers here"
	}
	return ""
}

// reachesStore reports whether the store has answered this process of late.
func (s State) reachesStore(now bltimer.Instant) bool {
	return s.storeHeard != 0 && now.Sub(s.storeHeard) < s.timing.Lease/2
}

// freshAnswered hands the lead over to a node that reaches the store while this
// lead doesn't.
func freshAnswered(s State, m StandbyAnswered) (State, []Effect) {
	if m.Asked != s.fresh.Incarnation || !m.Answer.StoreAnswers || s.Role() != RoleHolding || s.writing != nil {
		return s, nil
	}
	return callSuccessor(s, s.fresh)
}

func standbyAnswered(s State, m StandbyAnswered, now bltimer.Instant) (State, []Effect) {
	standby := s.stored.Record.Standby
	if m.Failed {
		return s, nil
	}
	if m.Asked != standby.Incarnation {
		return freshAnswered(s, m)
	}
	if m.Answer.Incarnation != standby.Incarnation {
		return s.withEnded(standby.Incarnation), nil
	}
	s.standbyHeard = now
	if s.leads() && s.writing == nil && m.Answer.StoreAnswers && s.missesStore(now) {
		return callStandby(s)
	}
	if m.Answer.Promised && s.leads() && s.writing == nil {
		s.promiseUntil = max(s.promiseUntil, m.SentAt.Add(s.timing.Lease-s.timing.Margin))
	}
	return s, nil
}
