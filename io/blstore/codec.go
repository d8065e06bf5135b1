package blstore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// Keys builds the keys under which the state of one region is stored.
type Keys struct {
	region string
}

// NewKeys returns the keys of a region.
func NewKeys(region string) Keys {
	return Keys{region: region}
}

// ConfigKey is the key of the deployment's configuration, which all its regions
// share.
const ConfigKey = "config"

// LeadRecord is the key of the lead record.
func (k Keys) LeadRecord() string { return k.region + ".lead_record" }

// LeadLease is the key attached to the lead's lease.
func (k Keys) LeadLease() string { return k.region + ".lead_lease" }

// LostHosts is the key of the list of incarnations that operators declared lost.
func (k Keys) LostHosts() string { return k.region + ".lead_lost_hosts" }

// LeadPrefix is the common prefix of the lead's keys: those of its record, its
// lease and the lost hosts.
func (k Keys) LeadPrefix() string { return k.region + ".lead_" }

// Chunk returns the key of one chunk of an assignment.
func (k Keys) Chunk(id blassign.ChunkID) string {
	return k.region + ".assignment." + string(id.Service) + "." + strconv.Itoa(id.Index)
}

// Rollout returns the key of the record of a service's latest roll-out.
func (k Keys) Rollout(service blvalue.ServiceName) string {
	return k.region + ".rollout." + string(service)
}

type hostBody struct {
	Name        blvalue.HostName    `json:"name"`
	Incarnation blvalue.Incarnation `json:"incarnation"`
	Domain      blvalue.DomainName  `json:"failure_domain"`
	Address     string              `json:"address"`
	Capacity    int                 `json:"capacity,omitempty"`
}

type recordBody struct {
	Term    uint64         `json:"term"`
	Era     blplatform.Era `json:"era,omitempty"`
	Lead    hostBody       `json:"lead"`
	Standby hostBody       `json:"standby"`
	WriteID string         `json:"write_id"`
}

// EncodeRecord encodes a lead record as JSON.
func EncodeRecord(record bllead.Record) ([]byte, error) {
	body, err := json.Marshal(recordBody{
		Term: record.Term, Era: record.Era, Lead: hostBody(record.Lead), Standby: hostBody(record.Standby), WriteID: record.WriteID,
	})
	if err != nil {
		return nil, fmt.Errorf("encode lead record: %w", err)
	}
	return body, nil
}

// TermError reports a term that no lead can have written.
type TermError struct {
	Term uint64
}

// Error implements error.
func (e TermError) Error() string {
	return fmt.Sprintf("term %d isn't from 0 to %d", e.Term, bllead.MaxTerm)
}

// WriterError reports a record that no process of the system wrote: it has no write ID.
type WriterError struct{}

// Error implements error.
func (WriterError) Error() string {
	return "no write ID"
}

func checkTerm(term uint64) error {
	if term > bllead.MaxTerm {
		return TermError{Term: term}
	}
	return nil
}

// UnreadableRecord returns what an entry that is no lead record says: neither who is
// lead nor who is standby. Its term is a bound of those that began before.
func UnreadableRecord(entry blplatform.Entry) bllead.Stored {
	return bllead.Stored{Record: bllead.Record{Term: bllead.TermBound(entry.Revision)}, Revision: entry.Revision}
}

// unreadableOwner stands for the unknown earlier owners of an unreadable chunk.
const unreadableOwner blvalue.UpstreamName = "unreadable"

// UnreadableChunk returns what an entry that is no chunk says: no partition has an
// owner, and each may still be in use by an unknown earlier one.
func UnreadableChunk(entry blplatform.Entry) blassign.Chunk {
	return blassign.Chunk{
		Revision: entry.Revision, Previous: slices.Repeat([]blvalue.UpstreamName{unreadableOwner}, blassign.ChunkSize),
	}
}

// DecodeRecord decodes a lead record. For a missing entry it returns the zero
// value. One without a write ID is another writer's, whose term says nothing.
func DecodeRecord(entry blplatform.Entry) (bllead.Stored, error) {
	if !entry.Exists() {
		return bllead.Stored{}, nil
	}
	var body recordBody
	if err := json.Unmarshal(entry.Value, &body); err != nil {
		return bllead.Stored{}, fmt.Errorf("decode lead record: %w", err)
	}
	if err := checkTerm(body.Term); err != nil {
		return bllead.Stored{}, fmt.Errorf("decode lead record: %w", err)
	}
	if body.WriteID == "" {
		return bllead.Stored{}, fmt.Errorf("decode lead record: %w", WriterError{})
	}
	return bllead.Stored{
		Record: bllead.Record{
			Term: body.Term, Era: body.Era, Lead: blvalue.Host(body.Lead), Standby: blvalue.Host(body.Standby), WriteID: body.WriteID,
		},
		Revision: entry.Revision,
	}, nil
}

