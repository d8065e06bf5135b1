package bldeliver

import (
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// held is a slot in use.
type held struct {
	upstream blvalue.UpstreamName
	account  blvalue.AccountName
	class    string
}

// State is the delivery duty's immutable state.
type State struct {
	config blconfig.Accepted
	gates  bltable.Table[blvalue.UpstreamName, Gate]
	held   bltable.Table[Ticket, held]
	// domain is the failure domain in which this node stands.
	domain blvalue.DomainName
}

// New returns the state of a node without upstreams.
func New() State {
	return State{}
}

// WithDomain returns the state of a node in a failure domain, whose upstreams
// close when operators take that out.
func (s State) WithDomain(domain blvalue.DomainName) State {
	s.domain = domain
	return s
}

// Gates returns the slots of the upstreams beside this node.
func (s State) Gates() bltable.Table[blvalue.UpstreamName, Gate] {
	return s.gates
}

// Running returns the number of requests that run at upstreams of this node.
func (s State) Running() int {
	return s.held.Len()
}

// Waiting returns the number of requests that wait for a slot.
func (s State) Waiting() int {
	count := 0
	for _, gate := range s.gates.All() {
		count += gate.Waiting()
	}
	return count
}

// Decide computes the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Acquire:
		return s.acquire(m, now)
	case Release:
		return s.release(m, now)
	case UpstreamsSeen:
		return s.upstreamsSeen(m, now)
	case ConfigChanged:
		return s.configChanged(m, now)
	case Tick:
		return s.tick(now)
	}
	return s, nil
}

func refuse(a Acquire, reason blvalue.RefusalReason, detail string) Effect {
	return Effect{Reply: a.Reply, Answer: AcquireAnswer{Refusal: blvalue.NotRun(reason, detail)}}
}

func (s State) acquire(m Acquire, now bltimer.Instant) (State, []Effect) {
	gate, ok := s.gates.Get(m.Upstream)
	if !ok {
		return s, []Effect{refuse(m, blvalue.ReasonNotOwner, "the upstream isn't beside this node")}
	}
	if len(gate.queue) >= s.config.Plan.Limits.QueueLength {
		return s, []Effect{refuse(m, blvalue.ReasonOverload, "too many requests wait for the upstream")}
	}
	if gate.closed(now) {
		return s, []Effect{refuse(m, blvalue.ReasonLeaving, "the upstream is leaving")}
	}
	gate.offered = gate.offered.WithWork(m.Rank, gate.classPace(m.Class), now)
	if wait := gate.wait(m, now); gate.hopeless(m, wait, now) {
		s.gates = s.gates.With(m.Upstream, gate)
		refusal := refuse(m, blvalue.ReasonOverload, "the upstream can't answer in time")
		refusal.Answer.RetryAfter = max(wait, shortestRetry)
		refusal.Answer.Load = gate.Load()
		return s, []Effect{refusal}
	}
	gate.queue = append(gate.queue[:len(gate.queue):len(gate.queue)], m)
	return s.admitNext(m.Upstream, gate, now)
}

// admitNext gives free slots to those that wait.
func (s State) admitNext(name blvalue.UpstreamName, gate Gate, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for {
		position := gate.next(now)
		if position < 0 {
			break
		}
		chosen := gate.queue[position]
		gate = gate.without(position).withBusy(chosen.Account, 1)
		gate.pacer = gate.pacer.WithSent(now)
		s.held = s.held.With(chosen.Ticket, held{upstream: name, account: chosen.Account, class: chosen.Class})
		effects = append(effects, Effect{
			Reply: chosen.Reply, Answer: AcquireAnswer{
				Address: gate.announcement.Address, Incarnation: gate.Incarnation(), Load: gate.Load(),
			},
		})
	}
	s.gates = s.gates.With(name, gate)
	return s, effects
}

func (s State) release(m Release, now bltimer.Instant) (State, []Effect) {
	slot, ok := s.held.Get(m.Ticket)
	if !ok {
		return s.leaveQueue(m.Ticket), nil
	}
	s.held = s.held.Without(m.Ticket)
	gate, ok := s.gates.Get(slot.upstream)
	if !ok {
		return s, nil
	}
	gate = gate.withBusy(slot.account, -1)
	switch m.Result {
	case ResultAnswered:
		gate.limiter = gate.limiter.WithAnswer(m.Latency)
		gate = gate.withPace(slot.class, m.Latency)
	case ResultShed:
		gate.limiter = gate.limiter.WithShed()
	case ResultBroke:
		gate.limiter = gate.limiter.WithColdStart()
	case ResultUnused:
	}
	return s.admitNext(slot.upstream, gate, now)
}

