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

// due reports whether results have changed and are to be reported. That an upstream has no
// request left is reported at once, since it may end a roll-out.
func (r ResultsReport) due(reported, results blvalue.UpstreamResults) bool {
	if results.SameCounts(reported) {
		return false
	}
	order, ok := r.Orders[results.Service]
	settled := ok && results.OrderAge > settledFactor*order.Duration
	idle := results.Running == 0 && reported.Running > 0
	return !settled || idle || results.Order != reported.Order || results.OrderAge-reported.OrderAge >= settledInterval
}
