package blstore

import (
	"encoding/json"
	"fmt"
	"time"

	"bergamotlead/core/blplatform"
)

// StoredConfig is the configuration in the form in which it is stored.
type StoredConfig struct {
	WriteID  string `json:"write_id"`
	Document string `json:"document"`
	// MaxGrantTTLMS is the longer grant_ttl of this document and the previous one,
	// in milliseconds.
	MaxGrantTTLMS int64 `json:"grant_bound_ms"`
	// History lists the latest changes, newest first.
	History []PastChange `json:"history"`
}

// PastChange is an entry of the configuration history.
type PastChange struct {
	// BaseRevision is the revision that the change replaced.
	BaseRevision uint64 `json:"base_revision"`
	// At is when the lead stored the change, by the lead's wall clock.
	At time.Time `json:"at"`
	// Settings lists the names of the changed settings.
	Settings []string `json:"settings"`
}

const (
	// maxHistory limits the changes kept in the history.
	maxHistory = 100
	// maxChangeSettings limits the settings listed by one change in the history.
	maxChangeSettings = 20
)

// MaxGrantTTL returns the longest duration of a grant that may be in use.
func (c StoredConfig) MaxGrantTTL() time.Duration {
	return time.Duration(c.MaxGrantTTLMS) * time.Millisecond
}

// WithMaxGrantTTL returns a copy of the configuration with ttl as the longest
// duration of a grant that may be in use.
func (c StoredConfig) WithMaxGrantTTL(ttl time.Duration) StoredConfig {
	c.MaxGrantTTLMS = ttl.Milliseconds()
	return c
}

// WithChange returns the configuration that replaces c, which is stored at
// revision base. It prepends the change to the history and drops the oldest
// entries beyond the limit. MaxGrantTTL is left at zero.
func (c StoredConfig) WithChange(writeID, document string, base uint64, at time.Time, settings []string) StoredConfig {
	change := PastChange{BaseRevision: base, At: at, Settings: settings[:min(len(settings), maxChangeSettings)]}
	history := append([]PastChange{change}, c.History...)
	return StoredConfig{WriteID: writeID, Document: document, History: history[:min(len(history), maxHistory)]}
}

// EncodeConfig encodes a configuration as JSON.
func EncodeConfig(config StoredConfig) ([]byte, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return body, nil
}

// DecodeConfig decodes a configuration. For a missing entry it returns the zero
// value.
func DecodeConfig(entry blplatform.Entry) (StoredConfig, error) {
	var config StoredConfig
	if !entry.Exists() {
		return config, nil
	}
	if err := json.Unmarshal(entry.Value, &config); err != nil {
		return config, fmt.Errorf("decode configuration: %w", err)
	}
	return config, nil
}
