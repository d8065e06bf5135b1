package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// retiringDelay is how long the host of a lead has to be about to be removed before the
// lead moves.
const retiringDelay = time.Second

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

// shouldTransferLead reports whether the standby answers and should become lead: it
// has much more capacity, or the host of this process is likely to be removed.
func (s State) shouldTransferLead(now bltimer.Instant) bool {
	standby, ok := s.standby()
	if !ok || s.Role() != RoleLeading || s.writing != nil || s.restored() || !outranks(standby, s.self) && !s.retires(standby, now) {
		return false
	}
	return now.Sub(s.leadSince) > 2*capacityMoveDelay && now.Sub(s.standbyContactAt) < s.timing.Lease && !s.missedRenewal(now)
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

// transferToStandby steps down and asks the standby, if there is one, to take
// over.
func transferToStandby(s State, now bltimer.Instant) (State, []Effect) {
	standby, ok := s.standby()
	if !ok {
		return stepDown(s, now)
	}
	return transferTo(s, standby, now)
}

// transferTo steps down and asks another process to take over. Any process is
// eligible: once this lead has stepped down, no process acts as lead without the
// store.
func transferTo(s State, successor blvalue.Host, now bltimer.Instant) (State, []Effect) {
	call := AskStandby{Term: s.stored.Record.Term, Standby: successor, Resigned: s.claim}
	s, effects := stepDown(s, now)
	return s, append(effects, call)
}
