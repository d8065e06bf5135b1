package bldeliver

import (
	"cmp"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// UploadStalled tells that the body of a request in a slot has stopped arriving or arrives
// slowly, or with Stalled unset that it goes on.
type UploadStalled struct {
	Ticket  Ticket
	Stalled bool
}

func (UploadStalled) deliverMessage() {}

// EndedUpload is an upload that has to give up its slot.
type EndedUpload struct {
	Upstream blvalue.UpstreamName
	Account  blvalue.AccountName
	// Cancel ends the request. Its slot is released afterwards.
	Cancel func()
}

// uploadState is the state of the body of a request in a slot.
type uploadState uint8

// The states of a body.
const (
	uploadArriving uploadState = iota
	uploadStalled
	// uploadEnded is a stalled one whose request has been cancelled.
	uploadEnded
	uploadStates
)

// uploadStalled notes whether a body has stalled, and lets it make room for waiting requests.
func (s State) uploadStalled(m UploadStalled, now bltimer.Instant) (State, []Effect) {
	request, ok := s.inFlight.Get(m.Ticket)
	if !ok || request.upload == uploadEnded {
		return s, nil
	}
	next := uploadArriving
	if m.Stalled {
		next = uploadStalled
	}
	s = s.withUpload(m.Ticket, request, next)
	upstream, ok := s.upstreams.Get(request.upstream)
	if !ok {
		return s, nil
	}
	return s.admitNext(request.upstream, upstream, now)
}

// withUpload returns the state with the body of a request in another state.
func (s State) withUpload(ticket Ticket, request inFlightRequest, upload uploadState) State {
	if upstream, ok := s.upstreams.Get(request.upstream); ok {
		s.upstreams = s.upstreams.With(request.upstream, upstream.withUpload(request.upload, upload))
	}
	request.upload = upload
	s.inFlight = s.inFlight.With(ticket, request)
	return s
}

// endUploads ends stalled uploads of an upstream, as many as requests wait for a slot there.
// An upload may hold its slot for as long as its client likes, at the expense of requests
// that are complete.
func (s State) endUploads(name blvalue.UpstreamName) (State, []Effect) {
	var effects []Effect
	for {
		upstream, ok := s.upstreams.Get(name)
		if !ok || upstream.Free() > 0 || upstream.uploads[uploadEnded] >= len(upstream.queue) {
			return s, effects
		}
		ticket, request, ok := s.longestUpload(name, upstream)
		if !ok {
			return s, effects
		}
		s = s.withUpload(ticket, request, uploadEnded)
		effects = append(effects, Effect{Upload: EndedUpload{Upstream: name, Account: request.account, Cancel: request.cancel}})
	}
}

// longestUpload returns the stalled upload that ends first: of the account with the most
// running requests, the one that got its slot first.
func (s State) longestUpload(name blvalue.UpstreamName, upstream UpstreamState) (Ticket, inFlightRequest, bool) {
	var first Ticket
	var chosen inFlightRequest
	if upstream.uploads[uploadStalled] == 0 {
		return first, chosen, false
	}
	found := false
	for ticket, request := range s.inFlight.All() {
		if request.upstream != name || request.upload != uploadStalled {
			continue
		}
		running, _ := upstream.runningByAccount.Get(request.account)
		most, _ := upstream.runningByAccount.Get(chosen.account)
		if !found || cmp.Or(cmp.Compare(most, running), cmp.Compare(ticket, first)) < 0 {
			first, chosen, found = ticket, request, true
		}
	}
	return first, chosen, found
}

// withUpload returns the upstream after the body of one of its requests has changed its
// state.
func (u UpstreamState) withUpload(last, next uploadState) UpstreamState {
	u.uploads[last]--
	u.uploads[next]++
	return u
}

// displaced returns the position of the waiting request that makes room in a full queue, or
// -1: the last one of the account with the most of them, if the new request's account has
// fewer and the request isn't less urgent.
func (u UpstreamState) displaced(a Acquire, now bltimer.Instant) int {
	waiting := make(map[blvalue.AccountName]int, 1)
	for i := range u.queue {
		waiting[u.queue[i].Account]++
	}
	last := -1
	for i := range u.queue {
		other := u.queue[i]
		if waiting[other.Account] <= waiting[a.Account]+1 || other.Rank < a.Rank {
			continue
		}
		if last < 0 || waiting[other.Account] > waiting[u.queue[last].Account] ||
			waiting[other.Account] == waiting[u.queue[last].Account] && u.goesBefore(u.queue[last], other, now) {
			last = i
		}
	}
	return last
}
