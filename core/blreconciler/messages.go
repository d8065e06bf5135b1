// Package blreconciler implements a node's duty that reconciles the partitions
// held by an upstream with the partitions granted to the node. It serves upstreams
// that keep their grants themselves: it grants them the node's partitions, renews
// these grants, takes back partitions that the node is no longer granted, and
// tracks which partitions an upstream may still be using when an answer was lost.
package blreconciler

import (
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is an input of the reconciler duty, read from its ring.
type Message interface{ reconcilerMessage() }

// Tick tells the duty that time has passed.
type Tick struct{}

// GrantChanged carries the grant of the local upstream.
type GrantChanged struct{ Grant blgrant.Grant }

// UpstreamSeen carries the local upstream of this node and its address.
type UpstreamSeen struct {
	Upstream blvalue.Upstream
	Address  string
	// Partitions is the number of partitions of its service, or zero while that
	// is unknown.
	Partitions int
}

// OrdersAnswered carries the answers to Send, in the order of its orders.
type OrdersAnswered struct {
	Incarnation blvalue.Incarnation
	Answers     []Answer
}

func (Tick) reconcilerMessage()           {}
func (GrantChanged) reconcilerMessage()   {}
func (UpstreamSeen) reconcilerMessage()   {}
func (OrdersAnswered) reconcilerMessage() {}

// Kind is the action of an order.
type Kind string

// The kinds of orders.
const (
	// KindGrant grants a partition to the upstream, or renews its grant.
	KindGrant Kind = "grant"
	// KindRelease takes a partition back.
	KindRelease Kind = "release"
	// KindReleaseAll takes all partitions back, those that the node doesn't know of
	// included. Its fence is zero if the node knows of none: the upstream must not count
	// it as one that it has seen, and refuse the grants that follow.
	KindReleaseAll Kind = "release_all"
)

// Order is one call to the upstream.
type Order struct {
	Kind Kind
	// Partition is not used by KindReleaseAll.
	Partition blvalue.Partition
	Fence     blvalue.Fence
	// Until is when the grant of a KindGrant order expires.
	Until bltimer.Instant
	// Handover is the token that the partition's earlier owner returned, or empty.
	Handover string
}

// Result is the outcome of an order.
type Result string

// The results.
const (
	// ResultDone means that the upstream carried the order out.
	ResultDone Result = "done"
	// ResultRefused means that the upstream has seen a higher fence.
	ResultRefused Result = "refused"
	// ResultUnknown means that no answer arrived: the upstream may carry the
	// order out at any time.
	ResultUnknown Result = "unknown"
	// ResultUnsent means that the order was never sent.
	ResultUnsent Result = "unsent"
	// ResultStopped means that nothing listens at the upstream's address, so that
	// its process is gone.
	ResultStopped Result = "ended"
)

// Answer is the outcome of one order.
type Answer struct {
	Order  Order
	Result Result
	// SentAt is when the order was sent.
	SentAt bltimer.Instant
	// Handover is the token that the upstream returned with a partition.
	Handover string
	// Fault is what made the upstream's response broken, or empty.
	Fault blvalue.ResponseFault
}

// Effect is an action requested by the reconciler duty.
type Effect interface{ reconcilerEffect() }

// Send calls the upstream, once for each order. All are grants. The upstream is unknown
// if it hasn't announced itself yet.
type Send struct {
	Upstream   blvalue.Upstream
	Address    string
	Partitions int
	Orders     []Order
}

// Unsent returns the answers of orders that were never sent.
func (s Send) Unsent() OrdersAnswered {
	answers := make([]Answer, 0, len(s.Orders))
	for _, order := range s.Orders {
		answers = append(answers, Answer{Order: order, Result: ResultUnsent})
	}
	return OrdersAnswered{Incarnation: s.Upstream.Incarnation, Answers: answers}
}

// Release takes partitions back, beside a Send that is unanswered.
type Release struct{ Send }

// Reclaim takes all partitions back with one order, beside others that are unanswered.
type Reclaim struct{ Send }

// HoldingsChanged reports to the grant duty which partitions the upstream holds
// and which it has returned.
type HoldingsChanged struct{ Holdings blgrant.UpstreamHoldings }

// UpstreamResponded reports that the upstream answered.
type UpstreamResponded struct{ Incarnation blvalue.Incarnation }

// UpstreamStopped reports that the upstream's process is gone.
type UpstreamStopped struct{ Incarnation blvalue.Incarnation }

func (Send) reconcilerEffect()              {}
func (HoldingsChanged) reconcilerEffect()   {}
func (UpstreamResponded) reconcilerEffect() {}
func (UpstreamStopped) reconcilerEffect()   {}

// Timing holds the durations that the reconciler works with.
type Timing struct {
	// GrantTTL is the longest lifetime of a grant.
	GrantTTL time.Duration
	// ClockMargin covers the drift of the upstream's clock over one grant.
	ClockMargin time.Duration
}
