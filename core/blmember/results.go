package blmember

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bltable"
	"bergamotlead/core/blvalue"
)

const (
	// settledFactor is the multiple of an order's duration after which its roll-out has
	// most likely ended. An order may stay in the store for good.
	settledFactor = 2
	// settledInterval is the interval between reports of an upstream's results from then
	// on, so that they cost hardly any traffic.
	settledInterval = 5 * time.Second
	// unchangedInterval is the interval between reports of unchanged results before that.
	// Without them the lead would never learn that an upstream which it holds back, and
	// which gets no request any more, has run none since.
	unchangedInterval = 1500 * time.Millisecond
)

// ReportedResults are the results that the lead has acknowledged, by run of the upstream.
type ReportedResults = bltable.Table[blvalue.Incarnation, blvalue.UpstreamResults]

// ResultsReport selects the results that go into a heartbeat.
type ResultsReport struct {
	// Reported holds what the lead has acknowledged. It is empty if the lead may be a new
	// one, which then gets all results.
	Reported ReportedResults
	// Orders holds the roll-out orders in force.
	Orders map[blvalue.ServiceName]blconfig.RolloutOrder
}

// Select returns those of the node's current results that the lead doesn't know yet, and
// what it knows once it has answered the heartbeat.
func (r ResultsReport) Select(current []blvalue.UpstreamResults) ([]blvalue.UpstreamResults, ReportedResults) {
	var changed []blvalue.UpstreamResults
	var known ReportedResults
	for _, results := range current {
		reported, ok := r.Reported.Get(results.Incarnation)
		if ok && !r.due(reported, results) {
			known = known.With(results.Incarnation, reported)
			continue
		}
		changed = append(changed, results)
		known = known.With(results.Incarnation, results)
	}
	return changed, known
}

// due reports whether results are to be reported, since they have changed or were reported
// some time ago. That an upstream has no request left is reported at once, since it may end
// a roll-out.
func (r ResultsReport) due(reported, results blvalue.UpstreamResults) bool {
	order, ok := r.Orders[results.Service]
	settled, interval := false, unchangedInterval
	if ok && results.OrderAge > settledFactor*order.Duration {
		settled, interval = true, settledInterval
	}
	if results.OrderAge-reported.OrderAge >= interval {
		return true
	}
	if results.SameCounts(reported) {
		return false
	}
	idle := results.Running == 0 && reported.Running > 0
	return !settled || idle || results.Order != reported.Order
}