func (s State) leaveQueue(ticket Ticket) State {
	for name, gate := range s.gates.All() {
		for i, waiting := range gate.queue {
			if waiting.Ticket == ticket {
				s.gates = s.gates.With(name, gate.without(i))
				return s
			}
		}
	}
	return s
}

func (s State) upstreamsSeen(m UpstreamsSeen, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for _, a := range m.Announcements {
		gate, ok := s.gates.Get(a.Upstream.Name)
		if !ok {
			gate = Gate{announcement: a, limiter: s.newLimiter(a), pacer: NewPacer(s.service(a).ColdPerSecond)}
		}
		gate = s.withLeaving(gate.withAnnouncement(a), now)
		var admitted []Effect
		s, admitted = s.admitNext(a.Upstream.Name, gate, now)
		effects = append(effects, admitted...)
	}
	for name, gate := range s.gates.All() {
		if announces(m.Announcements, name) {
			continue
		}
		for _, waiting := range gate.queue {
			effects = append(effects, refuse(waiting, blvalue.ReasonNoUpstream, "the upstream is gone"))
		}
		s.gates = s.gates.Without(name)
	}
	return s, effects
}

func announces(list []blmember.Announcement, name blvalue.UpstreamName) bool {
	for _, a := range list {
		if a.Upstream.Name == name {
			return true
		}
	}
	return false
}

func (s State) newLimiter(a blmember.Announcement) Limiter {
	service := s.service(a)
	return NewLimiter(service.ColdStartLimit, slots(service, a), service.ServiceTime)
}

func (s State) service(a blmember.Announcement) blconfig.Service {
	return s.config.Plan.Services[a.Upstream.Service]
}

// withLeaving returns the gate of an upstream that says that it leaves, or
// whose failure domain operators took out.
func (s State) withLeaving(gate Gate, now bltimer.Instant) Gate {
	out := s.domain != "" && !s.config.Plan.DomainTakesWork(s.domain)
	return gate.withLeaving(out || gate.announcement.Upstream.Leaving, s.config.Plan.Timing.CloseAfter, now)
}

// slots returns the smaller of what the document and the upstream say, or what
// one of them says.
func slots(service blconfig.Service, a blmember.Announcement) int {
	if a.Upstream.Slots <= 0 || service.Slots == 0 {
		return max(service.Slots, a.Upstream.Slots)
	}
	return min(service.Slots, a.Upstream.Slots)
}

func (s State) configChanged(m ConfigChanged, now bltimer.Instant) (State, []Effect) {
	if m.Accepted.Revision <= s.config.Revision {
		return s, nil
	}
	s.config = m.Accepted
	var effects []Effect
	for name, gate := range s.gates.All() {
		service := s.service(gate.announcement)
		gate = s.withLeaving(gate, now)
		gate.pacer = gate.pacer.WithRate(service.ColdPerSecond)
		gate.limiter = gate.limiter.WithBounds(
			service.ColdStartLimit, slots(service, gate.announcement), service.ServiceTime)
		var admitted []Effect
		s, admitted = s.admitNext(name, gate, now)
		effects = append(effects, admitted...)
	}
	return s, effects
}

func (s State) tick(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, gate := range s.gates.All() {
		if gate.closed(now) && len(gate.queue) > 0 {
			for _, waiting := range gate.queue {
				effects = append(effects, refuse(waiting, blvalue.ReasonLeaving, "the upstream is leaving"))
			}
			gate.queue = nil
			s.gates = s.gates.With(name, gate)
			continue
		}
		kept, hopeless := gate.withoutHopeless(now)
		for _, waiting := range hopeless {
			refusal := refuse(waiting, blvalue.ReasonOverload, "the upstream can no longer answer in time")
			refusal.Answer.RetryAfter = max(gate.limiter.Pace(), shortestRetry)
			refusal.Answer.Load = gate.Load()
			effects = append(effects, refusal)
		}
		kept, expired := kept.withoutExpired(now)
		for _, waiting := range expired {
			effects = append(effects, refuse(waiting, blvalue.ReasonTimeout, "no slot came free in time"))
		}
		if len(expired)+len(hopeless) > 0 || kept.pacer.paces() {
			var admitted []Effect
			s, admitted = s.admitNext(name, kept, now)
			effects = append(effects, admitted...)
		}
	}
	return s, effects
}