type chunkBody struct {
	Term    uint64         `json:"term"`
	Era     blplatform.Era `json:"era,omitempty"`
	WriteID string         `json:"write_id"`
	// Names lists each owner once. Owners and Previous refer to it.
	Names []blvalue.UpstreamName `json:"names"`
	// Owners holds a little-endian 16-bit number for each partition: the index
	// of its owner in Names plus one, or zero if it has none.
	Owners []byte `json:"owners"`
	// Previous holds, in the same encoding, the earlier owners that may still use
	// their partitions.
	Previous []byte `json:"previous,omitempty"`
	// Absent lists what upstreams at absent hosts may hold.
	Absent []absentBody `json:"absent,omitempty"`
}

type absentBody struct {
	Host     hostBody             `json:"host"`
	Upstream blvalue.UpstreamName `json:"upstream"`
	// Partitions is the bitmap of the partitions in little-endian 64-bit words, lowest
	// partition first.
	Partitions []byte `json:"partitions"`
}

func encodeAbsent(holders []blassign.AbsentHolder) []absentBody {
	if len(holders) == 0 {
		return nil
	}
	encoded := make([]absentBody, 0, len(holders))
	for _, holder := range holders {
		var bitmap []byte
		for _, word := range holder.Set.Words() {
			bitmap = binary.LittleEndian.AppendUint64(bitmap, word)
		}
		encoded = append(encoded, absentBody{Host: hostBody(holder.Host), Upstream: holder.Upstream, Partitions: bitmap})
	}
	return encoded
}

func decodeAbsent(encoded []absentBody) []blassign.AbsentHolder {
	if len(encoded) == 0 {
		return nil
	}
	holders := make([]blassign.AbsentHolder, 0, len(encoded))
	for _, body := range encoded {
		var words []uint64
		for bitmap := body.Partitions; len(bitmap) >= wordBytes; bitmap = bitmap[wordBytes:] {
			words = append(words, binary.LittleEndian.Uint64(bitmap))
		}
		holders = append(holders, blassign.AbsentHolder{
			Host: blvalue.Host(body.Host), Upstream: body.Upstream, Set: blvalue.PartitionSetOfWords(words),
		})
	}
	return holders
}

// wordBytes is the size of a word of an encoded bitmap.
const wordBytes = 8

// nameTable numbers the names of owners in order of first use, starting at one.
type nameTable struct {
	names   []blvalue.UpstreamName
	numbers map[blvalue.UpstreamName]uint16
}

func (t *nameTable) encode(owners []blvalue.UpstreamName) []byte {
	encoded := make([]byte, 0, 2*len(owners))
	for _, owner := range owners {
		if _, ok := t.numbers[owner]; !ok {
			t.names = append(t.names, owner)
			t.numbers[owner] = uint16(len(t.names))
		}
		encoded = binary.LittleEndian.AppendUint16(encoded, t.numbers[owner])
	}
	return encoded
}

func decodeOwners(names []blvalue.UpstreamName, encoded []byte) []blvalue.UpstreamName {
	owners := make([]blvalue.UpstreamName, 0, len(encoded)/2)
	for ; len(encoded) >= 2; encoded = encoded[2:] {
		owner := blvalue.UpstreamName("")
		if number := int(binary.LittleEndian.Uint16(encoded)); number > 0 && number <= len(names) {
			owner = names[number-1]
		}
		owners = append(owners, owner)
	}
	return owners
}

// EncodeChunk encodes a chunk of an assignment as JSON.
func EncodeChunk(chunk blassign.Chunk) ([]byte, error) {
	table := &nameTable{numbers: map[blvalue.UpstreamName]uint16{"": 0}}
	encoded := chunkBody{Term: chunk.Term, Era: chunk.Era, WriteID: chunk.WriteID, Owners: table.encode(chunk.Owners)}
	if slices.ContainsFunc(chunk.Previous, func(name blvalue.UpstreamName) bool { return name != "" }) {
		encoded.Previous = table.encode(chunk.Previous)
	}
	encoded.Names, encoded.Absent = table.names, encodeAbsent(chunk.Absent)
	body, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode chunk: %w", err)
	}
	return body, nil
}

// DecodeChunk decodes a chunk. For a missing entry it returns a chunk without
// owners.
func DecodeChunk(entry blplatform.Entry) (blassign.Chunk, error) {
	if !entry.Exists() {
		return blassign.Chunk{}, nil
	}
	var body chunkBody
	if err := json.Unmarshal(entry.Value, &body); err != nil {
		return blassign.Chunk{}, fmt.Errorf("decode chunk: %w", err)
	}
	if err := checkTerm(body.Term); err != nil {
		return blassign.Chunk{}, fmt.Errorf("decode chunk: %w", err)
	}
	return blassign.Chunk{
		Revision: entry.Revision, Term: body.Term, Era: body.Era, WriteID: body.WriteID,
		Owners: decodeOwners(body.Names, body.Owners), Previous: decodeOwners(body.Names, body.Previous),
		Absent: decodeAbsent(body.Absent),
	}, nil
}

// EncodeLost encodes the list of lost incarnations as JSON.
func EncodeLost(lost []blvalue.Incarnation) ([]byte, error) {
	body, err := json.Marshal(lost)
	if err != nil {
		return nil, fmt.Errorf("encode lost hosts: %w", err)
	}
	return body, nil
}

// DecodeLost decodes the list of lost incarnations.
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
