package bldeliver

import (
	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// inFlightRequest is a request that holds a slot.
type inFlightRequest struct {
	upstream blvalue.UpstreamName
	account  blvalue.AccountName
	class    string
	// incarnation is the run of the upstream. Order is the revision of the roll-out order
	// at which the counts began that the request belongs to, or zero.
	incarnation blvalue.Incarnation
	order       uint64
	// cold is set if the upstream was in cold start when the request was sent.
	cold bool
	// cancel ends the request, and upload is the state of its body.
	cancel func()
	upload uploadState
}

// State is the immutable state of the delivery duty.
type State struct {
	config    blconfig.Accepted
	upstreams bltable.Table[blvalue.UpstreamName, UpstreamState]
	inFlight  bltable.Table[Ticket, inFlightRequest]
	rollouts  Rollouts
	// domain is the failure domain of this node.
	domain blvalue.DomainName
	// closed is set when this node ends.
	closed bool
}

// New returns the initial state, without upstreams.
func New() State {
	return State{}
}

// WithDomain returns the state of a node in the given failure domain. The node's
// upstreams close when operators take that domain out of service.
func (s State) WithDomain(domain blvalue.DomainName) State {
	s.domain = domain
	return s
}

// Upstreams returns the state of each local upstream of the node.
func (s State) Upstreams() bltable.Table[blvalue.UpstreamName, UpstreamState] {
	return s.upstreams
}

// Running returns the number of requests that run at the node's upstreams.
func (s State) Running() int {
	return s.inFlight.Len()
}

// Closed reports whether all waiting and later requests have been refused.
func (s State) Closed() bool { return s.closed }

// Waiting returns the number of requests that wait for a slot.
func (s State) Waiting() int {
	count := 0
	for _, upstream := range s.upstreams.All() {
		count += upstream.Waiting()
	}
	return count
}

// Decide returns the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Acquire:
		return s.acquire(m, now)
	case Release:
		return s.release(m, now)
	case UploadStalled:
		return s.uploadStalled(m, now)
	case UpstreamsSeen:
		return s.upstreamsSeen(m, now)
	case ConfigChanged:
		return s.configChanged(m, now)
	case AllowancesSeen:
		return s.allowancesSeen(m), nil
	case DirectoryChanged:
		s.rollouts = s.rollouts.withDirectory(m.Directory)
		return s, nil
	case Close:
		return s.close()
	case Tick:
		return s.tick(now)
	}
	return s, nil
}

func refuse(a Acquire, reason blvalue.RefusalReason, detail string) Effect {
	return Effect{Reply: a.Reply, Answer: AcquireAnswer{Refusal: blvalue.NotRun(reason, detail)}}
}

// close refuses the waiting requests.
func (s State) close() (State, []Effect) {
	s.closed = true
	var effects []Effect
	for name, upstream := range s.upstreams.All() {
		for _, waiting := range upstream.queue {
			effects = append(effects, refuse(waiting, blvalue.ReasonLeaving, nodeEnds))
		}
		upstream.queue = nil
		s.upstreams = s.upstreams.With(name, upstream)
	}
	return s, effects
}

// nodeEnds is the detail of the refusal of requests that this node can't run any more.
const nodeEnds = "this node is leaving"

func (s State) acquire(m Acquire, now bltimer.Instant) (State, []Effect) {
	if s.closed {
		return s, []Effect{refuse(m, blvalue.ReasonLeaving, nodeEnds)}
	}
	upstream, ok := s.upstreams.Get(m.Upstream)
	if !ok {
		return s, []Effect{refuse(m, blvalue.ReasonNotOwner, "the upstream isn't beside this node")}
	}
	if upstream.announcement.Upstream.Service != m.Service {
		return s, []Effect{refuse(m, blvalue.ReasonNotOwner, "the upstream is of another service")}
	}
	position := -1
	if len(upstream.queue) >= s.config.Plan.Limits.QueueLength {
		if position = upstream.displaced(m, now); position < 0 {
			return s, []Effect{refuse(m, blvalue.ReasonOverload, queueFull)}
		}
	}
	if upstream.closed(now) {
		return s, []Effect{refuse(m, blvalue.ReasonLeaving, "the upstream is leaving")}
	}
	if s.left(upstream, now) <= uint64(len(upstream.queue)) {
		return s, []Effect{refuseHeldBack(m, upstream)}
	}
	upstream.offeredLoad = upstream.offeredLoad.WithWork(m.Rank, upstream.classLatency(m.Class), now)
	if wait := upstream.estimatedWait(m, now); upstream.tooLate(m, wait, now) {
		refusal := refuse(m, blvalue.ReasonOverload, "the upstream can't answer in time")
		upstream, refusal.Answer.RetryAfter = upstream.withReturn(m, wait, now)
		s.upstreams = s.upstreams.With(m.Upstream, upstream)
		refusal.Answer.Load = upstream.Load()
		return s, []Effect{refusal}
	}
	var effects []Effect
	if position >= 0 {
		effects = append(effects, refuse(upstream.queue[position], blvalue.ReasonOverload, queueFull))
		upstream = upstream.without(position)
	}
	upstream.queue = append(upstream.queue[:len(upstream.queue):len(upstream.queue)], m)
	next, admitted := s.admitNext(m.Upstream, upstream, now)
	return next, append(effects, admitted...)
}

