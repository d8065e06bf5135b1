package bllead

import "bergamotlead/core/bllifecycle"

// Role is the state of a process in the lifecycle of a lead.
type Role string

// The roles.
const (
	// RoleFollower has no part in leading.
	RoleFollower Role = "follower"
	// RoleAcquiring waits for the store to give it the lead lease.
	RoleAcquiring Role = "acquiring"
	// RoleClaiming waits for the store to take its record.
	RoleClaiming Role = "claiming"
	// RoleLeading leads by a lease of the store.
	RoleLeading Role = "leading"
	// RoleHolding leads without the store and changes nothing that is stored.
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
