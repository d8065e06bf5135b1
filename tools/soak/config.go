package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/blsettings"
	"bergamotlead/tools/blfleet"
)

// rotatedAccount is the account whose client key the soak rotates.
const rotatedAccount = "thies_kiosk"

// maxConfigDelay bounds the time until a change is in force at every node that has
// contact with the lead.
const maxConfigDelay = 6 * time.Second

// configState is the last configuration that was accepted.
type configState struct {
	mu          sync.Mutex
	digestsPath blconfig.Path
	document    string
	revision    uint64
	changes     int
	// clientKey is the current client key of rotatedAccount.
	clientKey string
	// withdrawnKey is a client key that every node must reject since enforcedAt.
	withdrawnKey string
	enforcedAt   time.Time
}

// changeConfig replaces the client key of rotatedAccount. When the result of the
// change is unknown, the recorded state stays, and the next change reads the
// revision in force again.
func (s *soak) changeConfig(host *blfleet.Host) error {
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	status, err := s.fleet.Status(host)
	if err != nil {
		return nil // Not a violation: another fault made the node unavailable.
	}
	document, err := blsettings.ParseDocument([]byte(s.config.document))
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	s.config.changes++
	previous, next := s.config.clientKey, fmt.Sprintf("%s_%d", s.fleet.ClientKeys[account], s.config.changes)
	setting, _ := document.Get(s.config.digestsPath)
	setting.Value.List = []string{blfleet.KeyDigest(next)}
	text, err := blsettings.FormatDocument(document.With(s.config.digestsPath, setting))
	if err != nil {
		return fmt.Errorf("write document: %w", err)
	}
	result, err := s.fleet.Apply(host, max(s.config.revision, status.ConfigRevision), string(text))
	if err != nil || result.Result != "accepted" {
		return nil // Not a violation: other faults explain an unavailable node and a refused or unknown change.
	}
	s.config.clientKey, s.config.document, s.config.revision = next, string(text), result.Revision
	s.config.withdrawnKey, s.config.enforcedAt = previous, time.Now().Add(maxConfigDelay)
	return nil
}

// runWithdrawnKeyCheck sends requests with the last withdrawn client key and
// reports a violation when a node accepts it after enforcedAt.
func (s *soak) runWithdrawnKeyCheck(ended <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-time.After(revisionPoll):
		}
		s.config.mu.Lock()
		key, enforcedAt := s.config.withdrawnKey, s.config.enforcedAt
		s.config.mu.Unlock()
		if key == "" || time.Now().Before(enforcedAt) {
			continue
		}
		host := s.fleet.Hosts[i%len(s.fleet.Hosts)]
		response, err := s.fleet.Call(host, http.MethodGet, "/pot/withdrawn/total", key, "")
		if err == nil && response.Status == http.StatusOK {
			s.addViolation("withdrawn client key at %s: got 200 more than %s after the change, want 401", host.Spec.Name, maxConfigDelay)
		}
	}
}

// applyInitialConfig applies the Dakar document.
func (s *soak) applyInitialConfig() error {
	text, err := s.fleet.Document(filepath.Join(s.args.Root, "configs", "dakar.toml"), nil)
	if err != nil {
		return fmt.Errorf("make document: %w", err)
	}
	result, err := s.fleet.Apply(s.fleet.Hosts[0], 0, text)
	if err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	s.config.document, s.config.revision, s.config.clientKey = text, result.Revision, s.fleet.ClientKeys[rotatedAccount]
	s.config.digestsPath = blconfig.Path{Section: blconfig.SectionAccounts, Entry: rotatedAccount, Option: "key_digests"}
	return nil
}

// runRevisionCheck checks that the configuration revision of each node does not
// decrease while the same process runs.
func (s *soak) runRevisionCheck(ended <-chan struct{}) {
	type sample struct {
		pid      int
		revision uint64
	}
	last := make([]sample, len(s.fleet.Hosts))
	for {
		for i, host := range s.fleet.Hosts {
			status, err := s.fleet.Status(host)
			if err != nil {
				continue
			}
			now := sample{pid: host.Node.PID(), revision: status.ConfigRevision}
			if now.pid == last[i].pid && now.revision < last[i].revision {
				s.addViolation("revision at %s: got %d after %d, want no fall", host.Spec.Name, now.revision, last[i].revision)
			}
			last[i] = now
		}
		select {
		case <-ended:
			return
		case <-time.After(revisionPoll):
		}
	}
}