// queueFull is the detail of the refusal of requests for which the queue has no room.
const queueFull = "too many requests wait for the upstream"

// refuseHeldBack refuses a request that no allowance covers.
func refuseHeldBack(a Acquire, upstream UpstreamState) Effect {
	refusal := refuse(a, blvalue.ReasonHeldBack, "a roll-out allows the upstream no more requests")
	refusal.Answer.Load = upstream.Load()
	return refusal
}

// refuseUncovered refuses the waiting requests if the upstream may be sent none.
func (s State) refuseUncovered(upstream UpstreamState, now bltimer.Instant) (UpstreamState, []Effect) {
	if len(upstream.queue) == 0 || s.left(upstream, now) > 0 {
		return upstream, nil
	}
	effects := make([]Effect, 0, len(upstream.queue))
	for _, waiting := range upstream.queue {
		effects = append(effects, refuseHeldBack(waiting, upstream))
	}
	upstream.queue = nil
	return upstream, effects
}

// admitNext admits waiting requests while the upstream has free slots.
func (s State) admitNext(name blvalue.UpstreamName, upstream UpstreamState, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for {
		var refused []Effect
		upstream, refused = s.refuseUncovered(upstream, now)
		effects = append(effects, refused...)
		position := upstream.next(now)
		if position < 0 {
			break
		}
		chosen := upstream.queue[position]
		upstream = upstream.without(position).withRunning(chosen.Account, 1)
		upstream.pacer = upstream.pacer.WithSent(now)
		request := inFlightRequest{
			upstream: name, account: chosen.Account, class: chosen.Class, incarnation: upstream.Incarnation(), cold: upstream.cold(now),
			cancel: chosen.Cancel,
		}
		s.rollouts, request.order = s.rollouts.withSent(upstream.announcement.Upstream)
		s.inFlight = s.inFlight.With(chosen.Ticket, request)
		effects = append(effects, Effect{
			Reply: chosen.Reply, Answer: AcquireAnswer{
				Address: upstream.announcement.Address, Incarnation: upstream.Incarnation(), Load: upstream.Load(),
			},
		})
	}
	s.upstreams = s.upstreams.With(name, upstream)
	next, ended := s.endUploads(name)
	return next, append(effects, ended...)
}

func (s State) release(m Release, now bltimer.Instant) (State, []Effect) {
	request, ok := s.inFlight.Get(m.Ticket)
	if !ok {
		return s.withoutQueued(m.Ticket), nil
	}
	s.inFlight = s.inFlight.Without(m.Ticket)
	upstream, ok := s.upstreams.Get(request.upstream)
	s.rollouts = s.rollouts.withResult(request, m, request.cold || ok && upstream.cold(now))
	if !ok {
		return s, nil
	}
	upstream = upstream.withUpload(request.upload, uploadArriving).withRunning(request.account, -1)
	upstream.pace = upstream.pace.WithReport(m.Report, now)
	switch m.Result {
	case ResultAnswered:
		upstream.pace = upstream.pace.WithLatency(m.Report, m.Latency, upstream.classLatency(request.class))
		upstream.limiter = upstream.limiter.WithAnswer(m.Latency)
		upstream = upstream.withClassLatency(request.class, m.Latency)
	case ResultShed:
		upstream.limiter = upstream.limiter.WithShed()
	case ResultFailed:
		upstream.limiter = upstream.limiter.WithColdStart()
	case ResultUnused:
	}
	return s.admitNext(request.upstream, upstream, now)
}

func (s State) withoutQueued(ticket Ticket) State {
	for name, upstream := range s.upstreams.All() {
		for i, waiting := range upstream.queue {
			if waiting.Ticket == ticket {
				s.upstreams = s.upstreams.With(name, upstream.without(i))
				return s
			}
		}
	}
	return s
}

func (s State) tick(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, upstream := range s.upstreams.All() {
		if upstream.closed(now) && len(upstream.queue) > 0 {
			for _, waiting := range upstream.queue {
				effects = append(effects, refuse(waiting, blvalue.ReasonLeaving, "the upstream is leaving"))
			}
			upstream.queue = nil
			s.upstreams = s.upstreams.With(name, upstream)
			continue
		}
		remaining, tooLate := upstream.withoutTooLate(now)
		for _, waiting := range tooLate {
			refusal := refuse(waiting, blvalue.ReasonOverload, "the upstream can no longer answer in time")
			remaining, refusal.Answer.RetryAfter = remaining.withReturn(waiting, upstream.limiter.AverageLatency(), now)
			refusal.Answer.Load = upstream.Load()
			effects = append(effects, refusal)
		}
		remaining, expired := remaining.withoutExpired(now)
		for _, waiting := range expired {
			effects = append(effects, refuse(waiting, blvalue.ReasonTimeout, "no slot came free in time"))
		}
		uncovered := len(remaining.queue) > 0 && s.left(remaining, now) == 0
		if len(expired)+len(tooLate) > 0 || remaining.pacer.enabled() || uncovered {
			var admitted []Effect
			s, admitted = s.admitNext(name, remaining, now)
			effects = append(effects, admitted...)
		}
	}
	return s, effects
}
