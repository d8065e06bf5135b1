package blmemory

import "time"

const (
	// ConnectionBytes is the share of a connection of a caller: two buffers of 4 KB, its
	// goroutines, an ordinary request, and what its socket may hold unread. The collector
	// doesn't add to the latter, so it counts less than the rest.
	ConnectionBytes = ownBytes + CallerUnreadBytes/collectorFactor
	// NodeConnectionBytes is the share of a connection of another node.
	NodeConnectionBytes = ownBytes + NodeUnreadBytes/collectorFactor
	ownBytes            = 16<<10 + OrdinaryBytes
	// CallerUnreadBytes is what the socket of a caller's connection may hold that has been
	// received and not been read.
	CallerUnreadBytes = 16 << 10
	// NodeUnreadBytes is the same for a connection of another node, and the window of a
	// call between nodes.
	NodeUnreadBytes = 64 << 10
	// OrdinaryBytes is what a request may cost in addition to its connection without a
	// share of its own.
	OrdinaryBytes = 12 << 10
	// lineBytes and byteFactor estimate what a head costs. A line with a name of its own
	// takes about 100 bytes in each of the three maps through which it is passed on, and
	// its text is held up to three times.
	lineBytes  = 320
	byteFactor = 3
)

// HeadCost returns the estimated memory of a head, in bytes.
func HeadCost(lines, bytes int) int64 {
	return int64(lines)*lineBytes + int64(bytes)*byteFactor
}

// UnreadBytes returns what the socket of a connection to a listener may hold unread.
func UnreadBytes(listener Listener) int {
	if listener == ListenerNodes {
		return NodeUnreadBytes
	}
	return CallerUnreadBytes
}

// connectionBytes returns the share of a connection to a listener.
func connectionBytes(listener Listener) int64 {
	if listener == ListenerNodes {
		return NodeConnectionBytes
	}
	return ConnectionBytes
}

const (
	mebibyte = 1 << 20
	// controlMB is the memory of a node without requests, in MiB: up to 28 were measured
	// on small deployments.
	controlMB = 32
	// minBudgetMB is the budget of a process whose memory leaves less.
	minBudgetMB = 8
	// collectorFactor is how much more memory the process takes than is in use, since
	// the collector of the Go runtime runs when the heap has doubled.
	collectorFactor = 2
	// DefaultMemoryMB is the memory of a process whose settings name none, in MiB.
	DefaultMemoryMB = 1024
	// DefaultDescriptors is the number of descriptors of a process whose settings name
	// none and whose system doesn't tell either.
	DefaultDescriptors = 4096
)

// Limits are the limits on all shares together.
type Limits struct {
	// Bytes limits all shares, and RequestBytes those other than of connections, so that
	// small requests are served while large ones are refused.
	Bytes, RequestBytes int64
	// MessageBytes is the part of RequestBytes that only messages of nodes may take. A
	// connection between nodes carries many requests, so it isn't closed because of what
	// callers hold.
	MessageBytes int64
	// Connections limits the connections of each listener.
	Connections [listenerCount]int
	// SilentAfter is how long nothing has arrived on a connection that is closed for
	// the sake of others, and LastResortAfter the same once its request has been
	// passed on. GraceTime is how long any other connection may take to send a request, and
	// FirstReadTime how long one that has just been accepted keeps its place in any case.
	SilentAfter, LastResortAfter, GraceTime, FirstReadTime time.Duration
	// SlowBytesPerSecond is the rate below which a request arrives slowly.
	SlowBytesPerSecond float64
}

const (
	// callersShare, nodesShare and othersShare are the parts of the descriptors for the
	// connections to the listeners. The rest is for connections to upstreams, to other
	// nodes and to the store.
	callersShare = 2
	nodesShare   = 4
	othersShare  = 16
	// usedNumerator and usedDenominator are the part of the budget that callers'
	// connections may take, and the part that requests may.
	usedNumerator, usedDenominator = 3, 4
	// messageShare is the part for messages of nodes.
	messageShare = 8

	// outsideHeapMB is the memory outside of what the Go runtime manages, in MiB: about 15
	// are the mapped program.
	outsideHeapMB = 20

	silentAfter     = time.Second
	lastResortAfter = 3 * time.Second
	graceTime       = 100 * time.Millisecond
	firstReadTime   = 5 * time.Millisecond
	// slowBytesPerSecond is that of a slow modem, 128 kbit/s.
	slowBytesPerSecond = 16 << 10
)

// NewLimits returns the limits of a process with the given memory, in MiB, and number of
// descriptors. Zero is the default.
func NewLimits(memoryMB, descriptors int) Limits {
	if memoryMB == 0 {
		memoryMB = DefaultMemoryMB
	}
	if descriptors == 0 {
		descriptors = DefaultDescriptors
	}
	bytes := int64(max((memoryMB-controlMB)/collectorFactor, minBudgetMB)) * mebibyte
	return Limits{
		Bytes: bytes, RequestBytes: bytes * usedNumerator / usedDenominator, MessageBytes: bytes / messageShare,
		Connections: [listenerCount]int{
			ListenerCallers: max(min(descriptors/callersShare, int(bytes*usedNumerator/usedDenominator/ConnectionBytes)), 1),
			ListenerNodes:   max(descriptors/nodesShare, 1),
			ListenerOthers:  max(descriptors/othersShare, 1),
		},
		SilentAfter: silentAfter, LastResortAfter: lastResortAfter, GraceTime: graceTime, FirstReadTime: firstReadTime, SlowBytesPerSecond: slowBytesPerSecond,
	}
}

// HeapLimit returns the memory, in bytes, from which on the collector should run more
// often, or zero if the process has too little memory for such a limit. It leaves what
// isn't managed by the Go runtime and what the sockets of callers may hold unread.
func (l Limits) HeapLimit(memoryMB int) int64 {
	unread := int64(l.Connections[ListenerCallers]+l.Connections[ListenerOthers]) * CallerUnreadBytes
	limit := int64(memoryMB-outsideHeapMB)*mebibyte - unread
	if limit < outsideHeapMB*mebibyte {
		return 0
	}
	return limit
}
