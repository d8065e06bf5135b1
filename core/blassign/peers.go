package blassign

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
)

const (
	// knownPeerWindow is how long a node counts as known after its last heartbeat.
	knownPeerWindow = 20 * time.Second
	// activePeerWindow is how long a node counts as active after its last
	// heartbeat.
	activePeerWindow = 1500 * time.Millisecond
)

// peerSummary holds the parts of PeersSeen whose change triggers a new report.
type peerSummary struct {
	// peers is a hash of the incarnations of the candidates.
	peers         uint64
	known, active int
	candidate     blvalue.Incarnation
	retiring      bool
}

func newPeerSummary(seen PeersSeen) peerSummary {
	digest := xxhash.New()
	for _, peer := range seen.Peers {
		_, _ = digest.WriteString(string(peer.Incarnation))
	}
	return peerSummary{
		peers: digest.Sum64(), known: seen.Known, active: seen.Active, candidate: seen.Candidate.Incarnation, retiring: seen.Retiring,
	}
}

// serves reports whether the member's host has an upstream that accepts new work. A
// host without one is likely to be removed.
func (m Member) serves() bool {
	return slices.ContainsFunc(m.Upstreams, func(u blvalue.Upstream) bool { return !u.Leaving })
}

// standbyCandidates returns the members that may become standby: of the present ones,
// those whose host serves, or all if none does.
func (s State[P]) standbyCandidates(now bltimer.Instant) []Member {
	var present, serving []Member
	for _, member := range s.members.All() {
		if member.Leaving || now.Sub(member.LastHeartbeatAt) >= s.config.Plan.Timing.GrantTTL {
			continue
		}
		present = append(present, member)
		if member.serves() {
			serving = append(serving, member)
		}
	}
	if len(serving) > 0 {
		return serving
	}
	return present
}

// reportPeers tells the lead duty which nodes are up whenever the summary of
// the other nodes changes.
func (s State[P]) reportPeers(now bltimer.Instant) (State[P], []Effect) {
	seen := PeersSeen{}
	for _, member := range s.standbyCandidates(now) {
		seen.Peers = append(seen.Peers, member.Host)
	}
	for _, member := range s.members.All() {
		sinceHeartbeat := now.Sub(member.LastHeartbeatAt)
		if member.Host.Incarnation == s.self {
			seen.Retiring = !member.Leaving && !slices.Contains(seen.Peers, member.Host) && len(seen.Peers) > 0
		}
		if member.Leaving || sinceHeartbeat > knownPeerWindow || member.Host.Incarnation == s.self {
			continue
		}
		seen.Known++
		if sinceHeartbeat > activePeerWindow {
			continue
		}
		seen.Active++
		if member.ReadsConfig && member.Host.Capacity >= seen.Candidate.Capacity {
			seen.Candidate = member.Host
		}
	}
	summary := newPeerSummary(seen)
	if summary == s.reportedPeers {
		return s, nil
	}
	s.reportedPeers = summary
	return s, []Effect{seen}
}
