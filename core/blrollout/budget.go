package blrollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
)

const (
	// exposureFactor is the part of the exposure share that allowances may use. The rest
	// covers requests that are counted twice because they were tried again.
	exposureFactor = 0.8
	// reserveFactor is the part of the exposure's reserve that allowances may use.
	reserveFactor = 0.5
	// raiseInterval is the shortest time between two raises of the reservation, so that
	// a roll-out takes few writes of its record.
	raiseInterval = 800 * time.Millisecond
	// minRaise is the smallest raise of the reservation.
	minRaise = 8
	// minAhead is the number of requests that a canary may be allowed in advance however
	// few the service gets, and aheadTime the time for which an allowance should last
	// at the mean rate of an upstream: until the lead has seen it used and raised it.
	minAhead  = 8
	aheadTime = 2 * time.Second
)

// budget is what this lead may still allow.
//
// Of the requests reserved in the record, only those that this lead reserved itself are
// its to allow: an earlier lead may have allowed the others, to upstreams that this lead
// doesn't know. An allowance is charged by how far it exceeds what was sent before the
// first one of this lead. So the allowances of all leads together never exceed the
// reservation.
type budget struct {
	// own is what this lead has reserved, and charged the part of it that is allowed.
	own     uint64
	charged uint64
	// grants holds the allowance of each pair of a node and an upstream.
	grants    bltable.Table[string, uint64]
	writtenAt bltimer.Instant
}

func (b budget) available() uint64 {
	return difference(b.own, b.charged)
}

// exposureLimit returns how many requests may be allowed in total, given those that the
// service has had since the order.
func (s Rollouts[J]) exposureLimit(requests uint64) uint64 {
	exposure := s.config.Plan.Exposure
	limit := exposureFactor*exposure.Share*float64(requests) + reserveFactor*float64(exposure.Reserve)
	return uint64(max(math.Floor(limit), 0))
}

// withReserved credits what a write of the record has reserved. Requests sent beyond
// the earlier reservation were allowed under one that the store has lost.
func (r rollout) withReserved(before, written Record) rollout {
	if !continues(written, r.order) {
		return r
	}
	reserved := uint64(0)
	if before.Order.Target != "" && continues(before, written.Order) {
		reserved = before.Reserved
	}
	_, sent := r.sent()
	r.budget.own += difference(written.Reserved, max(reserved, sent))
	return r
}

// dueReserve returns the reservation that the record should hold next, and whether it is
// worth a write.
func (s Rollouts[J]) dueReserve(r rollout, record Record, f fleet, now bltimer.Instant) (uint64, bool) {
	requests, sent := r.sent()
	limit := s.exposureLimit(requests)
	first := !r.recorded()
	switch {
	case r.step != StepCanaries || limit <= max(record.Reserved, sent):
		return 0, false
	case first:
		return limit, true
	case now.Sub(r.budget.writtenAt) < raiseInterval || limit-max(record.Reserved, sent) < minRaise:
		return 0, false
	}
	return limit, r.budget.available() < r.ahead(f, now)*uint64(max(r.serving.Len(), 1))
}

// ahead returns how many requests a canary may be allowed in advance.
func (r rollout) ahead(f fleet, now bltimer.Instant) uint64 {
	requests, _ := r.sent()
	upstreams := max(len(f.old)+r.serving.Len(), 1)
	age := max(r.age(now), slotDuration)
	return max(minAhead, uint64(float64(requests)/float64(upstreams)*aheadTime.Seconds()/age.Seconds()))
}

// need is a canary with the requests that it should be allowed on top.
type need struct {
	key    string
	base   uint64
	wanted uint64
}

// withAllowances raises the allowances of the canaries. If the budget doesn't suffice for
// all, they share it equally.
func (s Rollouts[J]) withAllowances(r rollout, f fleet, now bltimer.Instant) rollout {
	if r.step != StepCanaries || !r.stored.loaded || r.stored.rewrite || r.stored.foreign || !s.settled(r, f, now) {
		return r
	}
	needs := s.needs(r, f, now)
	for i, n := range needs {
		given := min(n.wanted, r.budget.available()/uint64(len(needs)-i))
		if given == 0 {
			continue
		}
		r.budget.charged += given
		r.budget.grants = r.budget.grants.With(n.key, n.base+given)
	}
	return r
}

func (s Rollouts[J]) needs(r rollout, f fleet, now bltimer.Instant) []need {
	var needs []need
	ahead := r.ahead(f, now)
	for _, u := range f.target {
		if _, ok := r.serving.Get(u.Upstream.Incarnation); !ok {
			continue
		}
		key := grantKey(u)
		report, _ := r.results.Get(key)
		sent := report.results.Sent
		allowed, ok := r.budget.grants.Get(key)
		if !ok {
			allowed = sent
		}
		if left := difference(allowed, sent); left < ahead {
			needs = append(needs, need{key: key, base: allowed, wanted: ahead - left})
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(a.wanted, b.wanted) })
	return needs
}

func grantKey(u blassign.RolloutUpstream) string {
	return pairKey(u.Node.Incarnation, u.Upstream.Incarnation)
}
