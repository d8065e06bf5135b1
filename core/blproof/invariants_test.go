package blproof_test

import (
	"fmt"

	"bergamotlead/core/blvalue"
)

// servedFence is the fence under which a partition was last served, and the
// incarnation that served it.
type servedFence struct {
	fence  blvalue.Fence
	holder blvalue.Incarnation
}

func (sim *simulation) recordViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, values...))
}

// checkFence verifies that a partition that has moved to another holder is served
// under a higher fence. An upstream that keeps its grants checks that itself.
func (n *node) checkFence(p blvalue.Partition, fence blvalue.Fence) {
	last := n.sim.fences[p]
	if n.server != nil {
		return
	}
	if last.holder != n.host.Incarnation && last.holder != "" && !last.fence.Less(fence) {
		n.sim.recordViolation("partition %d: fence %v at %s after %v at %s", p, fence, n.host.Name, last.fence, last.holder)
	}
	n.sim.fences[p] = servedFence{fence: fence, holder: n.host.Incarnation}
}

// checkTerm records a violation if a term begins that has begun before, since the sequence
// of its fences would start anew.
func (n *node) checkTerm(term uint64) {
	if term != 0 && term != n.term {
		if n.sim.begun[term] {
			n.sim.recordViolation("term %d begins again at %s", term, n.host.Name)
		}
		n.sim.begun[term] = true
	}
	n.term = term
}

// checkOwners records a violation if two nodes may use the same partition at the
// current time. Upstreams that keep their grants are checked instead of their nodes.
func (sim *simulation) checkOwners() {
	if sim.keepsGrants() {
		return
	}
	for p := range blvalue.Partition(partitions) {
		owner := -1
		for _, n := range sim.nodes {
			if n.down || !n.grant.Uses("pot", p, n.clock()) {
				continue
			}
			if owner >= 0 {
				sim.recordViolation("partition %d is used by host_%d and host_%d", p, owner, n.index)
				return
			}
			owner = n.index
		}
	}
}

// checkLeads records a violation if two nodes may act as lead at the current
// time.
func (sim *simulation) checkLeads() {
	lead := -1
	for _, n := range sim.nodes {
		if n.down || !n.lead.Authority(n.clock()).Holds(n.clock()) {
			continue
		}
		if lead >= 0 {
			sim.recordViolation("host_%d and host_%d both lead", lead, n.index)
			return
		}
		lead = n.index
	}
}
