package blstore_test

import (
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blrollout"
	"bergamotlead/io/blstore"
)

func TestRolloutRecordIsReadAsWritten(t *testing.T) {
	for _, phase := range []blrollout.Phase{blrollout.PhaseRunning, blrollout.PhaseCompleted, blrollout.PhaseRolledBack} {
		want := blrollout.Record{
			Revision: 31, Order: blconfig.RolloutOrder{Service: "pot", Target: "v2", Duration: 12500*time.Millisecond + 7, Revision: 30},
			Phase: phase, Reserved: 1400, Reason: "no evidence", Superseded: "v0", Others: 5, Term: 9, WriteID: "a.9.1",
		}
		value, err := blstore.EncodeRollout(want)
		if err != nil {
			t.Fatalf("encode: got %v, want nil", err)
		}
		got, err := blstore.DecodeRollout("pot", blplatform.Entry{Value: value, Revision: 31})
		if err != nil || got != want {
			t.Errorf("decode: got %+v, %v, want %+v", got, err, want)
		}
	}
	if got, err := blstore.DecodeRollout("pot", blplatform.Entry{}); err != nil || got != (blrollout.Record{}) {
		t.Errorf("decode a missing entry: got %+v, %v, want the zero value", got, err)
	}
}

// TestRolloutRecordOfAnotherWriter guards against a roll-out that takes over the phase or
// the reserved requests of a record that the system didn't write.
func TestRolloutRecordOfAnotherWriter(t *testing.T) {
	for _, value := range []string{
		"", "x", "null", "{}", `{"service":"pot","target":"v2","phase":"completed"}`,
		`{"service":"pot","target":7,"phase":"completed","write_id":"a"}`,
		`{"service":"list","target":"v2","phase":"completed","write_id":"a"}`,
		`{"service":"pot","target":"v2","phase":"done","write_id":"a"}`,
		`{"service":"pot","target":"v2","phase":"running","reserved":-4,"write_id":"a"}`,
		`{"service":"pot","target":"v2","phase":"running","term":18446744073709551615,"write_id":"a"}`,
	} {
		entry := blplatform.Entry{Value: []byte(value), Revision: 31}
		if got, err := blstore.DecodeRollout("pot", entry); err == nil {
			t.Errorf("%s: got %+v without an error, want an error", value, got)
		}
		if got, want := blstore.UnreadableRollout(entry), (blrollout.Record{Revision: 31}); got != want {
			t.Errorf("%s: got %+v, want %+v", value, got, want)
		}
	}
}
