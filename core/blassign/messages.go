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

// Message is what the ownership duty reads from its ring.
type Message interface{ assignMessage() }

// Tick tells that time has passed.
type Tick struct{}

// AuthorityChanged tells what this process may do as lead.
type AuthorityChanged struct{ Authority bllead.Authority }

// ConfigSeen carries an accepted configuration.
type ConfigSeen struct{ Accepted blconfig.Accepted }

// ChunkLoaded answers LoadChunk.
type ChunkLoaded struct {
	Term  uint64
	ID    ChunkID
	Chunk Chunk
	// Failed tells that the store didn't answer.
	Failed bool
}

// ChunkWritten answers WriteChunk.
type ChunkWritten struct {
	Term    uint64
	ID      ChunkID
	WriteID string
	Outcome blplatform.Outcome
	// Current is what the store held when the outcome was learned.
	Current Chunk
}

// Heartbeat is a node's report to the lead.
type Heartbeat struct {
	Node blvalue.Host
	// Sequence rises with each heartbeat of one run of a node.
	Sequence  uint64
	Upstreams []blvalue.Upstream
	Held      []blgrant.Held
	// ConfigRevision is the revision that is in force at the node, and
	// ConfigDigest the digest of its text.
	ConfigRevision uint64
	ConfigDigest   uint64
	// Directory is the version of the directory that the node has.
	Directory DirectoryVersion
	// Leaving tells that the node takes no new work.
	Leaving bool
	// Loads holds the work of the upstreams.
	Loads []UpstreamLoad
	// WantsConfig tells that the node depends on the lead for configurations.
	WantsConfig bool
	// Config is the node's configuration, if the lead asked for it.
	Config *blconfig.Accepted
	Reply  blring.Reply[HeartbeatReply]
}

// UpstreamLoad is the work of one run of an upstream.
type UpstreamLoad struct {
	Incarnation blvalue.Incarnation
	Load        blvalue.Load
}

// HeartbeatReply is the lead's answer to a heartbeat.
type HeartbeatReply struct {
	// Term is zero when this process isn't lead or not ready to answer.
	Term   uint64
	Offers []blgrant.Offer
	// Config is set when the node has an older revision.
	Config *blconfig.Accepted
	// Directory is set when the node has an older version.
	Directory *Directory
	// Standby is the process to ask when the lead is gone.
	Standby blvalue.Host
	// NeedHeld asks the node to list the partitions that it holds.
	NeedHeld bool
	// ConfigRevision is that of the lead's configuration where the node has
	// another one, or zero.
	ConfigRevision uint64
	// NeedConfig asks for the node's configuration, which is later than the
	// lead's.
	NeedConfig bool
	// StoreLost tells that the lead doesn't reach the store.
	StoreLost bool
	// Lead is the lead that a node knows which isn't lead itself.
	Lead blvalue.Host
	// Soon tells the node to report again without waiting for its period.
	Soon time.Duration
}

// upstream returns the upstream of the given run that the report lists.
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

// Effect is what the ownership duty wants done.
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
}

// Answer answers a heartbeat.
type Answer struct {
	Reply          blring.Reply[HeartbeatReply]
	HeartbeatReply HeartbeatReply
}

// PeersSeen tells the lead duty which nodes are up.
type PeersSeen struct {
	Peers []blvalue.Host
	// Known counts the other nodes that reported in the last while, and Heard
	// those of them that did so just now.
	Known int
	Heard int
	// Fresh is the node that is fittest to lead of those that read the
	// configuration themselves, or zero.
	Fresh blvalue.Host
}

// Nudge asks nodes to report at once, since partitions have come to them or
// left an owner that is lost.
type Nudge struct{ Nodes []blvalue.Host }

// ReloadConfig asks for the configuration of the store, since a node knows a
// later one.
type ReloadConfig struct{}

func (ReloadConfig) assignEffect() {}

// ConfigOffered carries a configuration that a node knew before the lead.
type ConfigOffered struct{ Accepted blconfig.Accepted }

func (Nudge) assignEffect()         {}
func (ConfigOffered) assignEffect() {}
func (LoadConfig) assignEffect()    {}
func (LoadChunk) assignEffect()     {}
func (WriteChunk) assignEffect()    {}
func (Answer) assignEffect()        {}
func (PeersSeen) assignEffect()     {}
