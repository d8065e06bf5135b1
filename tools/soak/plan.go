package main

import (
	"math/rand/v2"
	"time"
)

// fault is one kind of trouble that the soak makes.
type fault string

// The faults.
const (
	faultKillNode       fault = "kill_node"
	faultStopNode       fault = "stop_node"
	faultFreezeNode     fault = "freeze_node"
	faultReloadNode     fault = "reload_node"
	faultKillUpstream   fault = "kill_upstream"
	faultFreezeUpstream fault = "freeze_upstream"
	faultSlowUpstream   fault = "slow_upstream"
	faultBreakAnswers   fault = "break_answers"
	faultStoreDown      fault = "store_down"
	faultStoreSlow      fault = "store_slow"
	faultStoreLoses     fault = "store_loses_answers"
	faultStoreLapses    fault = "store_lapses_leases"
	faultCutNode        fault = "cut_node_link"
	faultDelayNode      fault = "delay_node_link"
	faultResetNode      fault = "reset_node_link"
	faultSilenceNode    fault = "silence_node_link"
	faultCutStore       fault = "cut_store_link"
	faultConfig         fault = "change_config"
)

// faults lists all faults. Those that come more often stand more than once.
var faults = []fault{
	faultKillNode, faultKillNode, faultStopNode, faultFreezeNode, faultFreezeNode, faultReloadNode, faultKillUpstream,
	faultFreezeUpstream, faultSlowUpstream, faultBreakAnswers, faultStoreDown, faultStoreSlow, faultStoreLoses,
	faultStoreLapses, faultCutNode, faultCutNode, faultDelayNode, faultResetNode, faultSilenceNode, faultCutStore,
	faultCutStore, faultConfig, faultConfig,
}

// step is one fault of a plan.
type step struct {
	Fault fault `json:"fault"`
	// At is when it begins, counted from the start of traffic, and Lasts how long
	// it goes on.
	At    time.Duration `json:"at"`
	Lasts time.Duration `json:"lasts"`
	// Host is the position of the host that it strikes.
	Host int `json:"host"`
	// Back tells that a cut takes what comes back rather than what goes there.
	Back bool `json:"back"`
}

const (
	minGap   = 150 * time.Millisecond
	maxGap    = 1500 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration  = 3 * time.Second
	// faultFreeTail is the time at the end of a run in which no fault begins.
	faultFreeTail = 4 * time.Second
)

// newPlan draws the faults of a run. The same seed gives the same plan. Faults
// overlap.
func newPlan(seed uint64, length time.Duration, hosts int) []step {
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	var plan []step
	for at := between(minGap, maxGap); at < length-faultFreeTail; at += between(minGap, maxGap) {
		plan = append(plan, step{
			Fault: faults[random.IntN(len(faults))], At: at, Lasts: min(between(minFaultDuration, maxFaultDuration), length-faultFreeTail-at+minFaultDuration),
			Host: random.IntN(hosts), Back: random.IntN(2) == 0,
		})
	}
	return plan
}
