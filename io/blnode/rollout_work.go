package blnode

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blrollout"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blstore"
)

// rolloutStore performs the rollout duty's calls to the store.
type rolloutStore struct {
	store blplatform.Store
	// statuses is nil on platforms without roll-out orders.
	statuses  RolloutStatuses
	keys      blstore.Keys
	clock     bltimer.Clock
	leaseTTL  func() time.Duration
	authority func() bllead.Authority
	put       func(blrollout.Message)
	countCall func(kind string)
	logger    hclog.Logger
	// reads, writes and statusWrites log when these calls fail and succeed again.
	reads        *outageLog
	writes       *outageLog
	statusWrites *outageLog
}

func (s rolloutStore) perform(effect blrollout.Effect) {
	switch e := effect.(type) {
	case blrollout.LoadRecord:
		s.put(s.loadRecord(e))
	case blrollout.WriteRecord:
		s.put(s.writeRecord(e))
	case blrollout.WriteStatus:
		s.put(s.writeStatus(e))
	}
}

func (s rolloutStore) loadRecord(e blrollout.LoadRecord) blrollout.RecordLoaded {
	result := blrollout.RecordLoaded{Term: e.Term, Service: e.Service}
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("get")
	entry, err := s.store.Get(ctx, s.keys.Rollout(e.Service))
	s.reads.record(err, "service", string(e.Service))
	if err == nil {
		result.Record = s.decodeRecord(e.Service, entry)
	}
	result.Failed = err != nil
	return result
}

// decodeRecord decodes the record of a roll-out. One that another writer has made
// unreadable is logged and counts as empty, so that the next write replaces it.
func (s rolloutStore) decodeRecord(service blvalue.ServiceName, entry blplatform.Entry) blrollout.Record {
	record, err := blstore.DecodeRollout(service, entry)
	if err != nil {
		s.logger.Warn("record of a roll-out not readable", "service", string(service), "revision", entry.Revision, "error", err)
		return blstore.UnreadableRollout(entry)
	}
	return record
}

func (s rolloutStore) writeRecord(e blrollout.WriteRecord) blrollout.RecordWritten {
	result := blrollout.RecordWritten{
		Term: e.Record.Term, Service: e.Service, WriteID: e.Record.WriteID, Outcome: blplatform.NotSent,
	}
	value, err := blstore.EncodeRollout(e.Record)
	if err != nil {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	s.countCall("swap")
	written, err := blplatform.Write(ctx, s.store, s.keys.Rollout(e.Service), e.Base, value)
	if written.Outcome == blplatform.Written || written.Outcome == blplatform.Conflicted {
		err = nil
	}
	s.writes.record(err, "service", string(e.Service), "phase", string(e.Record.Phase))
	result.Outcome = written.Outcome
	result.Current = s.decodeRecord(e.Service, written.Entry)
	return result
}

// writeStatus replaces the status that operators read. The revision is read before the
// authority is checked, so that a lead that stands still in between replaces nothing that
// its successor has written.
func (s rolloutStore) writeStatus(e blrollout.WriteStatus) blrollout.StatusWritten {
	result := blrollout.StatusWritten{Term: e.Term, Status: e.Status, Failed: true}
	if s.statuses == nil {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	s.countCall("get")
	revision, err := s.statuses.Revision(ctx, e.Status.Service)
	if err == nil {
		authority := s.authority()
		if authority.Term != e.Term || !authority.Holds(s.clock.Now()) {
			return result
		}
		s.countCall("swap")
		err = s.statuses.Replace(ctx, revision, e.Status)
	}
	s.statusWrites.record(err, "service", string(e.Status.Service), "state", string(e.Status.Phase))
	result.Failed = err != nil
	return result
}

// rolloutDropped answers a call that was dropped because the queue of its worker was
// full: the duty waits for the outcome of a write before it makes another one.
func rolloutDropped(effect blrollout.Effect) blrollout.Message {
	switch e := effect.(type) {
	case blrollout.WriteRecord:
		return blrollout.RecordWritten{
			Term: e.Record.Term, Service: e.Service, WriteID: e.Record.WriteID, Outcome: blplatform.NotSent,
		}
	case blrollout.LoadRecord:
		return blrollout.RecordLoaded{Term: e.Term, Service: e.Service, Failed: true}
	case blrollout.WriteStatus:
		return blrollout.StatusWritten{Term: e.Term, Status: e.Status, Failed: true}
	}
	return blrollout.Tick{}
}
