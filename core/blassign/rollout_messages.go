package blassign

import "bergamotlead/core/blvalue"

// AdmissionChanged carries which upstreams a roll-out holds back and what nodes may send
// to upstreams of unproven versions. It replaces the previous one.
type AdmissionChanged struct {
	// Term is the term of the lead that decided it. Those of other terms are ignored.
	Term uint64
	// Step increases whenever Held changes.
	Step uint64
	// Held lists the runs of upstreams that get no new requests and no partitions.
	Held []blvalue.Incarnation
	// Allowances holds one entry for each run of an upstream of an unproven or proven
	// version of a service with a roll-out order.
	Allowances []blvalue.Allowance
}

func (AdmissionChanged) assignMessage() {}

// RolloutUpstream is an upstream of a service with a roll-out order, as the lead knows it.
type RolloutUpstream struct {
	Upstream blvalue.Upstream
	Node     blvalue.Host
	// Partitions counts the partitions that the upstream owns or, as an earlier owner,
	// may still be using.
	Partitions int
}

// RolloutView tells the roll-out duty of the lead what the fleet looks like. It is sent
// with each tick while there are roll-out orders.
type RolloutView struct {
	Term      uint64
	Upstreams []RolloutUpstream
	// ConfirmedStep is the latest step of AdmissionChanged by whose directory no held
	// upstream gets a request any more: all nodes have it that are up, or that may still
	// send requests to a held upstream beside them.
	ConfirmedStep uint64
}

func (RolloutView) assignEffect() {}

// ResultsReported passes the results in a heartbeat to the roll-out duty of the lead.
type ResultsReported struct {
	Term    uint64
	Node    blvalue.Host
	Results []blvalue.UpstreamResults
}

func (ResultsReported) assignEffect() {}
