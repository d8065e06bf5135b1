package blgrant

import (
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// runningRequest is a request that runs under a grant.
type runningRequest struct {
	upstream  blvalue.UpstreamName
	partition blvalue.Partition
	cancel    func()
	// until is when the request's grant expires unless it is renewed.
	until bltimer.Instant
}

// State is the immutable state of the grant duty.
type State struct {
	grants  bltable.Table[blvalue.UpstreamName, Grant]
	running bltable.Table[PermitID, runningRequest]
	nextID  PermitID
	term    uint64
}

// New returns the state of a node without grants.
func New() State {
	return State{}
}

// Grants returns the current grants in no particular order.
func (s State) Grants() []Grant {
	grants := make([]Grant, 0, s.grants.Len())
	for _, grant := range s.grants.All() {
		grants = append(grants, grant)
	}
	return grants
}

// Running returns the number of running requests.
func (s State) Running() int {
	return s.running.Len()
}

// Uses reports whether this node may work on p of the service at now, or runs a
// permitted request on it.
func (s State) Uses(service blvalue.ServiceName, p blvalue.Partition, now bltimer.Instant) bool {
	for _, grant := range s.grants.All() {
		if grant.Service == service && grant.Covers(p, now) {
			return true
		}
	}
	for _, r := range s.running.All() {
		if r.partition == p && now.Before(r.until) {
			return true
		}
	}
	return false
}

// Decide returns the next state and the effects of one message.
func Decide(s State, message Message, now bltimer.Instant) (State, []Effect) {
	switch m := message.(type) {
	case Tick:
		return s.cancelExpired(now)
	case OffersReceived:
		return s.offered(m, now)
	case UpstreamsSeen:
		return s.upstreamsSeen(m, now)
	case UpstreamHoldings:
		return s.upstreamHoldings(m, now)
	case Begin:
		return s.begin(m, now)
	case End:
		return s.end(m)
	case ReportRequested:
		return s, []Effect{Report{Reply: m.Reply, Held: s.report(now)}}
	}
	return s, nil
}

// offered applies the grants of a heartbeat reply. A node that has seen a term
// accepts nothing from a lower one.
func (s State) offered(m OffersReceived, now bltimer.Instant) (State, []Effect) {
	if m.Term < s.term {
		return s, nil
	}
	s.term = m.Term
	var effects []Effect
	for _, offer := range m.Offers {
		grant, ok := s.grants.Get(offer.Upstream)
		if !ok || grant.Incarnation != offer.Incarnation || grant.isStaleOffer(offer, m.SentAt, now) {
			continue
		}
		next := grant.WithOffer(offer, m.SentAt).withHandoversReported(m.SentAt)
		if next.Fence != grant.Fence {
			next.setAt = max(now, 1)
		}
		s.grants = s.grants.With(offer.Upstream, next)
		s = s.renewRunning(next)
		var released []Effect
		s, released = s.releaseRevoked(next)
		effects = append(effects, GrantChanged{Grant: next})
		effects = append(effects, released...)
	}
	return s, effects
}

// renewRunning extends the requests whose partition is still granted.
func (s State) renewRunning(grant Grant) State {
	for id, r := range s.running.All() {
		if r.upstream == grant.Upstream && grant.Set.Has(r.partition) && r.until < grant.Until {
			r.until = grant.Until
			s.running = s.running.With(id, r)
		}
	}
	return s
}

// upstreamsSeen keeps a grant for each local upstream of this node. The grant of
// an upstream that is gone or has restarted ends, and its requests are
// cancelled.
func (s State) upstreamsSeen(m UpstreamsSeen, now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for name, grant := range s.grants.All() {
		if blvalue.HasIncarnation(m.Upstreams, grant.Incarnation) {
			continue
		}
		s.grants = s.grants.Without(name)
		for id, r := range s.running.All() {
			if r.upstream == name {
				effects = append(effects, CancelRequest{Cancel: r.cancel})
				s.running = s.running.Without(id)
			}
		}
	}
	for _, upstream := range m.Upstreams {
		if _, ok := s.grants.Get(upstream.Name); !ok {
			s.grants = s.grants.With(upstream.Name, Grant{
				Upstream: upstream.Name, Incarnation: upstream.Incarnation, Service: upstream.Service, keptByUpstream: upstream.KeepsGrants, firstSeenAt: now,
			})
		}
	}
	return s, effects
}

// upstreamHoldings records the holdings of an upstream that keeps its grants. An
// early heartbeat tells the lead when the last revoked partition was returned.
func (s State) upstreamHoldings(m UpstreamHoldings, now bltimer.Instant) (State, []Effect) {
	grant, ok := s.grants.Get(m.Upstream)
	if !ok || grant.Incarnation != m.Incarnation {
		return s, nil
	}
	hadRevoked := grant.revoked.Len() > 0
	grant = grant.withHoldings(m, now)
	s.grants = s.grants.With(m.Upstream, grant)
	if hadRevoked && grant.revoked.Len() == 0 {
		return s, []Effect{Released{}}
	}
	return s, nil
}

func (s State) begin(m Begin, now bltimer.Instant) (State, []Effect) {
	for _, grant := range s.grants.All() {
		if grant.Service != m.Service || !grant.Covers(m.Partition, now) {
			continue
		}
		s.nextID++
		s.running = s.running.With(s.nextID, runningRequest{
			upstream: grant.Upstream, partition: m.Partition, cancel: m.Cancel, until: grant.Until,
		})
		permit := Permit{ID: s.nextID, Upstream: grant.Upstream, Fence: grant.Fence, Until: grant.Until}
		return s, []Effect{AnswerBegin{Reply: m.Reply, Answer: BeginAnswer{Permit: permit}}}
	}
	refusal := blvalue.NotRun(blvalue.ReasonNotOwner, "this node doesn't own the key")
	return s, []Effect{AnswerBegin{Reply: m.Reply, Answer: BeginAnswer{Refusal: refusal}}}
}

func (s State) end(m End) (State, []Effect) {
	r, ok := s.running.Get(m.Permit)
	if !ok {
		return s, nil
	}
	s.running = s.running.Without(m.Permit)
	grant, ok := s.grants.Get(r.upstream)
	if !ok || grant.revoked.Len() == 0 {
		return s, nil
	}
	return s.releaseRevoked(grant)
}

// releaseRevoked releases the revoked partitions once no request runs on them. An
// upstream that keeps its grants returns them itself.
func (s State) releaseRevoked(grant Grant) (State, []Effect) {
	if grant.revoked.Len() == 0 {
		return s, nil
	}
	if grant.keptByUpstream {
		return s, nil
	}
	for _, r := range s.running.All() {
		if r.upstream == grant.Upstream && grant.revoked.Has(r.partition) {
			return s, nil
		}
	}
	s.grants = s.grants.With(grant.Upstream, grant.withoutRevoked())
	return s, []Effect{Released{}}
}

// cancelExpired cancels requests whose grant has expired.
func (s State) cancelExpired(now bltimer.Instant) (State, []Effect) {
	var effects []Effect
	for _, r := range s.running.All() {
		if !now.Before(r.until) {
			effects = append(effects, CancelRequest{Cancel: r.cancel})
		}
	}
	return s, effects
}

func (s State) report(now bltimer.Instant) []Held {
	held := make([]Held, 0, s.grants.Len())
	for _, grant := range s.grants.All() {
		report := Held{
			Upstream: grant.Upstream, Incarnation: grant.Incarnation, Service: grant.Service, Fence: grant.reportedFence(now),
			HasSet: true, Handovers: grant.returnedHandovers,
		}
		if now.Before(grant.Until) {
			report.Set = grant.Set
		}
		held = append(held, report)
	}
	return held
}
