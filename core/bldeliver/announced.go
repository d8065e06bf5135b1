package bldeliver

import (
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

func (s State) upstreamsSeen(m UpstreamsSeen, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	s.rollouts = s.rollouts.withAnnounced(m.Announcements, now)
	for _, a := range m.Announcements {
		upstream, ok := s.upstreams.Get(a.Upstream.Name)
		if !ok {
			upstream = UpstreamState{announcement: a, limiter: s.newLimiter(a), pacer: NewPacer(s.service(a).ColdStartRate)}
		}
		upstream = s.withBounds(s.withLeaving(upstream.withAnnouncement(a), now))
		var admitted []Effect
		s, admitted = s.admitNext(a.Upstream.Name, upstream, now)
		effects = append(effects, admitted...)
	}
	for name, upstream := range s.upstreams.All() {
		if announced(m.Announcements, name) {
			continue
		}
		for _, waiting := range upstream.queue {
			effects = append(effects, refuse(waiting, blvalue.ReasonNoUpstream, "the upstream is gone"))
		}
		s.upstreams = s.upstreams.Without(name)
	}
	return s, effects
}

func announced(list []blmember.Announcement, name blvalue.UpstreamName) bool {
	for _, a := range list {
		if a.Upstream.Name == name {
			return true
		}
	}
	return false
}

func (s State) newLimiter(a blmember.Announcement) Limiter {
	service := s.service(a)
	return NewLimiter(service.ColdStartLimit, effectiveSlots(service, a), service.ServiceTime)
}

// withBounds returns the upstream with the bounds of its limit as the configuration
// and its announcement set them.
func (s State) withBounds(upstream UpstreamState) UpstreamState {
	service := s.service(upstream.announcement)
	upstream.pacer = upstream.pacer.WithRate(service.ColdStartRate)
	upstream.limiter = upstream.limiter.WithBounds(
		service.ColdStartLimit, effectiveSlots(service, upstream.announcement), service.ServiceTime)
	return upstream
}

func (s State) service(a blmember.Announcement) blconfig.Service {
	return s.config.Plan.Services[a.Upstream.Service]
}

// withLeaving returns the upstream marked as leaving if it announces so, or if
// operators took the node's failure domain out of service.
func (s State) withLeaving(upstream UpstreamState, now bltimer.Instant) UpstreamState {
	domainOut := s.domain != "" && !s.config.Plan.DomainTakesWork(s.domain)
	return upstream.withLeaving(domainOut || upstream.announcement.Upstream.Leaving, s.config.Plan.Timing.DrainTime, now)
}

// effectiveSlots returns the smaller of the slots that the configuration and the
// upstream give, or the value of one of them if the other gives none.
func effectiveSlots(service blconfig.Service, a blmember.Announcement) int {
	if a.Upstream.Slots <= 0 || service.Slots == 0 {
		return max(service.Slots, a.Upstream.Slots)
	}
	return min(service.Slots, a.Upstream.Slots)
}

func (s State) configChanged(m ConfigChanged, now bltimer.Instant) (State, []Effect) {
	if !m.Accepted.LaterThan(s.config) {
		return s, nil
	}
	s.config = m.Accepted
	s.rollouts = s.rollouts.withOrders(m.Accepted.Plan, now)
	var effects []Effect
	for name, upstream := range s.upstreams.All() {
		upstream = s.withBounds(s.withLeaving(upstream, now))
		var admitted []Effect
		s, admitted = s.admitNext(name, upstream, now)
		effects = append(effects, admitted...)
	}
	return s, effects
}
