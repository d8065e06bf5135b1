package bllead

import (
	"time"

	"bergamotlead/core/bltimer"
)

const (
	// standbyTimeout is how long a standby may leave the lead's calls unanswered
	// before the lead appoints another one.
	standbyTimeout = time.Second
	// followerReadInterval is the interval between reads of the lead record in a
	// follower that has lost contact with the lead. Beyond nodesPerReadInterval nodes
	// it grows with their number, since all of them read the record.
	followerReadInterval = 400 * time.Millisecond
	// leadEndedReadInterval replaces followerReadInterval in a follower that knows
	// that the lead's process has terminated.
	leadEndedReadInterval = 100 * time.Millisecond
	nodesPerReadInterval  = 50
	maxReadInterval       = 2 * time.Second
	// standbyReadInterval replaces followerReadInterval in the standby.
	standbyReadInterval = 50 * time.Millisecond
	// acquireTimeout bounds the wait for the answer to an attempt to acquire the
	// lease.
	acquireTimeout = 2 * time.Second
)

// Decide computes the next state and the effects of one message. Authority that
// has expired by now is revoked before the message is handled.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	before := s
	s, expired := expire(s, now)
	next, effects := decide(s, message, now)
	effects = append(expired, effects...)
	if next.stored != before.stored {
		effects = append(effects, RecordSeen{Record: next.stored.Record})
	}
	if next.eraChanged && next.eraSince != before.eraSince {
		effects = append(effects, EraSeen{Era: next.era})
	}
	return publishAuthority(next, effects, now)
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
	case LeadResponded:
		return leadResponded(s, m, now), nil
	case PeersSeen:
		s.peers, s.knownPeers, s.activePeers, s.candidate = m.Peers, m.Known, m.Active, m.Candidate
		return s.withRetiring(m.Retiring, now), nil
	case NodesCounted:
		s.nodes = m.Nodes
		return s, nil
	case TimingChanged:
		return s.WithTiming(m.Timing), nil
	case Resign:
		return resign(s, now)
	}
	return s, nil
}

// publishAuthority informs the ownership duty when the authority has changed.
func publishAuthority(s State, effects []Effect, now bltimer.Instant) (State, []Effect) {
	authority := s.Authority(now)
	if authority == s.publishedAuthority {
		return s, effects
	}
	s.publishedAuthority = authority
	// Other duties of this process are informed before any message leaves it.
	return s, append([]Effect{AuthorityChanged{Authority: authority}}, effects...)
}

func tick(s State, now bltimer.Instant) (State, []Effect) {
	s, resent := resendInDoubtWrite(s, now)
	s, effects := roleTick(s, now)
	return s, append(resent, effects...)
}

func roleTick(s State, now bltimer.Instant) (State, []Effect) {
	switch s.Role() {
	case RoleFollower:
		return followerTick(s, now)
	case RoleAcquiring:
		if now.Sub(s.acquireSentAt) > acquireTimeout {
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
