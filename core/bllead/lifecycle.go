package bllead

import "bergamotlead/core/bllifecycle"

// Role is the state of a process in the election of the lead.
type Role string

// The roles.
const (
	// RoleFollower is neither lead nor about to become lead.
	RoleFollower Role = "follower"
	// RoleAcquiring waits for the store to grant the lead lease.
	RoleAcquiring Role = "acquiring"
	// RoleClaiming holds the lease and waits for the store to accept its record.
	RoleClaiming Role = "claiming"
	// RoleLeading acts as lead under a lease of the store.
	RoleLeading Role = "leading"
	// RoleHolding acts as lead while the store is unreachable and writes nothing
	// to it.
	RoleHolding Role = "holding"
)

type roleEvent string

const (
	eventAcquire roleEvent = "acquire"
	eventClaim   roleEvent = "claim"
	eventGain    roleEvent = "gain"
	eventHold    roleEvent = "hold"
	eventResume  roleEvent = "resume"
	eventLose    roleEvent = "lose"
)

func roles() *bllifecycle.Table[Role, roleEvent] {
	type transition = bllifecycle.Transition[Role, roleEvent]
	return bllifecycle.NewTable(
		transition{Event: eventAcquire, From: []Role{RoleFollower}, To: RoleAcquiring},
		transition{Event: eventClaim, From: []Role{RoleAcquiring}, To: RoleClaiming},
		transition{Event: eventGain, From: []Role{RoleClaiming}, To: RoleLeading},
		transition{Event: eventHold, From: []Role{RoleLeading}, To: RoleHolding},
		transition{Event: eventResume, From: []Role{RoleHolding}, To: RoleLeading},
		transition{
			Event: eventLose,
			From:  []Role{RoleAcquiring, RoleClaiming, RoleLeading, RoleHolding},
			To:    RoleFollower,
		},
	)
}
