package blnode

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blstore"
)

const (
	// storeTimeout bounds a store call that the lead depends on.
	storeTimeout = 250 * time.Millisecond
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
}

// perform makes one call and puts its result on the lead duty's ring. A result
// dropped because the ring is full is equivalent to a call without an answer.
func (w leadStore) perform(effect bllead.Effect) {
	switch e := effect.(type) {
	case bllead.ReadRecord:
		_ = w.put(w.readRecord())
	case bllead.AcquireLease:
		_ = w.put(w.acquireLease(e))
	case bllead.RenewLease:
		_ = w.put(w.renewLease(e))
	case bllead.EndLease:
		w.endLease(e)
	case bllead.WriteRecord:
		_ = w.put(w.writeRecord(e))
	}
}

func (w leadStore) readRecord() bllead.RecordRead {
	result := bllead.RecordRead{SentAt: w.clock.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	entries, err := w.readLead(ctx)
	if err == nil {
		lease := entries[w.keys.LeadLease()]
		result.LeaseClaim, result.LeaseRevision = bllead.Claim(lease.Value), lease.Revision
		result.LeaseHolder = result.LeaseClaim.Holder()
		result.Stored, err = blstore.DecodeRecord(entries[w.keys.LeadRecord()])
	}
	if err == nil {
		result.Lost, err = blstore.DecodeLost(entries[w.keys.LostHosts()])
	}
	result.Failed = err != nil
	return result
}

// readLead returns the entries of the lead by key, with a single call if the
// store can list them. Otherwise it reads them in turn, the lease before the
// record.
func (w leadStore) readLead(ctx context.Context) (map[string]blplatform.Entry, error) {
	found := map[string]blplatform.Entry{}
	if lister, ok := w.store.(blplatform.Lister); ok {
		w.countCall("list")
		entries, err := lister.List(ctx, w.keys.LeadPrefix())
		if err != nil {
			return nil, fmt.Errorf("read lead: %w", err)
		}
		for _, entry := range entries {
			found[entry.Key] = entry
		}
		return found, nil
	}
	for _, key := range []string{w.keys.LeadLease(), w.keys.LeadRecord(), w.keys.LostHosts()} {
		w.countCall("get")
		entry, err := w.store.Get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("read lead: %w", err)
		}
		found[key] = entry
	}
	return found, nil
}

func (w leadStore) readStored(ctx context.Context) (bllead.Stored, error) {
	w.countCall("get")
	entry, err := w.store.Get(ctx, w.keys.LeadRecord())
	if err != nil {
		return bllead.Stored{}, fmt.Errorf("read lead record: %w", err)
	}
	stored, err := blstore.DecodeRecord(entry)
	if err != nil {
		return bllead.Stored{}, fmt.Errorf("read lead record: %w", err)
	}
	return stored, nil
}

// acquireLease opens a lease, attaches the lead key to it and reads the record.
// If the key can't be set or the record can't be read, the lease is released.
func (w leadStore) acquireLease(e bllead.AcquireLease) bllead.LeaseAcquired {
	result := bllead.LeaseAcquired{SentAt: w.clock.Now(), Claim: e.Claim}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.countCall("open_lease")
	lease, err := w.store.NewLease(ctx, w.leaseTTL())
	if err != nil {
		result.Failed = true
		return result
	}
	result.Lease = lease
	w.countCall("swap")
	_, err = w.store.CompareAndSwap(ctx, w.keys.LeadLease(), e.Revision, []byte(e.Claim), lease)
	if err == nil {
		result.Stored, err = w.readStored(ctx)
	}
	if err != nil {
		result.Failed = true
		w.endLease(bllead.EndLease{Lease: lease})
	}
	return result
}

func (w leadStore) renewLease(e bllead.RenewLease) bllead.LeaseRenewed {
	result := bllead.LeaseRenewed{SentAt: w.clock.Now(), Lease: e.Lease}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.countCall("renew_lease")
	err := w.store.RenewLease(ctx, e.Lease)
	var lost blplatform.LeaseLostError
	result.Lost = errors.As(err, &lost)
	result.Failed = err != nil && !result.Lost
	return result
}

func (w leadStore) endLease(e bllead.EndLease) {
	if e.Lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.countCall("end_lease")
	_ = w.store.EndLease(ctx, e.Lease)
}

func (w leadStore) writeRecord(e bllead.WriteRecord) bllead.RecordWritten {
	result := bllead.RecordWritten{WriteID: e.Record.WriteID, Outcome: blplatform.NotSent}
	value, err := blstore.EncodeRecord(e.Record)
	if err != nil {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	w.countCall("swap")
	written, _ := blplatform.Write(ctx, w.store, w.keys.LeadRecord(), e.Base, value)
	result.Outcome = written.Outcome
	result.Current, err = blstore.DecodeRecord(written.Entry)
	if err != nil {
		result.Outcome = blplatform.Unresolved
	}
	return result
}
