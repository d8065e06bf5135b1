package blnode

import (
	"fmt"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/bloperator"
)

// rolloutStatus returns the roll-outs as the lead sees them.
func (n *Node) rolloutStatus() []bloperator.Rollout {
	views := n.duties.rollout.View().Views(n.clock.Now())
	list := make([]bloperator.Rollout, 0, len(views))
	for _, view := range views {
		entry := bloperator.Rollout{
			Service: view.Service, Target: view.Target, State: string(view.Phase), Step: string(view.Step),
			AgeMS: view.Age.Milliseconds(), DurationMS: view.Duration.Milliseconds(), Canaries: len(view.Canaries),
			Requests: view.Requests, Exposed: view.Exposed, Reserved: view.Reserved, Allowed: view.Allowed, Limit: view.Limit,
			Reason: view.Reason,
		}
		for _, r := range view.Results {
			entry.Results = append(entry.Results, bloperator.RolloutResults{
				Version: versionName(r.Target), Class: r.Class, Answered: r.Answered, Failed: r.Failed, Slow: r.Slow,
			})
		}
		list = append(list, entry)
	}
	return list
}

// rolloutView returns the roll-out of a service, or the zero value if there is none or
// this node isn't lead.
func (n *Node) rolloutView(service blvalue.ServiceName) blrollout.View {
	for _, view := range n.duties.rollout.View().Views(n.clock.Now()) {
		if view.Service == service {
			return view
		}
	}
	return blrollout.View{}
}

// rolloutGauges are the gauges of a roll-out without further labels.
func rolloutGauges() map[string]func(blrollout.View) float64 {
	return map[string]func(blrollout.View) float64{
		"bergamotlead_rollout_canaries":          func(v blrollout.View) float64 { return float64(len(v.Canaries)) },
		"bergamotlead_rollout_requests_reserved": func(v blrollout.View) float64 { return float64(v.Reserved) },
		"bergamotlead_rollout_requests_allowed":  func(v blrollout.View) float64 { return float64(v.Allowed) },
		"bergamotlead_rollout_requests_used":     func(v blrollout.View) float64 { return float64(v.Exposed) },
		"bergamotlead_rollout_requests":          func(v blrollout.View) float64 { return float64(v.Requests) },
	}
}

// resultGauges are the gauges of the results of each version.
func resultGauges() map[string]func(blrollout.VersionResults) uint64 {
	return map[string]func(blrollout.VersionResults) uint64{
		"bergamotlead_rollout_answered": func(r blrollout.VersionResults) uint64 { return r.Answered },
		"bergamotlead_rollout_failed":   func(r blrollout.VersionResults) uint64 { return r.Failed },
		"bergamotlead_rollout_slow":     func(r blrollout.VersionResults) uint64 { return r.Slow },
	}
}

// addRolloutGauges registers the gauges of the roll-outs in a configuration. Versions are
// distinguished by whether they are the target, since the names of all targets over time
// would be series without end.
func (n *Node) addRolloutGauges(plan blconfig.Plan) {
	for service := range plan.Rollouts {
		for _, phase := range []blrollout.Phase{blrollout.PhaseRunning, blrollout.PhaseCompleted, blrollout.PhaseRolledBack} {
			n.metrics.Gauge(fmt.Sprintf(`bergamotlead_rollout_state{service=%q,state=%q}`, service, phase), func() float64 {
				if n.rolloutView(service).Phase == phase {
					return 1
				}
				return 0
			})
		}
		for name, read := range rolloutGauges() {
			n.metrics.Gauge(fmt.Sprintf(`%s{service=%q}`, name, service), func() float64 { return read(n.rolloutView(service)) })
		}
		for name, read := range resultGauges() {
			n.addResultGauges(name, service, read)
		}
	}
}

func (n *Node) addResultGauges(name string, service blvalue.ServiceName, read func(blrollout.VersionResults) uint64) {
	for _, target := range []bool{true, false} {
		n.metrics.Gauge(fmt.Sprintf(`%s{service=%q,version=%q}`, name, service, versionName(target)), func() float64 {
			sum := uint64(0)
			for _, r := range n.rolloutView(service).Results {
				if r.Target == target {
					sum += read(r)
				}
			}
			return float64(sum)
		})
	}
}
