package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// unheardAfter is how long a lead may hear too few other nodes, and nothing
	// of its standby, before it takes itself for cut off from them.
	unheardAfter = 700 * time.Millisecond
	// unheardShare is the part of the known nodes, one in so many, that a lead
	// has to hear.
	unheardShare = 3
	// fewestKnown is the number of known nodes below which hearing none of them
	// says nothing.
	fewestKnown = 2
	// shyFor is how long a lead that gave up waits for another to take over.
	shyFor = time.Second
)

// withHush keeps since when a lead has heard too few others.
func (s State) withHush(now bltimer.Instant) State {
	few := s.known >= fewestKnown && unheardShare*s.heard < s.known
	switch {
	case !few:
		s.hushedAt = 0
	case s.hushedAt == 0:
		s.hushedAt = now
	}
	return s
}

// unheard reports whether a lead that reaches the store should give up: other
// nodes are likely to reach each other and the store, and not this process.
func (s State) unheard(now bltimer.Instant) bool {
	if s.timing.HoldLimit == 0 || s.Role() != RoleLeading || s.writing != nil {
		return false
	}
	onlyOne := s.vacated != 0 && s.stored.Record.Term == s.vacated+1
	silent := s.hushedAt != 0 && now.Sub(s.hushedAt) > unheardAfter && now.Sub(s.standbyHeard) > unheardAfter
	return silent && !onlyOne && now.Sub(s.gainedAt) > s.timing.GrantTTL
}

// vacate gives the lead up and lets any process take over.
func vacate(s State, now bltimer.Instant) (State, []Effect) {
	s.shyUntil = now.Add(shyFor)
	s.vacated = s.stored.Record.Term
	s.hushedAt = 0
	s, write := s.withWrite(Record{Term: s.stored.Record.Term})
	s, effects := stepDown(s)
	return s, append([]Effect{write}, effects...)
}

// vacateTo lets any process take over, and calls the standby to do so at once.
// Neither may be there for long: hosts are taken away for good.
func vacateTo(s State, now bltimer.Instant) (State, []Effect) {
	standby, ok := s.standby()
	call := AskStandby{Term: s.stored.Record.Term, Standby: standby, Resigned: s.claim}
	s, effects := vacate(s, now)
	if ok {
		effects = append(effects, call)
	}
	return s, effects
}
