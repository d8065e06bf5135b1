package blstore

import (
	"encoding/json"
	"fmt"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/blvalue"
)

type rolloutBody struct {
	Service blvalue.ServiceName `json:"service"`
	Target  string              `json:"target"`
	// DurationNS is exact, since an ended order is known by its duration.
	DurationNS int64 `json:"duration_ns"`
	// Order is the store's revision of the order.
	Order      uint64          `json:"order"`
	Phase      blrollout.Phase `json:"phase"`
	Reserved   uint64          `json:"reserved"`
	Reason     string          `json:"reason,omitempty"`
	Superseded string          `json:"superseded,omitempty"`
	Others     int             `json:"others,omitempty"`
	Term       uint64          `json:"term"`
	WriteID    string          `json:"write_id"`
}

// PhaseError reports a roll-out record with a phase that the system doesn't write.
type PhaseError struct {
	Phase blrollout.Phase
}

// Error implements error.
func (e PhaseError) Error() string {
	return fmt.Sprintf("%q is no phase of a roll-out", string(e.Phase))
}

// RolloutServiceError reports a roll-out record of another service than its key names.
type RolloutServiceError struct {
	Got, Want blvalue.ServiceName
}

// Error implements error.
func (e RolloutServiceError) Error() string {
	return fmt.Sprintf("service %q, want %q", string(e.Got), string(e.Want))
}

// EncodeRollout encodes the record of a roll-out as JSON.
func EncodeRollout(record blrollout.Record) ([]byte, error) {
	body, err := json.Marshal(rolloutBody{
		Service: record.Order.Service, Target: record.Order.Target, DurationNS: record.Order.Duration.Nanoseconds(),
		Order: record.Order.Revision, Phase: record.Phase, Reserved: record.Reserved, Reason: record.Reason,
		Superseded: record.Superseded, Others: record.Others, Term: record.Term, WriteID: record.WriteID,
	})
	if err != nil {
		return nil, fmt.Errorf("encode roll-out: %w", err)
	}
	return body, nil
}

// UnreadableRollout returns what an entry that is no record of a roll-out says: nothing
// but its revision, which the next write replaces.
func UnreadableRollout(entry blplatform.Entry) blrollout.Record {
	return blrollout.Record{Revision: entry.Revision}
}

// DecodeRollout decodes the record of a service's latest roll-out. For a missing entry it
// returns the zero value.
func DecodeRollout(service blvalue.ServiceName, entry blplatform.Entry) (blrollout.Record, error) {
	if !entry.Exists() {
		return blrollout.Record{}, nil
	}
	var body rolloutBody
	if err := json.Unmarshal(entry.Value, &body); err != nil {
		return blrollout.Record{}, fmt.Errorf("decode roll-out: %w", err)
	}
	if err := body.check(service); err != nil {
		return blrollout.Record{}, fmt.Errorf("decode roll-out: %w", err)
	}
	return blrollout.Record{
		Revision: entry.Revision,
		Order: blconfig.RolloutOrder{
			Service: body.Service, Target: body.Target, Duration: time.Duration(body.DurationNS), Revision: body.Order,
		},
		Phase: body.Phase, Reserved: body.Reserved, Reason: body.Reason, Superseded: body.Superseded, Others: body.Others, Term: body.Term, WriteID: body.WriteID,
	}, nil
}

// check returns an error if the system can't have written the record.
func (b rolloutBody) check(service blvalue.ServiceName) error {
	if b.WriteID == "" {
		return WriterError{}
	}
	if b.Service != service {
		return RolloutServiceError{Got: b.Service, Want: service}
	}
	switch b.Phase {
	case blrollout.PhaseRunning, blrollout.PhaseCompleted, blrollout.PhaseRolledBack:
		return checkTerm(b.Term)
	}
	return PhaseError{Phase: b.Phase}
}
