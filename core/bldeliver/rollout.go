package bldeliver

import (
	"math"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blmember"
	"bergamotlead/core/bltable"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// unlimited is the number of requests that may be sent where no allowance limits them.
const unlimited = math.MaxUint64

// replacedRetention is how long the results of a run are kept once another run has taken
// its place: several heartbeats, in which the lead gets the last of them.
const replacedRetention = 5 * time.Second

// countedOrder is a roll-out order for which this node counts results.
type countedOrder struct {
	blconfig.RolloutOrder

	// first is the revision at which the counts began. Later revisions with the same target
	// and duration go on with them.
	first     uint64
	learnedAt bltimer.Instant
}

// covers reports whether an allowance for the given revision is one for the order.
func (o countedOrder) covers(revision uint64) bool {
	return o.first <= revision && revision <= o.Revision
}

// receivedAllowance is an allowance with the lead that gave it.
type receivedAllowance struct {
	blvalue.Allowance

	term   uint64
	sentAt bltimer.Instant
}

// replacedBy reports whether a later allowance takes the place of this one. One of a later
// lead, which may not know that the version has passed, ends an unlimited one only if it
// allows nothing.
func (a receivedAllowance) replacedBy(later receivedAllowance) bool {
	if a.term == later.term {
		return !later.sentAt.Before(a.sentAt)
	}
	return !a.Unlimited || later.Unlimited || later.Requests == 0 || later.Order != a.Order
}

// Rollouts is what the delivery duty knows of roll-outs: the orders, the results of the
// requests sent since, and what the lead allows. It is immutable, and empty in a
// deployment without roll-out orders.
type Rollouts struct {
	orders bltable.Table[blvalue.ServiceName, countedOrder]
	// results and allowances are kept by run of an upstream. Results outlast the
	// announcements of a run, so that one that is announced again goes on with them.
	results bltable.Table[blvalue.Incarnation, blvalue.UpstreamResults]
	// replacedAt holds when runs with results were seen to have been replaced.
	replacedAt bltable.Table[blvalue.Incarnation, bltimer.Instant]
	allowances bltable.Table[blvalue.Incarnation, receivedAllowance]
	// term is the latest term of which allowances have been seen.
	term uint64
	// held holds the runs of upstreams that are held in the directory of the given
	// version.
	held      bltable.Table[blvalue.Incarnation, bool]
	directory blassign.DirectoryVersion
}

// withOrders returns the roll-outs under a new configuration. A service whose order is
// gone, or has another target or duration, starts without results: another duration makes
// it a new order if the earlier one has ended.
func (r Rollouts) withOrders(plan blconfig.Plan, now bltimer.Instant) Rollouts {
	for service := range r.orders.All() {
		if _, ok := plan.RolloutOf(service); !ok {
			r = r.withoutOrder(service)
		}
	}
	for service := range plan.Rollouts {
		order, ok := plan.RolloutOf(service)
		if !ok {
			continue
		}
		counted, known := r.orders.Get(service)
		if !known || counted.Target != order.Target || counted.Duration != order.Duration {
			r = r.withoutOrder(service)
			counted = countedOrder{first: order.Revision, learnedAt: now}
		}
		counted.RolloutOrder = order
		r.orders = r.orders.With(service, counted)
	}
	return r
}

func (r Rollouts) withoutOrder(service blvalue.ServiceName) Rollouts {
	r.orders = r.orders.Without(service)
	for incarnation, results := range r.results.All() {
		if results.Service == service {
			r = r.withoutResults(incarnation)
		}
	}
	return r
}

func (r Rollouts) withoutResults(incarnation blvalue.Incarnation) Rollouts {
	r.results = r.results.Without(incarnation)
	r.replacedAt = r.replacedAt.Without(incarnation)
	return r
}

// withAnnounced returns the roll-outs without what concerns runs of upstreams that are
// gone. The results of the last run under a name are kept.
func (r Rollouts) withAnnounced(announcements []blmember.Announcement, now bltimer.Instant) Rollouts {
	for incarnation, results := range r.results.All() {
		if !isReplaced(announcements, results) {
			continue
		}
		since, ok := r.replacedAt.Get(incarnation)
		switch {
		case !ok:
			r.replacedAt = r.replacedAt.With(incarnation, now)
		case now.Sub(since) > replacedRetention:
			r = r.withoutResults(incarnation)
		}
	}
	for incarnation := range r.allowances.All() {
		if !announcedRun(announcements, incarnation) {
			r.allowances = r.allowances.Without(incarnation)
		}
	}
	return r
}

// isReplaced reports whether another run is announced under the name of an upstream.
func isReplaced(list []blmember.Announcement, results blvalue.UpstreamResults) bool {
	for _, a := range list {
		if a.Upstream.Name == results.Upstream {
			return a.Upstream.Incarnation != results.Incarnation
		}
	}
	return false
}

func announcedRun(list []blmember.Announcement, incarnation blvalue.Incarnation) bool {
	for _, a := range list {
		if a.Upstream.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// withAllowances returns the roll-outs after an answer of a lead to a node whose upstreams
// are of the given services. Answers of leads before the latest one are ignored. One for an
// order that the node doesn't know yet leaves the allowance for the present order: the
// later order may have the same target.
func (r Rollouts) withAllowances(m AllowancesSeen, services map[blvalue.Incarnation]blvalue.ServiceName) Rollouts {
	if m.Term < r.term {
		return r
	}
	r.term = m.Term
	for _, given := range m.Allowances {
		received := receivedAllowance{Allowance: given, term: m.Term, sentAt: m.SentAt}
		current, ok := r.allowances.Get(given.Incarnation)
		order, ordered := r.orders.Get(services[given.Incarnation])
		if ok && ordered && order.covers(current.Order) && given.Order > order.Revision {
			continue
		}
		if !ok || current.replacedBy(received) {
			r.allowances = r.allowances.With(given.Incarnation, received)
		}
	}
	return r
}

// withDirectory returns the roll-outs after the lead's changes to the directory.
func (r Rollouts) withDirectory(changes blassign.Directory) Rollouts {
	if changes.Full {
		r.held = bltable.Table[blvalue.Incarnation, bool]{}
	}
	for _, entry := range changes.Entries {
		if entry.Held && !entry.Gone {
			r.held = r.held.With(entry.Upstream.Incarnation, true)
			continue
		}
		r.held = r.held.Without(entry.Upstream.Incarnation)
	}
	r.directory = changes.Version
	return r
}

// isHeld reports whether the directory holds the upstream.
func (r Rollouts) isHeld(upstream blvalue.Upstream) bool {
	held, _ := r.held.Get(upstream.Incarnation)
	return held
}

// left returns how many more requests the node may send to the upstream. Where the
// service has an order for the upstream's version, that takes a valid allowance.
func (r Rollouts) left(upstream blvalue.Upstream, now bltimer.Instant) uint64 {
	order, ok := r.orders.Get(upstream.Service)
	if !ok || order.Target != upstream.Version {
		return unlimited
	}
	allowance, ok := r.allowances.Get(upstream.Incarnation)
	switch {
	case !ok || !order.covers(allowance.Order):
		return 0
	case allowance.Unlimited:
		return unlimited
	case !now.Before(allowance.sentAt.Add(allowance.TTL)):
		return 0
	}
	results, _ := r.results.Get(upstream.Incarnation)
	return allowance.Requests - min(results.Sent, allowance.Requests)
}

// left returns how many more requests the node may send to an upstream. One that is held
// gets none, so that no node with an earlier directory reaches it. The owner of a key is
// sent requests until its grant ends.
func (s State) left(upstream UpstreamState, now bltimer.Instant) uint64 {
	run := upstream.announcement.Upstream
	if s.rollouts.isHeld(run) && s.service(upstream.announcement).Kind != blconfig.ServiceExclusive {
		return 0
	}
	return s.rollouts.left(run, now)
}

func (s State) allowancesSeen(m AllowancesSeen) State {
	services := map[blvalue.Incarnation]blvalue.ServiceName{}
	for _, upstream := range s.upstreams.All() {
		services[upstream.Incarnation()] = upstream.announcement.Upstream.Service
	}
	s.rollouts = s.rollouts.withAllowances(m, services)
	return s
}

// Directory returns the version of the directory by which this node holds upstreams back.
func (s State) Directory() blassign.DirectoryVersion { return s.rollouts.directory }
