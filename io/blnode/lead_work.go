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
	// storeTimeout bounds a call to the store on which the lead depends.
	storeTimeout = 250 * time.Millisecond
	// writeTimeout bounds the time for which a lost answer is looked for before
	// the write counts as unresolved.
	writeTimeout = 400 * time.Millisecond
)

// leadWork performs the lead duty's calls to the store.
type leadWork struct {
	store blplatform.Store
	keys  blstore.Keys
	self  blvalue.Host
	clock bltimer.Clock
	lease func() time.Duration
	put   func(bllead.Message) error
	count func(kind string)
}

// perform does one call and puts its result on the lead duty's ring. A result
// that finds the ring full counts as one that got no answer.
func (w leadWork) perform(effect bllead.Effect) {
	switch e := effect.(type) {
	case bllead.ReadRecord:
		_ = w.put(w.readRecord())
	case bllead.AcquireLease:
		_ = w.put(w.acquire(e))
	case bllead.RenewLease:
		_ = w.put(w.renew(e))
	case bllead.EndLease:
		w.end(e)
	case bllead.WriteRecord:
		_ = w.put(w.write(e))
	}
}

func (w leadWork) readRecord() bllead.RecordRead {
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

// readLead returns the entries of the lead by key, at once where the store can.
// The lease is read before the record.
func (w leadWork) readLead(ctx context.Context) (map[string]blplatform.Entry, error) {
	found := map[string]blplatform.Entry{}
	if lister, ok := w.store.(blplatform.Lister); ok {
		w.count("list")
		entries, err := lister.List(ctx, w.keys.Lead())
		if err != nil {
			return nil, fmt.Errorf("read lead: %w", err)
		}
		for _, entry := range entries {
			found[entry.Key] = entry
		}
		return found, nil
	}
	for _, key := range []string{w.keys.LeadLease(), w.keys.LeadRecord(), w.keys.LostHosts()} {
		w.count("get")
		entry, err := w.store.Get(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("read lead: %w", err)
		}
		found[key] = entry
	}
	return found, nil
}

func (w leadWork) readStored(ctx context.Context) (bllead.Stored, error) {
	w.count("get")
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

// acquire opens a lease, hangs the lead key on it and reads the record. A lease
// whose key can't be set is given back.
func (w leadWork) acquire(e bllead.AcquireLease) bllead.LeaseAcquired {
	result := bllead.LeaseAcquired{SentAt: w.clock.Now(), Claim: e.Claim}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.count("open_lease")
	lease, err := w.store.NewLease(ctx, w.lease())
	if err != nil {
		result.Failed = true
		return result
	}
	result.Lease = lease
	w.count("swap")
	_, err = w.store.CompareAndSwap(ctx, w.keys.LeadLease(), e.Revision, []byte(e.Claim), lease)
	if err == nil {
		result.Stored, err = w.readStored(ctx)
	}
	if err != nil {
		result.Failed = true
		w.end(bllead.EndLease{Lease: lease})
	}
	return result
}

func (w leadWork) renew(e bllead.RenewLease) bllead.LeaseRenewed {
	result := bllead.LeaseRenewed{SentAt: w.clock.Now(), Lease: e.Lease}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.count("renew_lease")
	err := w.store.RenewLease(ctx, e.Lease)
	var lost blplatform.LeaseLostError
	result.Lost = errors.As(err, &lost)
	result.Failed = err != nil && !result.Lost
	return result
}

func (w leadWork) end(e bllead.EndLease) {
	if e.Lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	w.count("end_lease")
	_ = w.store.EndLease(ctx, e.Lease)
}

func (w leadWork) write(e bllead.WriteRecord) bllead.RecordWritten {
	result := bllead.RecordWritten{WriteID: e.Record.WriteID, Outcome: blplatform.NotSent}
	value, err := blstore.EncodeRecord(e.Record)
	if err != nil {
		return result
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	w.count("swap")
	written, _ := blplatform.Write(ctx, w.store, w.keys.LeadRecord(), e.Base, value)
	result.Outcome = written.Outcome
	result.Current, err = blstore.DecodeRecord(written.Entry)
	if err != nil {
		result.Outcome = blplatform.Unresolved
	}
	return result
}
