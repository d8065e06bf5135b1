package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/io/blsettings"
	"bergamotlead/tools/blfleet"
)

// rotatedAccount is the account whose client key changes.
const rotatedAccount = "thies_kiosk"

// maxConfigDelay is how soon a change is in force at every node that is in touch.
const maxConfigDelay = 6 * time.Second

// configState is the configuration as the soak last knew it.
type configState struct {
	mu       sync.Mutex
	digestsPath     blconfig.Path
	document     string
	revision uint64
	changes  int
	// clientKey is the kiosk's client clientKey.
	clientKey string
	// withdrawnKey is a client key that is no longer valid anywhere since forceAt.
	withdrawnKey string
	enforcedAt   time.Time
}

// changeConfig gives the kiosk another client key. An answer without certainty
// leaves the former state in place: the next change finds out.
func (s *soak) changeConfig(host *blfleet.Host) error {
	s.config.mu.Lock()
	defer s.config.mu.Unlock()
	status, err := s.fleet.Status(host)
	if err != nil {
		return nil // The host is down, or the change refused or unknown: other faults explain it.
	}
	document, err := blsettings.ParseDocument([]byte(s.config.document))
	if err != nil {
		return fmt.Errorf("read document: %w", err)
	}
	s.config.changes++
	former, next := s.config.clientKey, fmt.Sprintf("%s_%d", s.fleet.Keys[account], s.config.changes)
	setting, _ := document.Get(s.config.digestsPath)
	sum := sha256.Sum256([]byte(next))
	setting.Value.List = []string{hex.EncodeToString(sum[:])}
	text, err := blsettings.FormatDocument(document.With(s.config.digestsPath, setting))
	if err != nil {
		return fmt.Errorf("write document: %w", err)
	}
	result, err := s.fleet.Apply(host, max(s.config.revision, status.ConfigRevision), string(text))
	if err != nil || result.Result != "accepted" {
		return nil // The host is down, or the change refused or unknown: other faults explain it.
	}
	s.config.clientKey, s.config.document, s.config.revision = next, string(text), result.Revision
	s.config.withdrawnKey, s.config.enforcedAt = former, time.Now().Add(maxConfigDelay)
	return nil
}

// runWithdrawnKeyCheck asks for pots under the client key that was withdrawn last.
func (s *soak) runWithdrawnKeyCheck(ended <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-ended:
			return
		case <-time.After(revisionPoll):
		}
		s.config.mu.Lock()
		key, forceAt := s.config.withdrawnKey, s.config.enforcedAt
		s.config.mu.Unlock()
		if key == "" || time.Now().Before(forceAt) {
			continue
		}
		host := s.fleet.Hosts[i%len(s.fleet.Hosts)]
		answer, err := s.fleet.Call(host, http.MethodGet, "/pot/withdrawn/total", key, "")
		if err == nil && answer.Status == http.StatusOK {
			s.addViolation("withdrawn client key at %s: got 200 more than %s after the change, want 401", host.Spec.Name, maxConfigDelay)
		}
	}
}
