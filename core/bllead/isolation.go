package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// isolationTimeout is how long a lead may receive heartbeats from too few
	// nodes, and no answer from its standby, before it considers itself
	// partitioned from them.
	isolationTimeout = 700 * time.Millisecond
	// minActiveDivisor sets the fraction of the known nodes, 1/minActiveDivisor,
	// from which a lead has to receive heartbeats.
	minActiveDivisor = 3
	// minKnownPeers is the number of known nodes below which missing heartbeats
	// are no evidence of a network partition.
	minKnownPeers = 2
	// takeoverBackoff is how long a process that gave up the lead leaves the
	// takeover to others.
	takeoverBackoff = time.Second
)

// withIsolation tracks since when the lead has received heartbeats from too few
// nodes.
func (s State) withIsolation(now bltimer.Instant) State {
	tooFew := s.knownPeers >= minKnownPeers && minActiveDivisor*s.activePeers < s.knownPeers
	switch {
	case !tooFew:
		s.isolatedSince = 0
	case s.isolatedSince == 0:
		s.isolatedSince = now
	}
	return s
}

// isolated reports whether a lead that reaches the store should give up because
// of a network partition: the other nodes can probably reach each other and the
// store, but not this process. A lead that regained the role because no other
// process took over keeps it.
func (s State) isolated(now bltimer.Instant) bool {
	if s.timing.HoldLimit == 0 || s.Role() != RoleLeading || s.writing != nil {
		return false
	}
	uncontested := s.releasedTerm != 0 && s.stored.Record.Term == s.releasedTerm+1
	timedOut := s.isolatedSince != 0 && now.Sub(s.isolatedSince) > isolationTimeout && now.Sub(s.standbyContactAt) > isolationTimeout
	return timedOut && !uncontested && now.Sub(s.leadSince) > s.timing.GrantTTL
}

// releaseLead gives up the lead and writes a record without lead and standby, so
// that any process may take over.
func releaseLead(s State, now bltimer.Instant) (State, []Effect) {
	s.backoffUntil = now.Add(takeoverBackoff)
	s.releasedTerm = s.stored.Record.Term
	s.isolatedSince = 0
	s, write := s.withWrite(Record{Term: s.stored.Record.Term})
	s, effects := stepDown(s, now)
	return s, append([]Effect{write}, effects...)
}

// releaseLeadToStandby releases the lead and also asks the standby to take over
// at once. The record doesn't bind the takeover to the standby, because that host
// may soon be removed for good as well.
func releaseLeadToStandby(s State, now bltimer.Instant) (State, []Effect) {
	standby, ok := s.standby()
	call := AskStandby{Term: s.stored.Record.Term, Standby: standby, Resigned: s.claim}
	s, effects := releaseLead(s, now)
	if ok {
		effects = append(effects, call)
	}
	return s, effects
}
