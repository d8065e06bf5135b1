package blstore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// Keys names the keys of one region in the store.
type Keys struct {
	region string
}

// NewKeys returns the keys of a region.
func NewKeys(region string) Keys {
	return Keys{region: region}
}

// Config is the key of the deployment's configuration, shared by its regions.
const Config = "config"

// LeadRecord is the key of the lead record.
func (k Keys) LeadRecord() string { return k.region + ".lead_record" }

// LeadLease is the key that hangs on the lead's lease.
func (k Keys) LeadLease() string { return k.region + ".lead_lease" }

// LostHosts is the key of the incarnations that operators declared lost.
func (k Keys) LostHosts() string { return k.region + ".lead_lost_hosts" }

// Lead begins the keys of the lead: its record, its lease and the lost hosts.
func (k Keys) Lead() string { return k.region + ".lead_" }

// Chunk is the key of one chunk of an assignment.
func (k Keys) Chunk(id blassign.ChunkID) string {
	return k.region + ".assignment." + string(id.Service) + "." + strconv.Itoa(id.Index)
}

type hostBody struct {
	Name        blvalue.HostName    `json:"name"`
	Incarnation blvalue.Incarnation `json:"incarnation"`
	Domain      blvalue.DomainName  `json:"failure_domain"`
	Address     string              `json:"address"`
	Capacity    int                 `json:"capacity,omitempty"`
}

type recordBody struct {
	Term    uint64   `json:"term"`
	Lead    hostBody `json:"lead"`
	Standby hostBody `json:"standby"`
	WriteID string   `json:"write_id"`
}

// EncodeRecord writes a lead record as JSON.
func EncodeRecord(record bllead.Record) ([]byte, error) {
	body, err := json.Marshal(recordBody{
		Term: record.Term, Lead: hostBody(record.Lead), Standby: hostBody(record.Standby), WriteID: record.WriteID,
	})
	if err != nil {
		return nil, fmt.Errorf("encode lead record: %w", err)
	}
	return body, nil
}

// DecodeRecord reads a lead record. An absent entry is no record.
func DecodeRecord(entry blplatform.Entry) (bllead.Stored, error) {
	if !entry.Exists() {
		return bllead.Stored{}, nil
	}
	var body recordBody
	if err := json.Unmarshal(entry.Value, &body); err != nil {
		return bllead.Stored{}, fmt.Errorf("decode lead record: %w", err)
	}
	return bllead.Stored{
		Record: bllead.Record{
			Term: body.Term, Lead: blvalue.Host(body.Lead), Standby: blvalue.Host(body.Standby), WriteID: body.WriteID,
		},
		Revision: entry.Revision,
	}, nil
}

type chunkBody struct {
	Term    uint64 `json:"term"`
	WriteID string `json:"write_id"`
	// Names holds each owner once.
	Names []blvalue.UpstreamName `json:"names"`
	// Owners holds two bytes a partition, the lower one first: the position of
	// its owner in Names, plus one; zero for none.
	Owners []byte `json:"owners"`
	// Previous holds earlier owners that may still use partitions, likewise.
	Previous []byte `json:"previous,omitempty"`
}

// nameTable numbers the names of owners as they are met.
type nameTable struct {
	names     []blvalue.UpstreamName
	positions map[blvalue.UpstreamName]uint16
}

func (t *nameTable) pack(owners []blvalue.UpstreamName) []byte {
	packed := make([]byte, 0, 2*len(owners))
	for _, owner := range owners {
		if _, ok := t.positions[owner]; !ok {
			t.names = append(t.names, owner)
			t.positions[owner] = uint16(len(t.names))
		}
		packed = binary.LittleEndian.AppendUint16(packed, t.positions[owner])
	}
	return packed
}

func unpackOwners(names []blvalue.UpstreamName, packed []byte) []blvalue.UpstreamName {
	owners := make([]blvalue.UpstreamName, 0, len(packed)/2)
	for ; len(packed) >= 2; packed = packed[2:] {
		owner := blvalue.UpstreamName("")
		if position := int(binary.LittleEndian.Uint16(packed)); position > 0 && position <= len(names) {
			owner = names[position-1]
		}
		owners = append(owners, owner)
	}
	return owners
}

