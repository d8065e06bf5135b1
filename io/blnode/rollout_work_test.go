package blnode

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blstore"
)

// statusStub stores statuses, and calls onRevision with each read of a revision.
type statusStub struct {
	written    []blrollout.Status
	onRevision func()
}

func (s *statusStub) Revision(context.Context, blvalue.ServiceName) (uint64, error) {
	s.onRevision()
	return uint64(len(s.written)), nil
}

func (s *statusStub) Replace(_ context.Context, _ uint64, status blrollout.Status) error {
	s.written = append(s.written, status)
	return nil
}

// newRolloutStub returns what performs calls to a store, as the lead of term 4, and the
// messages that it puts.
func newRolloutStub(store blplatform.Store) (*rolloutStore, *[]blrollout.Message) {
	var messages []blrollout.Message
	clock, logger := bltimer.NewManual(), hclog.NewNullLogger()
	outage := newOutageLog(logger, clock, "lost", "regained")
	return &rolloutStore{
		store: store, keys: blstore.NewKeys("west"), clock: clock, leaseTTL: func() time.Duration { return time.Second },
		authority: func() bllead.Authority {
			return bllead.Authority{Term: 4, Until: bltimer.Instant(time.Second)}
		},
		put: func(m blrollout.Message) { messages = append(messages, m) }, countCall: func(string) {}, logger: logger,
		reads: outage, writes: outage, statusWrites: outage,
	}, &messages
}

// TestUnreadableRolloutRecordIsReplaced guards against a record of another writer that
// ends or stops the roll-outs of a service.
func TestUnreadableRolloutRecordIsReplaced(t *testing.T) {
	s, messages := newRolloutStub(oddStore{value: `{"service":"pot","phase":"completed"}`})
	s.perform(blrollout.LoadRecord{Term: 4, Service: "pot"})
	want := blrollout.RecordLoaded{Term: 4, Service: "pot", Record: blrollout.Record{Revision: oddRevision}}
	if got := (*messages)[0]; got != blrollout.Message(want) {
		t.Errorf("loaded: got %+v, want %+v", got, want)
	}
	record := blrollout.Record{Order: blconfig.RolloutOrder{Service: "pot", Target: "v2"}, Phase: blrollout.PhaseRunning, Term: 4, WriteID: "4.1"}
	s.perform(blrollout.WriteRecord{Service: "pot", Base: 70, Record: record})
	written, ok := (*messages)[1].(blrollout.RecordWritten)
	if !ok || written.Outcome != blplatform.Conflicted || written.WriteID != "4.1" || written.Current != want.Record {
		t.Errorf("written: got %+v, want a conflict with %+v", (*messages)[1], want.Record)
	}
}

// TestStatusOfAnEarlierLead guards against a lead that stood still while its term ended,
// and then writes a status that its successor has replaced.
func TestStatusOfAnEarlierLead(t *testing.T) {
	clock := bltimer.NewManual()
	cases := []struct {
		name string
		// meanwhile happens while the revision is read.
		meanwhile func()
		term      uint64
		want      int
	}{
		{"in the term", func() {}, 4, 1},
		{"of an earlier term", func() {}, 3, 0},
		{"suspended until the term has ended", func() { clock.Advance(2 * time.Second) }, 4, 0},
	}
	for _, c := range cases {
		s, messages := newRolloutStub(oddStore{})
		statuses := &statusStub{onRevision: c.meanwhile}
		s.statuses, s.clock = statuses, clock
		status := blrollout.Status{Service: "pot", Target: "v2", Phase: blrollout.PhaseRunning}
		s.perform(blrollout.WriteStatus{Term: c.term, Status: status})
		want := blrollout.StatusWritten{Term: c.term, Status: status, Failed: c.want == 0}
		if got := (*messages)[0]; len(statuses.written) != c.want || got != blrollout.Message(want) {
			t.Errorf("%s: got %d writes and %+v, want %d and %+v", c.name, len(statuses.written), got, c.want, want)
		}
	}
}

// TestDroppedRolloutCallsAreAnswered guards against a duty that waits for the outcome of a
// call that was dropped because the queue of its worker was full.
func TestDroppedRolloutCallsAreAnswered(t *testing.T) {
	status := blrollout.Status{Service: "pot", Target: "v2", Phase: blrollout.PhaseRunning}
	cases := []struct {
		effect blrollout.Effect
		want   blrollout.Message
	}{
		{blrollout.LoadRecord{Term: 4, Service: "pot"}, blrollout.RecordLoaded{Term: 4, Service: "pot", Failed: true}},
		{
			blrollout.WriteRecord{Service: "pot", Record: blrollout.Record{Term: 4, WriteID: "4.1"}},
			blrollout.RecordWritten{Term: 4, Service: "pot", WriteID: "4.1", Outcome: blplatform.NotSent},
		},
		{blrollout.WriteStatus{Term: 4, Status: status}, blrollout.StatusWritten{Term: 4, Status: status, Failed: true}},
	}
	for _, c := range cases {
		if got := rolloutDropped(c.effect); got != c.want {
			t.Errorf("answer to %+v: got %+v, want %+v", c.effect, got, c.want)
		}
	}
}
