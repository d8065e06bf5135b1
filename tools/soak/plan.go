package main

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is a kind of fault that the soak injects.
type fault string

// The faults.
const (
	faultKillNode           fault = "kill_node"
	faultStopNode           fault = "stop_node"
	faultFreezeNode         fault = "freeze_node"
	faultReloadNode         fault = "reload_node"
	faultKillUpstream       fault = "kill_upstream"
	faultFreezeUpstream     fault = "freeze_upstream"
	faultSlowUpstream       fault = "slow_upstream"
	faultBreakAnswers       fault = "break_answers"
	faultStoreDown          fault = "store_down"
	faultStoreSlow          fault = "store_slow"
	faultStoreLosesAnswers  fault = "store_loses_answers"
	faultStoreExpiresLeases fault = "store_lapses_leases"
	faultCutNode            fault = "cut_node_link"
	faultDelayNode          fault = "delay_node_link"
	faultResetNode          fault = "reset_node_link"
	faultSilenceNode        fault = "silence_node_link"
	faultCutStore           fault = "cut_store_link"
	faultConfig             fault = "change_config"
	faultRestoreStore       fault = "restore_store"
)

// faults lists the faults to draw from, but for restores of the store. A repeated fault
// is drawn more often. The list is part of the plan of a seed: another fault goes into
// a list of its own.
var faults = []fault{
	faultKillNode, faultKillNode, faultStopNode, faultFreezeNode, faultFreezeNode, faultReloadNode, faultKillUpstream,
	faultFreezeUpstream, faultSlowUpstream, faultBreakAnswers, faultStoreDown, faultStoreSlow, faultStoreLosesAnswers,
	faultStoreExpiresLeases, faultCutNode, faultCutNode, faultDelayNode, faultResetNode, faultSilenceNode, faultCutStore,
	faultCutStore, faultConfig, faultConfig,
}

// restores lists the faults that are drawn in addition where restores are.
var restores = []fault{faultRestoreStore, faultRestoreStore}

// drawnFaults returns the faults to draw from.
func drawnFaults(withRestores bool) []fault {
	if withRestores {
		return slices.Concat(faults, restores)
	}
	return faults
}

// plannedFault is one fault of a plan.
type plannedFault struct {
	Fault fault `json:"fault"`
	// At is when the fault begins, relative to the start of traffic, and Duration
	// is how long it lasts.
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"lasts"`
	// Host is the index of the affected host.
	Host int `json:"host"`
	// Back makes a cut drop the data from the target instead of that to it.
	Back bool `json:"back"`
}

const (
	minGap           = 150 * time.Millisecond
	maxGap           = 1500 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// faultFreeTail is the time at the end of a run in which no fault begins.
	faultFreeTail = 4 * time.Second
)

// newPlan draws the faults of a run, which may overlap. The same seed gives the
// same plan with the same faults to draw from.
func newPlan(seed uint64, length time.Duration, hosts int, drawn []fault) []plannedFault {
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(random.Int64N(int64(to-from)))
	}
	var plan []plannedFault
	for at := between(minGap, maxGap); at < length-faultFreeTail; at += between(minGap, maxGap) {
		plan = append(plan, plannedFault{
			Fault: drawn[random.IntN(len(drawn))], At: at, Duration: min(between(minFaultDuration, maxFaultDuration), length-faultFreeTail-at+minFaultDuration),
			Host: random.IntN(hosts), Back: random.IntN(2) == 0,
		})
	}
	return plan
}