// EncodeChunk writes a chunk of an assignment as JSON.
func EncodeChunk(chunk blassign.Chunk) ([]byte, error) {
	table := &nameTable{positions: map[blvalue.UpstreamName]uint16{"": 0}}
	packed := chunkBody{Term: chunk.Term, WriteID: chunk.WriteID, Owners: table.pack(chunk.Owners)}
	if slices.ContainsFunc(chunk.Previous, func(name blvalue.UpstreamName) bool { return name != "" }) {
		packed.Previous = table.pack(chunk.Previous)
	}
	packed.Names = table.names
	body, err := json.Marshal(packed)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	return body, nil
}

// DecodeChunk reads a chunk. An absent entry is a chunk without owners.
func DecodeChunk(entry blplatform.Entry) (blassign.Chunk, error) {
	if !entry.Exists() {
		return blassign.Chunk{}, nil
	}
	var body chunkBody
	if err := json.Unmarshal(entry.Value, &body); err != nil {
		return blassign.Chunk{}, fmt.Errorf("decode chunk: %w", err)
	}
	return blassign.Chunk{
		Revision: entry.Revision, Term: body.Term, WriteID: body.WriteID, Owners: unpackOwners(body.Names, body.Owners),
		Previous: unpackOwners(body.Names, body.Previous),
	}, nil
}

// StoredConfig is the configuration as the store holds it.
type StoredConfig struct {
	WriteID  string `json:"write_id"`
	Document string `json:"document"`
	// GrantBoundMS is the longest grant_ttl, in milliseconds, of this document
	// and the one before.
	GrantBoundMS int64 `json:"grant_bound_ms"`
	// History lists the latest changes, the newest first.
	History []PastChange `json:"history"`
}

// PastChange is one change of the configuration.
type PastChange struct {
	// BaseRevision is the revision that the change replaced.
	BaseRevision uint64 `json:"base_revision"`
	// At is when the lead stored it, by the lead's wall clock.
	At time.Time `json:"at"`
	// Settings names the settings that changed.
	Settings []string `json:"settings"`
}

const (
	longestHistory = 100
	// mostSettings bounds the settings that one past change names.
	mostSettings = 20
)

// GrantBound returns the longest grant that may be in use.
func (c StoredConfig) GrantBound() time.Duration {
	return time.Duration(c.GrantBoundMS) * time.Millisecond
}

// WithGrantBound returns the configuration with another bound.
func (c StoredConfig) WithGrantBound(bound time.Duration) StoredConfig {
	c.GrantBoundMS = bound.Milliseconds()
	return c
}

// WithChange returns the configuration that replaces c at the given revision.
func (c StoredConfig) WithChange(writeID, document string, base uint64, at time.Time, settings []string) StoredConfig {
	past := PastChange{BaseRevision: base, At: at, Settings: settings[:min(len(settings), mostSettings)]}
	history := append([]PastChange{past}, c.History...)
	return StoredConfig{WriteID: writeID, Document: document, History: history[:min(len(history), longestHistory)]}
}

// EncodeConfig writes a configuration as JSON.
func EncodeConfig(config StoredConfig) ([]byte, error) {
	body, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return body, nil
}

// DecodeConfig reads a configuration.
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

// EncodeLost writes the lost incarnations as JSON.
func EncodeLost(lost []blvalue.Incarnation) ([]byte, error) {
	body, err := json.Marshal(lost)
	if err != nil {
		return nil, fmt.Errorf("encode lost hosts: %w", err)
	}
	return body, nil
}

// DecodeLost reads the lost incarnations.
func DecodeLost(entry blplatform.Entry) ([]blvalue.Incarnation, error) {
	if !entry.Exists() {
		return nil, nil
	}
	var lost []blvalue.Incarnation
	if err := json.Unmarshal(entry.Value, &lost); err != nil {
		return nil, fmt.Errorf("decode lost hosts: %w", err)
	}
	return lost, nil
}
