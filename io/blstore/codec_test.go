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
				value, err := blstore.EncodeRecord(bllead.Record{Term: max(found.Record.Term, bllead.TermFloor(era)) + takeovers, Era: era})
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
