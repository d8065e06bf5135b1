package blstore_test

import (
	"strconv"
	"testing"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/io/blstore"
)

// TestTermAfterAnUnreadableRecordIsReadable guards against a fleet without a lead for good:
// each record after an unreadable one has a term beyond the highest, and is unreadable too.
func TestTermAfterAnUnreadableRecordIsReadable(t *testing.T) {
	const (
		lastEra    = 1<<16 - 1
		lastNumber = 1<<47 - 1
		// takeovers is the number of takeovers that follow.
		takeovers = 1000
	)
	for _, era := range []blplatform.Era{0, 1, 40_000, lastEra} {
		for _, number := range []uint64{1, 8191, 1 << 29, lastNumber} {
			t.Run(strconv.FormatUint(uint64(era), 10)+"."+strconv.FormatUint(number, 10), func(t *testing.T) {
				found := blstore.UnreadableRecord(blplatform.Entry{Value: []byte("x"), Revision: blplatform.NewRevision(era, number)})
				value, err := blstore.EncodeRecord(bllead.Record{
					Term: max(found.Record.Term, bllead.TermFloor(era)) + takeovers, Era: era, WriteID: "a.1",
				})
				if err != nil {
					t.Fatalf("encode: got %v, want no error", err)
				}
				if _, err := blstore.DecodeRecord(blplatform.Entry{Value: value, Revision: found.Revision + 1}); err != nil {
					t.Errorf("decode: got %v, want no error", err)
				}
			})
		}
	}
}

// TestRecordOfAnotherWriterGivesNoLowTerm guards against a record that can be read but that
// no process of the system wrote, so that the terms before it are forgotten.
func TestRecordOfAnotherWriterGivesNoLowTerm(t *testing.T) {
	const number = 40
	for _, value := range []string{"null", "{}", `{"term":3}`, `{"term":3,"lead":{"name":"host_1","incarnation":"x"}}`} {
		for _, era := range []blplatform.Era{0, 1} {
			revision := blplatform.NewRevision(era, number)
			found, err := blstore.DecodeRecord(blplatform.Entry{Value: []byte(value), Revision: revision})
			if err == nil {
				t.Errorf("%s: got term %d without an error, want an error", value, found.Record.Term)
			}
		}
	}
}
