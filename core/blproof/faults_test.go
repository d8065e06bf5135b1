package blproof_test

import (
	"time"

	"pgregory.net/rapid"
)

// fault is a failure that a schedule injects at time at. It lasts for length,
// unless its kind is a restart.
type fault struct {
	kind   string
	node   int
	other  int
	at     time.Duration
	length time.Duration
}

// faultGenerator generates random faults that start no later than lastFaultAt.
func faultGenerator() *rapid.Generator[fault] {
	return rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind: rapid.SampledFrom([]string{
				"pause", "pause", "restart", "kill", "cut", "store cut", "store down", "lead pause", "lead restart",
				"lead store cut", "lead and owner restart", "standby restart", "lead standby cut",
			}).Draw(t, "kind"),
			node:   rapid.IntRange(0, nodeCount-1).Draw(t, "node"),
			other:  rapid.IntRange(0, nodeCount-1).Draw(t, "other"),
			at:     time.Duration(rapid.IntRange(0, int(lastFaultAt/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			length: time.Duration(rapid.IntRange(50, 3000).Draw(t, "length")) * time.Millisecond,
		}
	})
}

// scheduleFault schedules the start and the end of a fault.
func (sim *simulation) scheduleFault(f fault) {
	sim.schedule(f.at, func() { sim.applyFault(f) })
}

func (sim *simulation) leadNode() *node {
	for _, n := range sim.nodes {
		if !n.down && n.lead.Authority(n.clock()).Holds(n.clock()) {
			return n
		}
	}
	return nil
}

func (sim *simulation) standbyNode() *node {
	lead := sim.leadNode()
	if lead == nil {
		return nil
	}
	for _, n := range sim.nodes {
		if n.host.Incarnation == lead.lead.Record().Standby.Incarnation {
			return n
		}
	}
	return nil
}

func (sim *simulation) applyFault(f fault) {
	n, other := sim.nodes[f.node], sim.nodes[f.other]
	lead, standby := sim.leadNode(), sim.standbyNode()
	switch f.kind {
	case "pause":
		n.pausedUntil = sim.now + f.length
	case "lead pause":
		if lead != nil {
			lead.pausedUntil = sim.now + f.length
		}
	case "restart":
		n.start()
	case "lead restart":
		if lead != nil {
			lead.start()
		}
	case "standby restart":
		if standby != nil {
			standby.start()
		}
	case "lead and owner restart":
		if lead != nil {
			lead.start()
		}
		other.start()
	case "kill":
		n.down = true
		sim.schedule(f.length, func() {
			if n.down {
				n.start()
			}
		})
	case "cut":
		sim.cutLink(n, other, f.length)
	case "lead standby cut":
		if lead != nil && standby != nil {
			sim.cutLink(lead, standby, f.length)
		}
	case "store cut":
		sim.cutStoreLink(n, f.length)
	case "lead store cut":
		if lead != nil {
			sim.cutStoreLink(lead, f.length)
		}
	case "store down":
		sim.storeDown = true
		sim.schedule(f.length, func() { sim.storeDown = false })
	}
}

func (sim *simulation) cutLink(a, b *node, length time.Duration) {
	if a == b {
		return
	}
	sim.cutLinks[linkKey(a.index, b.index)] = true
	sim.schedule(length, func() { delete(sim.cutLinks, linkKey(a.index, b.index)) })
}

func (sim *simulation) cutStoreLink(n *node, length time.Duration) {
	sim.cutStoreLinks[n.index] = true
	sim.schedule(length, func() { delete(sim.cutStoreLinks, n.index) })
}
