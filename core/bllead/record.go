// Package bllead decides who is the lead of a region.
//
// The lead record in the store names a lead and a standby by incarnation. A
// lead acts while two of store, lead and standby agree: normally by a lease of
// the store, in a store outage by a promise of the standby.
package bllead

import "bergamotlead/core/blvalue"

// Record is the lead record of a region as the store holds it.
type Record struct {
	// Term rises with each takeover.
	Term uint64
	Lead blvalue.Host
	// Standby may be unset.
	Standby blvalue.Host
	// WriteID is unique to the write that made this record.
	WriteID string
}

// WithStandby returns the record with another standby, as written by writeID.
func (r Record) WithStandby(standby blvalue.Host, writeID string) Record {
	r.Standby = standby
	r.WriteID = writeID
	return r
}

// Names reports whether the record names the process as lead or standby.
func (r Record) Names(process blvalue.Incarnation) bool {
	return r.Lead.Incarnation == process || r.Standby.Incarnation == process
}

// Stored is a record together with its revision in the store. A revision of
// zero means that there is no record.
type Stored struct {
	Record   Record
	Revision uint64
}
