package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
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
