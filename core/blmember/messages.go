// Package blmember is a node's duty of membership: it knows the upstreams that
// announce themselves beside the node, reports them to the lead in heartbeats,
// and hands on what the lead answers.
package blmember

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/blconfig"
	"bergamotlead/core/blgrant"
	"bergamotlead/core/bllead"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

// Message is what the membership duty reads from its ring.
type Message interface{ memberMessage() }

// Tick tells that time has passed.
type Tick struct{}

// Announcement is what an upstream says of itself.
type Announcement struct {
	Upstream blvalue.Upstream
	// Address is where the upstream takes requests.
	Address string
	// ClockMS is the upstream's own monotonic clock in milliseconds. A grant
	// that the node obtains afterwards may last from this moment on.
	ClockMS int64
	// Cold tells that the upstream says it is in cold start.
	Cold bool
	// ColdFor is how much longer the upstream says that lasts, or zero where it
	// doesn't say.
	ColdFor time.Duration
	// ColdUntil is when that ends. The membership duty sets it.
	ColdUntil bltimer.Instant
	// Sequence rises with each announcement of a run, or is zero where the
	// upstream doesn't number them.
	Sequence uint64
	// Load is the number of requests that the upstream says it works on. It
	// may lag or mislead.
	Load int
}

// Announced carries an announcement.
type Announced struct{ Announcement Announcement }

// RecordSeen carries a lead record that the lead duty has read.
type RecordSeen struct{ Record bllead.Record }

// Answered carries the lead's answer to a heartbeat.
type Answered struct {
	// SentAt is when the heartbeat was sent.
	SentAt bltimer.Instant
	From   blvalue.Host
	Reply  blassign.HeartbeatReply
	// Failed tells that no answer came, or none of a lead.
	Failed bool
}

// ReportSoon asks for a heartbeat without waiting for the period.
type ReportSoon struct{}

// SourceChanged tells whether this node reads configurations itself at the
// moment.
type SourceChanged struct{ Fresh bool }

// ConfigSeen carries a configuration that this node read itself.
type ConfigSeen struct{ Accepted blconfig.Accepted }

// UpstreamHeard tells that an upstream answered a call of this node.
type UpstreamHeard struct{ Incarnation blvalue.Incarnation }

// UpstreamEnded tells that nothing listens at an upstream's address any more.
type UpstreamEnded struct{ Incarnation blvalue.Incarnation }

// Leave tells that this node takes no new work.
type Leave struct{}

func (SourceChanged) memberMessage() {}
func (ConfigSeen) memberMessage()    {}
func (UpstreamHeard) memberMessage() {}
func (UpstreamEnded) memberMessage() {}
func (Tick) memberMessage()          {}
func (Announced) memberMessage()     {}
func (RecordSeen) memberMessage()    {}
func (Answered) memberMessage()      {}
func (ReportSoon) memberMessage()    {}
func (Leave) memberMessage()         {}

// Effect is what the membership duty wants done.
type Effect interface{ memberEffect() }

// SendHeartbeat sends a heartbeat to the lead. The sender adds the grants held.
type SendHeartbeat struct {
	// SentAt is the moment from which the answer's grants count.
	SentAt    bltimer.Instant
	To        blvalue.Host
	Heartbeat blassign.Heartbeat
	// ListHeld tells the sender to list the partitions held.
	ListHeld bool
}

// UpstreamsSeen lists the upstreams beside this node.
type UpstreamsSeen struct{ Announcements []Announcement }

// GrantsOffered carries grants to the grant duty.
type GrantsOffered struct{ Offered blgrant.Offered }

// ConfigChanged carries a later configuration.
type ConfigChanged struct{ Accepted blconfig.Accepted }

// ReloadConfig asks for the configuration of the store, since the lead has a
// later one.
type ReloadConfig struct{}

func (ReloadConfig) memberEffect() {}

// DirectoryChanged carries changes of the directory.
type DirectoryChanged struct{ Directory blassign.Directory }

// NodesSeen tells how many nodes the directory names, this one included.
type NodesSeen struct{ Count int }

func (NodesSeen) memberEffect() {}

// LeadHeard tells that a lead answered a heartbeat that was sent at SentAt.
type LeadHeard struct {
	SentAt bltimer.Instant
	Term   uint64
	Lead   blvalue.Host
}

func (SendHeartbeat) memberEffect()    {}
func (UpstreamsSeen) memberEffect()    {}
func (GrantsOffered) memberEffect()    {}
func (ConfigChanged) memberEffect()    {}
func (DirectoryChanged) memberEffect() {}
func (LeadHeard) memberEffect()        {}
