// Package blmember implements the membership duty of a node. It tracks the
// upstreams that announce themselves to the node, reports them to the lead in
// heartbeats, and forwards the lead's answers to the other duties.
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

// Message is an input of Decide, read from the ring of the membership duty.
type Message interface{ memberMessage() }

// Tick triggers work that is due by time.
type Tick struct{}

// Announcement is the status that an upstream reports about itself.
type Announcement struct {
	Upstream blvalue.Upstream
	// Address is the address at which the upstream accepts requests.
	Address string
	// ClockMS is the reading of the upstream's monotonic clock in milliseconds. The
	// duration of a grant that the node obtains later may be counted from it.
	ClockMS int64
	// Cold is set when the upstream reports that it is in cold start.
	Cold bool
	// ColdFor is the remaining duration of the cold start as reported by the
	// upstream, or zero when it reports none.
	ColdFor time.Duration
	// ColdUntil is when the cold start ends. It is set by the membership duty.
	ColdUntil bltimer.Instant
	// Sequence increases with each announcement of an incarnation, or is zero when
	// the upstream doesn't number its announcements.
	Sequence uint64
	// Load is the number of requests in progress as reported by the upstream. It
	// may be outdated or wrong.
	Load int
}

// Announced carries an announcement.
type Announced struct{ Announcement Announcement }

// Left reports that an upstream takes no new work and is about to end. The upstream
// tells only its ID; the runs under it that have left are those that started before.
type Left struct {
	ID blvalue.UpstreamID
	// AtMS is when the report arrived, in milliseconds since the Unix epoch.
	AtMS int64
}

// RecordSeen carries the lead record as known to the lead duty.
type RecordSeen struct{ Record bllead.Record }

// HeartbeatAnswered is the result of SendHeartbeat.
type HeartbeatAnswered struct {
	// SentAt is when the heartbeat was sent.
	SentAt bltimer.Instant
	From   blvalue.Host
	Reply  blassign.HeartbeatReply
	// Failed is set when no answer was received, or none from a lead.
	Failed bool
	// Reported holds the results that a lead knows that accepted the heartbeat.
	Reported ReportedResults
}

// HeartbeatRequested requests a heartbeat before the interval has elapsed.
type HeartbeatRequested struct{}

// ConfigSourceChanged reports whether this node currently reads configurations
// itself.
type ConfigSourceChanged struct{ ReadsStore bool }

// ConfigSeen carries a configuration that this node has read or fetched.
type ConfigSeen struct {
	Accepted blconfig.Accepted
	Origin   ConfigOrigin
}

// UpstreamResponded reports that an upstream answered a call of this node.
type UpstreamResponded struct{ Incarnation blvalue.Incarnation }

// UpstreamStopped reports that no process listens at an upstream's address any
// more.
type UpstreamStopped struct{ Incarnation blvalue.Incarnation }

// Leave reports that this node no longer accepts new work.
type Leave struct{}

func (ConfigSourceChanged) memberMessage() {}
func (ConfigSeen) memberMessage()          {}
func (UpstreamResponded) memberMessage()   {}
func (UpstreamStopped) memberMessage()     {}
func (Tick) memberMessage()                {}
func (Announced) memberMessage()           {}
func (Left) memberMessage()                {}
func (RecordSeen) memberMessage()          {}
func (HeartbeatAnswered) memberMessage()   {}
func (HeartbeatRequested) memberMessage()  {}
func (Leave) memberMessage()               {}

// Effect is an output of Decide that the membership duty carries out.
type Effect interface{ memberEffect() }

// SendHeartbeat sends a heartbeat to the lead. The sender adds the grants that the
// node holds, and the results of roll-outs.
type SendHeartbeat struct {
	// SentAt is the time from which the durations of the grants in the answer are
	// counted.
	SentAt    bltimer.Instant
	To        blvalue.Host
	Heartbeat blassign.Heartbeat
	// ListHeld makes the sender list the partitions that the node holds.
	ListHeld bool
	// Report selects the results of roll-outs that the sender adds.
	Report ResultsReport
}

// UpstreamsSeen lists the local upstreams of this node.
type UpstreamsSeen struct{ Announcements []Announcement }

// GrantsOffered passes grants to the grant duty.
type GrantsOffered struct{ Offered blgrant.OffersReceived }

// AllowancesGiven passes on what the lead allows the node to send to its upstreams of
// unproven versions.
type AllowancesGiven struct {
	// SentAt is when the heartbeat was sent that the lead answered.
	SentAt     bltimer.Instant
	Term       uint64
	Allowances []blvalue.Allowance
}

func (AllowancesGiven) memberEffect() {}

// ConfigOrigin says from where a node received a configuration.
type ConfigOrigin string

// The origins of configurations.
const (
	// OriginSource is the node's own read of the platform's configuration source.
	OriginSource ConfigOrigin = "source"
	// OriginNode is another node, usually the lead.
	OriginNode ConfigOrigin = "node"
)

// ConfigChanged carries a configuration that differs from the former one and has a
// later revision.
type ConfigChanged struct {
	Accepted blconfig.Accepted
	Origin   ConfigOrigin
}

// ReloadConfig requests a read of the configuration from the store, because the
// lead has a later one, of the given revision.
type ReloadConfig struct{ Revision uint64 }

func (ReloadConfig) memberEffect() {}

// FetchConfig fetches the configuration of the lead.
type FetchConfig struct{ From blvalue.Host }

func (FetchConfig) memberEffect() {}

// DirectoryChanged carries changes to the directory.
type DirectoryChanged struct{ Directory blassign.Directory }

// NodesChanged reports the known nodes in the directory, including this one.
type NodesChanged struct{ Nodes []blvalue.Host }

func (NodesChanged) memberEffect() {}

// LeadResponded reports that a lead answered the heartbeat sent at SentAt.
type LeadResponded struct {
	SentAt bltimer.Instant
	Term   uint64
	Lead   blvalue.Host
}

func (SendHeartbeat) memberEffect()    {}
func (UpstreamsSeen) memberEffect()    {}
func (GrantsOffered) memberEffect()    {}
func (ConfigChanged) memberEffect()    {}
func (DirectoryChanged) memberEffect() {}
func (LeadResponded) memberEffect()    {}
