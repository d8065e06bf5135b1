// Package blmemory decides which client gets a share of the memory of the process, and
// who gives one up when there is none left.
package blmemory

import "bergamotlead/core/bltimer"

// HolderID identifies a connection that holds shares.
type HolderID uint64

// Listener tells who connects.
type Listener uint8

// The listeners with a limit on their connections.
const (
	ListenerCallers Listener = iota
	ListenerNodes
	// ListenerOthers are those of operators, of local upstreams and of readiness probes.
	ListenerOthers
	listenerCount
)

// Kind tells what a share is used for.
type Kind uint8

// The kinds of shares.
const (
	// KindConnection is what each connection costs, with an ordinary request on it.
	KindConnection Kind = iota
	// KindHead is the head of a request, while it is read and once it is parsed.
	KindHead
	// KindStart is the buffered start of a body, for a second attempt.
	KindStart
	// KindBody is a body in transfer.
	KindBody
	// KindResponse is a response in transfer that its caller has to read.
	KindResponse
	// KindMessage is what has arrived of messages of other nodes that no call has read.
	KindMessage
	KindCount
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [KindCount]string{"connection", "head", "start", "body", "response", "message"}[k]
}

// Phase tells what a connection is used for at the moment.
type Phase uint8

// The phases of a connection.
const (
	// PhaseNew is a connection on which nothing has arrived.
	PhaseNew Phase = iota
	// PhaseReading is one with a request that hasn't been passed on.
	PhaseReading
	// PhasePassed is one with a request that may have reached an upstream.
	PhasePassed
	// PhaseIdle is one that waits for the next request.
	PhaseIdle
	// PhaseUploading is one with a request that may have reached an upstream, and whose body
	// is still arriving.
	PhaseUploading
	// PhaseEnding is one whose last response has been written.
	PhaseEnding
)

// Reason tells why a connection is closed or a share is refused.
type Reason string

// The reasons.
const (
	// ReasonMemory closes a connection that holds memory and sends nothing, and refuses
	// a share when there is no such connection.
	ReasonMemory Reason = "memory"
	// ReasonConnections closes a connection for a new one, or refuses a new one.
	ReasonConnections Reason = "connections"
	// ReasonLastResort closes a connection whose request has been passed on.
	ReasonLastResort Reason = "memory_last_resort"
	// ReasonHeadLimit refuses a head with too many bytes or lines.
	ReasonHeadLimit Reason = "head_limit"
)

// Message is a message to the decision.
type Message interface {
	isMessage()
}

// Open asks for a new connection.
type Open struct {
	ID       HolderID
	Listener Listener
	// Address is the address of the client, without its port.
	Address string
}

// Reserve asks for a share.
type Reserve struct {
	ID    HolderID
	Kind  Kind
	Bytes int64
	// Granted is set for a share that can't be refused, such as that of a response.
	Granted bool
}

// Release returns a part of the shares of a kind, or all of them if it is larger.
type Release struct {
	ID    HolderID
	Kind  Kind
	Bytes int64
}

// Activity tells what a connection is used for, and what has arrived on it.
type Activity struct {
	ID    HolderID
	Phase Phase
	// ArrivedAt is when something last arrived.
	ArrivedAt bltimer.Instant
	// BeganAt is when the current request began to arrive, and Bytes what has arrived since.
	BeganAt bltimer.Instant
	Bytes   int64
}

// Seen tells the activities of connections that have changed. It is needed only before a
// message that doesn't fit.
type Seen struct {
	Activities []Activity
}

// Ended tells that a request has ended. Its connection keeps only its own share.
type Ended struct {
	ID HolderID
}

// StartSent tells that the buffered start of a body has been sent once, so that it may be
// given up.
type StartSent struct {
	ID HolderID
}

// Close tells that a connection has been closed.
type Close struct {
	ID HolderID
}

func (Open) isMessage()      {}
func (Reserve) isMessage()   {}
func (Release) isMessage()   {}
func (Seen) isMessage()      {}
func (Ended) isMessage()     {}
func (StartSent) isMessage() {}
func (Close) isMessage()     {}

// Effect is an effect of the decision.
type Effect interface {
	isEffect()
}

// Answer answers Open and Reserve.
type Answer struct {
	Granted bool
	Reason  Reason
}

// CloseConnection closes a connection. Its shares have been taken back.
type CloseConnection struct {
	ID       HolderID
	Listener Listener
	Address  string
	Reason   Reason
	// Bytes is what the connection held.
	Bytes int64
}

// GiveUpStart drops the buffered start of a body, whose share has been taken back.
type GiveUpStart struct {
	ID    HolderID
	Bytes int64
}

func (Answer) isEffect()          {}
func (CloseConnection) isEffect() {}
func (GiveUpStart) isEffect()     {}
