package blnode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blstore"
)

const (
	// minStoreTimeout and leaseFraction set the time-out of a store call that the lead
	// depends on: the time between two renewals of its lease.
	minStoreTimeout = 250 * time.Millisecond
	leaseFraction   = 4
	// writeTimeout bounds a write together with its retries after a lost answer,
	// before the write counts as unresolved.
	writeTimeout = 400 * time.Millisecond
)

// leadStore performs the lead duty's calls to the store.
type leadStore struct {
	store     blplatform.Store
	keys      blstore.Keys
	self      blvalue.Host
	clock     bltimer.Clock
	leaseTTL  func() time.Duration
	put       func(bllead.Message) error
	countCall func(kind string)
	logger    hclog.Logger
}

// storeContext returns the context of one store call that the lead depends on.
func storeContext(leaseTTL time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), max(minStoreTimeout, leaseTTL/leaseFraction))
}

// perform makes one call and puts its result on the lead duty's ring. A result
// dropped because the ring is full is equivalent to a call without an answer.
func (s leadStore) perform(effect bllead.Effect) {
	switch e := effect.(type) {
	case bllead.ReadRecord:
		_ = s.put(s.readRecord())
	case bllead.AcquireLease:
		_ = s.put(s.acquireLease(e))
	case bllead.RenewLease:
		_ = s.put(s.renewLease(e))
	case bllead.EndLease:
		s.endLease(e)
	case bllead.WriteRecord:
		_ = s.put(s.writeRecord(e))
	}
}

func (s leadStore) readRecord() bllead.RecordRead {
	result := bllead.RecordRead{SentAt: s.clock.Now()}
	entries, err := s.readLead()
	if err == nil {
		lease := entries[s.keys.LeadLease()]
		result.LeaseClaim, result.LeaseRevision = bllead.Claim(lease.Value), lease.Revision
		result.LeaseHolder = result.LeaseClaim.Holder()
		result.Stored = s.decodeRecord(entries[s.keys.LeadRecord()])
		result.Lost = s.decodeLost(entries[s.keys.LostHosts()])
	}
	result.Failed = err != nil
	return result
}

// decodeRecord decodes the lead record. One that another writer has made unreadable
// is logged and names nobody, so that a lead is found and writes it anew.
func (s leadStore) decodeRecord(entry blplatform.Entry) bllead.Stored {
	stored, err := blstore.DecodeRecord(entry)
	if err != nil {
		s.logger.Warn("lead record not readable", "revision", entry.Revision, "error", err)
		return blstore.UnreadableRecord(entry)
	}
	return stored
}

// decodeLost decodes the list of lost hosts. An unreadable one is logged and names
// none.
func (s leadStore) decodeLost(entry blplatform.Entry) []blvalue.Incarnation {
	lost, err := blstore.DecodeLost(entry)
	if err != nil {
		s.logger.Warn("lost hosts not readable", "revision", entry.Revision, "error", err)
		return nil
	}
	return lost
}

// readLead returns the entries of the lead by key, with a single call if the
// store can list them. Otherwise it reads them in turn, the lease before the
// record.
func (s leadStore) readLead() (map[string]blplatform.Entry, error) {
	if lister, ok := s.store.(blplatform.Lister); ok {
		return s.listLead(lister)
	}
	found := map[string]blplatform.Entry{}
	for _, key := range []string{s.keys.LeadLease(), s.keys.LeadRecord(), s.keys.LostHosts()} {
		entry, err := s.get(key)
		if err != nil {
			return nil, err
		}
		found[key] = entry
	}
	return found, nil
}

func (s leadStore) listLead(lister blplatform.Lister) (map[string]blplatform.Entry, error) {
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("list")
	entries, err := lister.List(ctx, s.keys.LeadPrefix())
	if err != nil {
		return nil, fmt.Errorf("read lead: %w", err)
	}
	found := make(map[string]blplatform.Entry, len(entries))
	for _, entry := range entries {
		found[entry.Key] = entry
	}
	return found, nil
}

func (s leadStore) get(key string) (blplatform.Entry, error) {
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("get")
	entry, err := s.store.Get(ctx, key)
	if err != nil {
		return blplatform.Entry{}, fmt.Errorf("read lead: %w", err)
	}
	return entry, nil
}

func (s leadStore) readStored() (bllead.Stored, error) {
	entry, err := s.get(s.keys.LeadRecord())
	if err != nil {
		return bllead.Stored{}, err
	}
	return s.decodeRecord(entry), nil
}

// acquireLease opens a lease, attaches the lead key to it and reads the record.
// If the key can't be set or the record can't be read, the lease is released.
func (s leadStore) acquireLease(e bllead.AcquireLease) bllead.LeaseAcquired {
	result := bllead.LeaseAcquired{SentAt: s.clock.Now(), Claim: e.Claim}
	lease, err := s.openLease()
	if err != nil {
		result.Failed = true
		return result
	}
	result.Lease = lease
	result.LeaseRevision, err = s.setLeaseKey(e, lease)
	if err == nil {
		result.Stored, err = s.readStored()
	}
	if err != nil {
		result.Failed = true
		s.endLease(bllead.EndLease{Lease: lease})
	}
	return result
}

func (s leadStore) openLease() (blplatform.LeaseID, error) {
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("open_lease")
	return s.store.NewLease(ctx, s.leaseTTL()) //nolint:wrapcheck // only whether it failed matters
}

// setLeaseKey attaches the lead key to the lease and returns its revision.
func (s leadStore) setLeaseKey(e bllead.AcquireLease, lease blplatform.LeaseID) (uint64, error) {
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("swap")
	entry, err := s.store.CompareAndSwap(ctx, s.keys.LeadLease(), e.Revision, []byte(e.Claim), lease)
	return entry.Revision, err //nolint:wrapcheck // only whether it failed matters
}

// renewLease extends the lease. If the store doesn't know it, the record is read, which
// tells whether the store was restored.
func (s leadStore) renewLease(e bllead.RenewLease) bllead.LeaseRenewed {
	result := bllead.LeaseRenewed{SentAt: s.clock.Now(), Lease: e.Lease}
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("renew_lease")
	err := s.store.RenewLease(ctx, e.Lease)
	var lost blplatform.LeaseLostError
	result.Lost = errors.As(err, &lost)
	result.Failed = err != nil && !result.Lost
	if reader, ok := s.store.(blplatform.EraReader); ok {
		result.Era = reader.Era()
	}
	if result.Lost {
		result.Stored, err = s.readStored()
		result.Read = err == nil
	}
	return result
}

func (s leadStore) endLease(e bllead.EndLease) {
	if e.Lease == "" {
		return
	}
	ctx, cancel := storeContext(s.leaseTTL())
	defer cancel()
	s.countCall("end_lease")
	_ = s.store.EndLease(ctx, e.Lease)
}

func (s leadStore) writeRecord(e bllead.WriteRecord) bllead.RecordWritten {
	result := bllead.RecordWritten{WriteID: e.Record.WriteID, Outcome: blplatform.NotSent}
	value, err := blstore.EncodeRecord(e.Record)
	if err != nil {
		return result
	}
	if e.Again {
		s.logger.Info("lead record written again", "era", uint64(e.Record.Era), "term", e.Record.Term)
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	s.countCall("swap")
	written, _ := blplatform.Write(ctx, s.store, s.keys.LeadRecord(), e.Base, value)
	result.Outcome = written.Outcome
	result.Current = s.decodeRecord(written.Entry)
	return result
}
