// Package blhold is a node's duty towards an upstream that keeps its grants
// itself: it renews what the node is granted, takes back what it no longer is,
// and knows what the upstream may still be using when an answer was lost.
package blhold

import (
	"time"

	"bergamotlead/core/blgrant"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is what the duty reads from its ring.
type Message interface{ holdMessage() }

// Tick tells that time has passed.
type Tick struct{}

// GrantChanged carries the grant of the upstream beside this node.
type GrantChanged struct{ Grant blgrant.Grant }

// UpstreamSeen tells which upstream runs beside this node and where.
type UpstreamSeen struct {
	Upstream blvalue.Upstream
	Address  string
	// Partitions is the number of partitions of its service, or zero while that
	// is unknown.
	Partitions int
}

// Sent carries the answers to Send, in the order of its orders.
type Sent struct {
	Incarnation blvalue.Incarnation
	Answers     []Answer
}

func (Tick) holdMessage()         {}
func (GrantChanged) holdMessage() {}
func (UpstreamSeen) holdMessage() {}
func (Sent) holdMessage()         {}

// Kind tells what an order does.
type Kind string

// The kinds of orders.
const (
	// KindGrant gives a partition to the upstream, or renews it.
	KindGrant Kind = "grant"
	// KindRelease takes a partition back.
	KindRelease Kind = "release"
)

// Order is one call to the upstream.
type Order struct {
	Kind      Kind
	Partition blvalue.Partition
	Fence     blvalue.Fence
	// Until is when a grant ends.
	Until bltimer.Instant
	// Handover is what the partition's earlier owner gave back, or empty.
	Handover string
}

// Result is how an order ended.
type Result string

// The results.
const (
	// ResultDone means that the upstream carried the order out.
	ResultDone Result = "done"
	// ResultRefused means that the upstream has seen a higher fence.
	ResultRefused Result = "refused"
	// ResultUnknown means that no answer came: the upstream may carry the order
	// out at any time.
	ResultUnknown Result = "unknown"
	// ResultUnsent means that the order never left.
	ResultUnsent Result = "unsent"
	// ResultEnded means that nothing listens at the upstream's address.
	ResultEnded Result = "ended"
)

// Answer tells what became of one order.
type Answer struct {
	Order  Order
	Result Result
	// SentAt is when the order was sent.
	SentAt bltimer.Instant
	// Handover is what the upstream gave back with a partition.
	Handover string
}

// Effect is what the duty wants done.
type Effect interface{ holdEffect() }

// Send calls the upstream, once for each order.
type Send struct {
	Upstream   blvalue.Upstream
	Address    string
	Partitions int
	Orders     []Order
}

// Kept tells the grant duty what the upstream holds and has given back.
type Kept struct{ Kept blgrant.Kept }

// Heard tells that the upstream answered.
type Heard struct{ Incarnation blvalue.Incarnation }

// Ended tells that the upstream's process is gone.
type Ended struct{ Incarnation blvalue.Incarnation }

func (Send) holdEffect()  {}
func (Kept) holdEffect()  {}
func (Heard) holdEffect() {}
func (Ended) holdEffect() {}

// Timing holds the intervals on which the duty acts.
type Timing struct {
	// GrantTTL is the longest time for which a grant lasts.
	GrantTTL time.Duration
	// Margin covers the drift of the upstream's clock over one grant.
	Margin time.Duration
}
