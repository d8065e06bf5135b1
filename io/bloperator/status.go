// Package bloperator implements the operators' interface of a node: its status,
// the configuration, metrics, profiles and the HTML console.
package bloperator

import (
	"context"
	"time"

	"bergamotlead/core/blvalue"
)

// Status is the state of a node, in JSON.
type Status struct {
	Host        blvalue.HostName    `json:"host"`
	Incarnation blvalue.Incarnation `json:"incarnation"`
	Domain      blvalue.DomainName  `json:"failure_domain"`
	Region      string              `json:"region"`
	// Role is the node's role in the lead election, such as follower or leading.
	Role string `json:"role"`
	// Term and Lead are the latest ones that the node has learned.
	Term uint64           `json:"term"`
	Lead blvalue.HostName `json:"lead"`
	// Standby is set on the lead.
	Standby blvalue.HostName `json:"standby,omitempty"`
	// MayChange is set on the lead while it can store changes.
	MayChange      bool   `json:"may_change"`
	ConfigRevision uint64 `json:"config_revision"`
	// HeardAgoMS is the time since the latest heartbeat that a lead answered.
	HeardAgoMS int64      `json:"heard_ago_ms"`
	Upstreams  []Upstream `json:"upstreams"`
	// Members is set on the lead.
	Members []Member `json:"members,omitempty"`
	// Moves is set on the lead: the number of partitions moved in its term.
	Moves uint64 `json:"moves,omitempty"`
	// Rollouts is set on the lead.
	Rollouts []Rollout `json:"rollouts,omitempty"`
}

// Rollout is the lead's view of the roll-out of a service.
type Rollout struct {
	Service blvalue.ServiceName `json:"service"`
	Target  string              `json:"target"`
	// State is running, completed or rolled_back, as in the store, or empty until it is
	// known there.
	State string `json:"state"`
	// Step is what the lead does at present.
	Step       string `json:"step"`
	AgeMS      int64  `json:"age_ms"`
	DurationMS int64  `json:"duration_ms"`
	// Canaries is the number of upstreams of the version that were released first.
	Canaries int `json:"canaries"`
	// Requests counts the requests of the service since the order, and Exposed those of
	// them that the version got.
	Requests uint64 `json:"requests"`
	Exposed  uint64 `json:"exposed"`
	// Reserved is the number of requests that leads reserved for the version in the
	// store, Allowed what this lead has allowed of them, and Limit the highest number
	// that may be reserved at present.
	Reserved uint64           `json:"reserved"`
	Allowed  uint64           `json:"allowed"`
	Limit    uint64           `json:"limit"`
	Reason   string           `json:"reason,omitempty"`
	Results  []RolloutResults `json:"results,omitempty"`
}

// RolloutResults are the results of the target version or of all others in one class.
type RolloutResults struct {
	// Version is target or other.
	Version  string `json:"version"`
	Class    string `json:"class"`
	Answered uint64 `json:"answered"`
	Failed   uint64 `json:"failed"`
	Slow     uint64 `json:"slow"`
}

// Upstream is an upstream on the node's host.
type Upstream struct {
	Name       blvalue.UpstreamName `json:"name"`
	Service    blvalue.ServiceName  `json:"service"`
	Address    string               `json:"address"`
	Leaving    bool                 `json:"leaving"`
	Cold       bool                 `json:"cold"`
	Partitions int                  `json:"partitions"`
	Fence      string               `json:"fence,omitempty"`
	Running    int                  `json:"running"`
	Waiting    int                  `json:"waiting"`
	Limit      int                  `json:"limit"`
}

// Member is the lead's view of a node.
type Member struct {
	Host           blvalue.HostName       `json:"host"`
	Domain         blvalue.DomainName     `json:"failure_domain"`
	Address        string                 `json:"address"`
	ConfigRevision uint64                 `json:"config_revision"`
	HeardAgoMS     int64                  `json:"heard_ago_ms"`
	Leaving        bool                   `json:"leaving"`
	Upstreams      []blvalue.UpstreamName `json:"upstreams"`
}

// Assignment is a node's view of the owners of a service's partitions.
type Assignment struct {
	Service    blvalue.ServiceName          `json:"service"`
	Partitions int                          `json:"partitions"`
	Owners     []blvalue.UpstreamName       `json:"owners"`
	Counts     map[blvalue.UpstreamName]int `json:"counts"`
}

// Config is the configuration in force at a node.
type Config struct {
	Revision uint64 `json:"revision"`
	Document string `json:"document"`
}

// Change is a request to store a configuration, in JSON.
type Change struct {
	BaseRevision uint64 `json:"base_revision"`
	Document     string `json:"document"`
	WaitMS       int64  `json:"wait_ms"`
}

// Values of ChangeResult.Result.
const (
	ResultAccepted = "accepted"
	ResultConflict = "conflict"
	ResultRefused  = "refused"
	ResultUnknown  = "unknown"
	ResultNoLead   = "no_lead"
)

// ChangeResult is the result of a change.
type ChangeResult struct {
	Result   string `json:"result"`
	Revision uint64 `json:"revision,omitempty"`
	InForce  bool   `json:"in_force"`
	Detail   string `json:"detail,omitempty"`
	// Document is the current document when the result is a conflict.
	Document string `json:"document,omitempty"`
}

// PastChange is one entry of the configuration history.
type PastChange struct {
	// BaseRevision is the revision that the change replaced.
	BaseRevision uint64    `json:"base_revision"`
	At           time.Time `json:"at"`
	Settings     []string  `json:"settings"`
}

// Node is the node that the operators' interface serves.
type Node interface {
	Status() Status
	Assignment(service blvalue.ServiceName) (Assignment, bool)
	OwnerOf(service blvalue.ServiceName, key blvalue.Key) (blvalue.UpstreamName, bool)
	Config() Config
	Change(ctx context.Context, change Change) ChangeResult
	History(ctx context.Context) ([]PastChange, error)
	MarkLost(ctx context.Context, host blvalue.HostName) error
}
