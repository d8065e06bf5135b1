package blrollout

import (
	"time"

	"bergamotlead/core/bltimer"
)

// statusRetryInterval is the interval between attempts to store a status.
const statusRetryInterval = 500 * time.Millisecond

// statusWrite is what this lead has stored as the status of a service.
type statusWrite struct {
	stored Status
	sentAt bltimer.Instant
	// sent is set while the answer to a write is awaited.
	sent bool
}

// dueStatus returns the status that follows from the record in the store.
func (r rollout) dueStatus() Status {
	if !r.stored.loaded || r.stored.foreign || r.stored.rewrite || !r.recorded() {
		return Status{}
	}
	if r.stored.record.Phase == PhaseCompleted && !r.verified {
		return Status{}
	}
	return Status{Service: r.order.Service, Target: r.order.Target, Phase: r.stored.record.Phase}
}

func (r rollout) statusDue() bool {
	due := r.dueStatus()
	return due != Status{} && due != r.status.stored
}

// advanceStatus stores the status. A new lead stores it once more, since the lead that
// wrote the record may not have.
func (s Rollouts[J]) advanceStatus(r rollout, now bltimer.Instant) (rollout, []Effect) {
	if !r.statusDue() || !s.authority.MayChange {
		return r, nil
	}
	if r.status.sent && now.Sub(r.status.sentAt) < statusRetryInterval {
		return r, nil
	}
	r.status.sent, r.status.sentAt = true, now
	return r, []Effect{WriteStatus{Term: s.authority.Term, Status: r.dueStatus()}}
}

func (s Rollouts[J]) statusWritten(m StatusWritten) Rollouts[J] {
	r, ok := s.services.Get(m.Status.Service)
	if !ok || m.Term != s.authority.Term || m.Failed {
		return s
	}
	r.status.stored = m.Status
	r.status.sent = false
	return s.withRollout(r)
}
