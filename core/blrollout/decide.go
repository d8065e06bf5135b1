package blrollout

import (
	"time"

	"bergamotlead/core/bltimer"
)

// Decide computes the next state and the effects of one message.
func Decide[J Judge](s Rollouts[J], message Message, now bltimer.Instant) (Rollouts[J], []Effect) {
	switch m := message.(type) {
	case AuthorityChanged:
		s = s.authorityChanged(m, now)
	case ConfigSeen:
		s = s.configSeen(m, now)
	case ViewSeen:
		if m.View.Term != s.authority.Term {
			return s, nil
		}
		s.view = m.View
		if s.Busy() {
			// A tick follows.
			return s, nil
		}
	case ResultsSeen:
		// Decided upon with the next tick: a tick covers the reports of many nodes.
		return s.resultsSeen(m, now), nil
	case RecordLoaded:
		s = s.recordLoaded(m)
	case RecordWritten:
		s = s.recordWritten(m, now)
		completed := s.completedBy(m)
		s, effects := s.advance(now)
		return s, append(completed, effects...)
	case StatusWritten:
		s = s.statusWritten(m)
	}
	return s.advance(now)
}

// authorityChanged drops everything of an earlier term: a lead starts from the record
// and from what the nodes report.
func (s Rollouts[J]) authorityChanged(m AuthorityChanged, now bltimer.Instant) Rollouts[J] {
	restored := m.Authority.Era > s.authority.Era
	if m.Authority.Term != s.authority.Term {
		next := Rollouts[J]{judge: s.judge, authority: m.Authority, config: s.config, termAt: now}
		return next.withOrders(now)
	}
	s.authority = m.Authority
	if !restored {
		return s
	}
	for _, r := range s.services.All() {
		s = s.withRollout(r.withEarlierEra())
	}
	return s
}

func (s Rollouts[J]) configSeen(m ConfigSeen, now bltimer.Instant) Rollouts[J] {
	if !m.Accepted.LaterThan(s.config) {
		return s
	}
	s.config = m.Accepted
	return s.withOrders(now)
}

// advance does what is due for each service and publishes what has changed for nodes.
func (s Rollouts[J]) advance(now bltimer.Instant) (Rollouts[J], []Effect) {
	if !s.authority.Holds(now) {
		return s, nil
	}
	var effects []Effect
	for _, r := range s.services.All() {
		var more []Effect
		s, more = s.advanceService(r, now)
		effects = append(effects, more...)
	}
	s, published := s.publish(now)
	return s, append(effects, published...)
}

func (s Rollouts[J]) advanceService(r rollout, now bltimer.Instant) (Rollouts[J], []Effect) {
	f := s.fleetOf(r)
	r, effects := s.advanceSteps(r, f, now)
	r = s.withVerification(s.withAllowances(r, f, now), f, now)
	s, r, more := s.advanceRecord(r, f, now)
	r, status := s.advanceStatus(r, now)
	effects = append(append(effects, more...), status...)
	if r.obsolete(now) {
		s.services = s.services.Without(r.order.Service)
		return s, effects
	}
	return s.withRollout(r), effects
}

// withdrawnTime is how long the upstreams of an order that was removed while it ran stay
// held. They are stopped some seconds after the end.
const withdrawnTime = time.Minute

// obsolete reports whether nothing of an order that has been removed is left to do.
func (r rollout) obsolete(now bltimer.Instant) bool {
	if r.ordered || r.order.Target == "" || r.busy() {
		return false
	}
	return r.step != StepWithdrawn || now.Sub(r.stepAt) >= withdrawnTime
}
