package bllead

import (
	"bergamotlead/core/bltimer"
)

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

// probeStore reads the record while the lead can't reach the store: a standby that
// reaches the store takes over instead of extending the lead's hold by a promise.
func probeStore(s State, effects []Effect, wantPromise bool, now bltimer.Instant) (State, []Effect) {
	if !wantPromise || now.Sub(s.storeReadAt) < standbyReadInterval {
		return s, effects
	}
	s.storeReadAt = now
	return s, append(effects, ReadRecord{})
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
