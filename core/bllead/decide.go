package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// standbySilence is how long a standby may be silent before the lead names
	// another.
	standbySilence = time.Second
	// followerReadEvery is how often a process without a lead reads the record.
	followerReadEvery = 400 * time.Millisecond
	// endedReadEvery is how often a process reads the record that knows that the
	// lead has ended.
	endedReadEvery = 100 * time.Millisecond
	// standbyReadEvery is how often a standby without a lead reads the record.
	standbyReadEvery = 50 * time.Millisecond
	// acquireTimeout ends an attempt to take the lease that got no answer.
	acquireTimeout = 2 * time.Second
)

// Decide computes the next state and the effects of one message. Authority
// that ran out before the message ends before the message is looked at.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	known := s.stored
	s, lapsed := lapse(s, now)
	next, effects := decide(s, message, now)
	effects = append(lapsed, effects...)
	if next.stored != known {
		effects = append(effects, RecordSeen{Record: next.stored.Record})
	}
	return announce(next, effects, now)
}

func decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Tick:
		return tick(s, now)
	case RecordRead:
		return recordRead(s, m, now)
	case LeaseAcquired:
		return leaseAcquired(s, m, now)
	case LeaseRenewed:
		return leaseRenewed(s, m, now)
	case RecordWritten:
		return recordWritten(s, m, now)
	case StandbyAsked:
		return standbyAsked(s, m, now)
	case StandbyAnswered:
		return standbyAnswered(s, m, now)
	case Identified:
		return identified(s, m, now)
	case LeadHeard:
		return leadHeard(s, m, now), nil
	case PeersSeen:
		s.peers, s.known, s.heard, s.fresh = m.Peers, m.Known, m.Heard, m.Fresh
		return s, nil
	case TimingChanged:
		return s.WithTiming(m.Timing), nil
	case Resign:
		return resign(s, now)
	}
	return s, nil
}

// announce tells the ownership duty when the authority has changed.
func announce(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	authority := s.Authority(now)
	if authority == s.announced {
		return s, effects
	}
	s.announced = authority
	// Other duties hear of it before anybody else does.
	return s, append([]Effect{AuthorityChanged{Authority: authority}}, effects...)
}

func tick(s State, now bltimer.Instant) (State, []Effect) {
	s, resolving := resolve(s, now)
	s, effects := roleTick(s, now)
	return s, append(resolving, effects...)
}

func roleTick(s State, now bltimer.Instant) (State, []Effect) {
	switch s.Role() {
	case RoleFollower:
		return followerTick(s, now)
	case RoleAcquiring:
		if now.Sub(s.acquiringAt) > acquireTimeout {
			return s.withEvent(eventLose), nil
		}
		return s, nil
	case RoleClaiming:
		return claimingTick(s, now)
	case RoleLeading, RoleHolding:
		return leadTick(s, now)
	}
	return s, nil
}
