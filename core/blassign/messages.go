package blassign

import (
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blring"
	"bergamotlead/core/blvalue"
)

// Message is an input of Decide, read from the ring of the ownership duty.
type Message interface{ assignMessage() }

// Tick triggers work that is due by time.
type Tick struct{}

// AuthorityChanged carries what this process may do as lead.
type AuthorityChanged struct {
	Authority bllead.Authority
	// Entries is the directory that this process had as a node.
	Entries []Entry
}

// ConfigSeen carries an accepted configuration.
type ConfigSeen struct{ Accepted blconfig.Accepted }

// ChunkLoaded is the result of LoadChunk.
type ChunkLoaded struct {
	Term  uint64
	ID    ChunkID
	Chunk Chunk
	// Failed is set when the store didn't answer.
	Failed bool
}

// ChunkWritten is the result of WriteChunk.
type ChunkWritten struct {
	Term    uint64
	ID      ChunkID
	WriteID string
	Outcome blplatform.Outcome
	// Current is the stored chunk at the time the outcome became known.
	Current Chunk
}

// Heartbeat is a node's report to the lead.
type Heartbeat struct {
	Node blvalue.Host
	// Sequence increases with each heartbeat of one incarnation of a node.
	Sequence  uint64
	Upstreams []blvalue.Upstream
	Held      []blgrant.Held
	// ConfigRevision is the revision in force at the node, and ConfigDigest the
	// digest of its text.
	ConfigRevision uint64
	ConfigDigest   uint64
	// ConfigVersion is the version of the configuration in force at the node, or zero.
	ConfigVersion uint64
	// Directory is the directory version that the node has.
	Directory DirectoryVersion
	// Leaving is set when the node takes no new work.
	Leaving bool
	// Loads holds the load of the node's upstreams.
	Loads []UpstreamLoad
	// WantsConfig is set when the node depends on the lead for configurations.
	WantsConfig bool
	// Reclaiming is set while the node takes back what an upstream may hold for longer
	// than the lead knows.
	Reclaiming bool
	// Results holds the results of the node's upstreams whose services have a roll-out
	// order.
	Results []blvalue.UpstreamResults
	Reply   blring.Reply[HeartbeatReply]
}

// UpstreamLoad is the load of one incarnation of an upstream.
type UpstreamLoad struct {
	Incarnation blvalue.Incarnation
	Load        blvalue.Load
}

// HeartbeatReply is the lead's answer to a heartbeat.
type HeartbeatReply struct {
	// Term is zero when this process isn't lead or not ready to answer.
	Term   uint64
	Offers []blgrant.Offer
	// Directory is set when the node has an older version.
	Directory *Directory
	// Standby is the process to contact when the lead is gone.
	Standby blvalue.Host
	// NeedHeld asks the node to list the partitions that it holds.
	NeedHeld bool
	// ConfigRevision and ConfigVersion are those of the lead's configuration, which is
	// later than the node's, or zero.
	ConfigRevision uint64
	ConfigVersion  uint64
	// FetchConfig asks the node to fetch the lead's configuration.
	FetchConfig bool
	// StoreLost is set when the lead can't reach the store.
	StoreLost bool
	// Lead is the lead according to the answering node, which isn't lead itself.
	Lead blvalue.Host
	// ReportAfter is the delay after which the node should report again, or zero to
	// keep to its heartbeat period.
	ReportAfter time.Duration
	// Allowances holds what the node may send to its upstreams of unproven versions.
	Allowances []blvalue.Allowance
}

// upstream returns the upstream of the given incarnation, if the report lists
// it.
func (h Heartbeat) upstream(incarnation blvalue.Incarnation) (blvalue.Upstream, bool) {
	for _, upstream := range h.Upstreams {
		if upstream.Incarnation == incarnation {
			return upstream, true
		}
	}
	return blvalue.Upstream{}, false
}

func (Tick) assignMessage()             {}
func (AuthorityChanged) assignMessage() {}
func (ConfigSeen) assignMessage()       {}
func (ChunkLoaded) assignMessage()      {}
func (ChunkWritten) assignMessage()     {}
func (Heartbeat) assignMessage()        {}

// HostProbed is the result of the probe of one host.
type HostProbed struct {
	Host blvalue.Host
	// Refused is set when the host refused the connection: it is up, and no node listens
	// there.
	Refused bool
}

func (HostProbed) assignMessage() {}

// Effect is an output of Decide that the ownership duty carries out.
type Effect interface{ assignEffect() }

// LoadConfig reads the configuration from the store.
type LoadConfig struct{}

// LoadChunk reads one chunk of an assignment.
type LoadChunk struct {
	Term uint64
	ID   ChunkID
}

// WriteChunk sets one chunk of an assignment by compare-and-swap.
type WriteChunk struct {
	ID    ChunkID
	Base  uint64
	Chunk Chunk
	// Again is set when the store was restored and may lack the chunk.
	Again bool
}

// AnswerHeartbeat replies to a heartbeat.
type AnswerHeartbeat struct {
	Reply          blring.Reply[HeartbeatReply]
	HeartbeatReply HeartbeatReply
}

// PeersSeen tells the lead duty which nodes are up.
type PeersSeen struct {
	// Peers are the candidates for the standby: nodes that aren't leaving and whose
	// latest heartbeat is younger than the time to live of a grant. Those whose host
	// has no serving upstream are left out while others have one.
	Peers []blvalue.Host
	// Known counts the other nodes that have sent a heartbeat within
	// knownPeerWindow, and Active those that have within activePeerWindow.
	Known  int
	Active int
	// Candidate is the node with the most capacity among the active ones that read
	// the configuration themselves, or zero. A lead that can't reach the store may
	// transfer its role to it.
	Candidate blvalue.Host
	// Retiring is set while the lead's own host has no serving upstream and others
	// have one.
	Retiring bool
}

// Nudge asks nodes to report at once, since partitions have been assigned to
// them or taken from a lost owner.
type Nudge struct{ Nodes []blvalue.Host }

// ProbeHosts tries to connect to nodes that have stopped reporting.
type ProbeHosts struct{ Hosts []blvalue.Host }

// WithholdingChanged reports that the lead begins or ends to withhold the partitions that
// upstreams of a host without a node may hold.
type WithholdingChanged struct {
	Host       blvalue.HostName
	Partitions int
	Withheld   bool
}

func (ProbeHosts) assignEffect()         {}
func (WithholdingChanged) assignEffect() {}

// ReloadConfig reads the configuration from the store again, since a node knows
// a later one.
type ReloadConfig struct{}

func (ReloadConfig) assignEffect() {}

// FetchConfig fetches the configuration of a node that knows a later one.
type FetchConfig struct{ From blvalue.Host }

func (Nudge) assignEffect()           {}
func (FetchConfig) assignEffect()     {}
func (LoadConfig) assignEffect()      {}
func (LoadChunk) assignEffect()       {}
func (WriteChunk) assignEffect()      {}
func (AnswerHeartbeat) assignEffect() {}
func (PeersSeen) assignEffect()       {}
