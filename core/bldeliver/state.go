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
}

// State is the delivery duty's immutable state.
type State struct {
	config blconfig.Accepted
	gates  bltable.Table[blvalue.UpstreamName, Gate]
	held   bltable.Table[Ticket, held]
}

// New returns the state of a node without upstreams.
func New() State {
	return State{}
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
		return s.acquire(m)
	case Release:
		return s.release(m)
	case UpstreamsSeen:
		return s.upstreamsSeen(m)
	case ConfigChanged:
		return s.configChanged(m)
	case Tick:
		return s.tick(now)
	}
	return s, nil
}

func refuse(a Acquire, reason blvalue.RefusalReason, detail string) Effect {
	return Effect{Reply: a.Reply, Answer: AcquireAnswer{Refusal: blvalue.NotRun(reason, detail)}}
}

func (s State) acquire(m Acquire) (State, []Effect) {
	gate, ok := s.gates.Get(m.Upstream)
	if !ok {
		return s, []Effect{refuse(m, blvalue.ReasonNotOwner, "the upstream isn't beside this node")}
	}
	if len(gate.queue) >= s.config.Plan.Limits.QueueLength {
		return s, []Effect{refuse(m, blvalue.ReasonOverload, "too many requests wait for the upstream")}
	}
	gate.queue = append(gate.queue[:len(gate.queue):len(gate.queue)], m)
	return s.admitNext(m.Upstream, gate)
}

// admitNext gives free slots to those that wait.
func (s State) admitNext(name blvalue.UpstreamName, gate Gate) (State, []Effect) {
	var effects []Effect
	for {
		position := gate.next()
		if position < 0 {
			break
		}
		chosen := gate.queue[position]
		gate = gate.without(position).withBusy(chosen.Account, 1)
		s.held = s.held.With(chosen.Ticket, held{upstream: name, account: chosen.Account})
		effects = append(effects, Effect{
			Reply: chosen.Reply, Answer: AcquireAnswer{Address: gate.announcement.Address},
		})
	}
	s.gates = s.gates.With(name, gate)
	return s, effects
}

func (s State) release(m Release) (State, []Effect) {
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
	case ResultShed:
		gate.limiter = gate.limiter.WithShed()
	case ResultBroke:
		gate.limiter = gate.limiter.WithColdStart()
	case ResultUnused:
	}
	return s.admitNext(slot.upstream, gate)
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

func (s State) upstreamsSeen(m UpstreamsSeen) (State, []Effect) {
	var effects []Effect
	for _, a := range m.Announcements {
		gate, ok := s.gates.Get(a.Upstream.Name)
		if !ok {
			gate = Gate{announcement: a, limiter: s.newLimiter(a)}
		}
		var admitted []Effect
		s, admitted = s.admitNext(a.Upstream.Name, gate.withAnnouncement(a))
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
	service := s.config.Plan.Services[a.Upstream.Service]
	return NewLimiter(service.ColdStartLimit, slots(service, a), service.ServiceTime)
}

// slots returns the smaller of what the document and the upstream say.
func slots(service blconfig.Service, a blmember.Announcement) int {
	if a.Upstream.Slots <= 0 {
		return service.Slots
	}
	return min(service.Slots, a.Upstream.Slots)
}

func (s State) configChanged(m ConfigChanged) (State, []Effect) {
	if m.Accepted.Revision <= s.config.Revision {
		return s, nil
	}
	s.config = m.Accepted
	var effects []Effect
	for name, gate := range s.gates.All() {
		service := s.config.Plan.Services[gate.announcement.Upstream.Service]
		gate.limiter = gate.limiter.WithBounds(
			service.ColdStartLimit, slots(service, gate.announcement), service.ServiceTime)
		var admitted []Effect
		s, admitted = s.admitNext(name, gate)
		effects = append(effects, admitted...)
	}
	return s, effects
}

func (s State) tick(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, gate := range s.gates.All() {
		kept, expired := gate.withoutExpired(now)
		for _, waiting := range expired {
			effects = append(effects, refuse(waiting, blvalue.ReasonTimeout, "no slot came free in time"))
		}
		if len(expired) > 0 {
			s.gates = s.gates.With(name, kept)
		}
	}
	return s, effects
}
