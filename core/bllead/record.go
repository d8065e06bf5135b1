// Package bllead implements the election of a region's lead.
//
// The lead record in the store names a lead and a standby by incarnation. A lead
// acts while it has the consent of the store or of the standby, that is, while two
// of the three agree: normally by a lease of the store, and during an outage of
// the store by a promise of the standby not to take over.
package bllead

import (
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// Record is the lead record of a region as the store holds it.
type Record struct {
	// Term increases with each takeover.
	Term uint64
	Lead blvalue.Host
	// Standby is the zero Host when none is appointed.
	Standby blvalue.Host
	// Era is the era of the store in which the writer wrote the record.
	Era blplatform.Era
	// WriteID uniquely identifies the write that produced this record.
	WriteID string
}

// WithStandby returns the record with the given standby and write ID.
func (r Record) WithStandby(standby blvalue.Host, writeID string) Record {
	r.Standby = standby
	r.WriteID = writeID
	return r
}

// Names reports whether the record names the process as lead or standby.
func (r Record) Names(process blvalue.Incarnation) bool {
	return r.Lead.Incarnation == process || r.Standby.Incarnation == process
}

// Stored is a record with its revision in the store. Revision zero means that the
// record doesn't exist.
type Stored struct {
	Record   Record
	Revision uint64
}

// isUnreadable reports whether another writer made the record unreadable. Each that a
// process has written has a write ID.
func (s Stored) isUnreadable() bool {
	return s.Revision != 0 && s.Record.WriteID == "" && s.Record.Lead.IsZero()
}

// before reports whether the record is an earlier one than other: by term, then by the
// era and the number of its write. Revisions alone don't tell, since a restored store
// reports an earlier record under a later revision.
func (s Stored) before(other Stored) bool {
	if s.Record.Term != other.Record.Term {
		return s.Record.Term < other.Record.Term
	}
	if s.Record.Era != other.Record.Era {
		return s.Record.Era < other.Record.Era
	}
	return blplatform.RevisionNumber(s.Revision) < blplatform.RevisionNumber(other.Revision)
}
