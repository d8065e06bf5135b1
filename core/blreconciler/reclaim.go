package blreconciler

import (
	"time"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// reclaim is the task to take back all partitions of an upstream that may hold some for
// longer than this node and the lead know.
type reclaim struct {
	due bool
	// sending is set while an order is in flight, and abandoned if the task has ended since
	// it was sent: its answer then proves nothing.
	sending, abandoned bool
	// until is the time from which the upstream holds none of them any more.
	until bltimer.Instant
	// unfenced is set when the upstream has answered an order without a fence. The node
	// repeats the order once it knows its fence, before its first grant.
	unfenced bool
	// taken is set when the upstream has carried that order out.
	taken bool
	// retryAt is the time of the next attempt after one that failed.
	retryAt bltimer.Instant
}

// reclaimPause is the time between attempts to take all partitions back.
const reclaimPause = 100 * time.Millisecond

// withDue returns the task when the upstream may hold partitions until the given time.
func (r reclaim) withDue(until bltimer.Instant) reclaim {
	r.due = true
	r.until = max(r.until, until)
	return r
}

// withSuspension returns the task after a suspension of the host, for which the clock of
// the upstream may have stood still.
func (r reclaim) withSuspension(began bltimer.Instant, length time.Duration) reclaim {
	if r.due && began.Before(r.until) {
		r.until = r.until.Add(length)
	}
	return r
}

// withoutExpiredReclaim ends the task once the upstream holds nothing to be taken back.
func (s State) withoutExpiredReclaim(now bltimer.Instant) State {
	if !now.Before(s.earlierRunUntil) {
		s.earlierRunUntil = 0
	}
	if s.reclaim.due && !now.Before(s.reclaim.until) {
		s.reclaim = reclaim{sending: s.reclaim.sending, abandoned: s.reclaim.sending}
	}
	return s
}

// reclaimEffects sends the order that takes all partitions back, if it is due. It doesn't
// wait for other orders, which may take long.
func (s State) reclaimEffects(now bltimer.Instant) (State, []Effect) {
	r := s.reclaim
	if !r.due || r.sending || s.stopped || s.address == "" || now.Before(r.retryAt) {
		return s, nil
	}
	fence := s.grant.Fence
	if r.unfenced && fence == (blvalue.Fence{}) {
		return s, nil
	}
	s.reclaim.sending = true
	return s, []Effect{Reclaim{Send: s.send(Order{Kind: KindReleaseAll, Fence: fence})}}
}

// reclaimAnswered records the answer to the order that takes all partitions back. It is
// also called for an upstream that hadn't announced itself when the order was sent.
func (s State) reclaimAnswered(answer Answer, now bltimer.Instant) State {
	abandoned := s.reclaim.abandoned
	s.reclaim.sending, s.reclaim.abandoned = false, false
	unfenced := answer.Order.Fence == (blvalue.Fence{})
	switch {
	case abandoned:
	case answer.Result == ResultDone && !unfenced:
		return s.reclaimed(answer.Order.Fence, now)
	case unfenced && (answer.Result == ResultDone || answer.Result == ResultRefused):
		s.reclaim.unfenced = true
		s.reclaim.taken = answer.Result == ResultDone
	default:
		s.reclaim.retryAt = now.Add(reclaimPause)
	}
	return s
}

// reclaimed returns the state once the upstream has returned all partitions.
func (s State) reclaimed(fence blvalue.Fence, now bltimer.Instant) State {
	s.reclaim = reclaim{}
	s.reclaimedAt = now
	s.earlierRunUntil = 0
	for p, state := range s.states.All() {
		s.states = s.states.With(p, state.afterReclaim(fence))
	}
	return s
}

// afterReclaim returns the state of a partition that the upstream has returned with all
// others. One that isn't to be released is granted again, not below the fence of that
// order: the upstream would refuse it.
func (p partitionState) afterReclaim(fence blvalue.Fence) partitionState {
	p.released = p.releasing
	p.heldUntil = 0
	p.mayOutlast = false
	if p.fence.Less(fence) {
		p.fence = fence
	}
	return p
}
