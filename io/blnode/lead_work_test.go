package blnode

import (
	"context"
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
	"bergamotlead/io/blstore"
)

// slowStore is an empty store that answers each call after a delay.
type slowStore struct {
	blplatform.Store

	delay time.Duration
}

func (s slowStore) wait(ctx context.Context) error {
	select {
	case <-time.After(s.delay):
		return nil
	case <-ctx.Done():
		return blplatform.UnavailableError{Cause: ctx.Err()}
	}
}

func (s slowStore) Get(ctx context.Context, key string) (blplatform.Entry, error) {
	return blplatform.Entry{Key: key}, s.wait(ctx)
}

func (s slowStore) NewLease(ctx context.Context, _ time.Duration) (blplatform.LeaseID, error) {
	return "1", s.wait(ctx)
}

func (s slowStore) RenewLease(ctx context.Context, _ blplatform.LeaseID) error { return s.wait(ctx) }

func (s slowStore) EndLease(ctx context.Context, _ blplatform.LeaseID) error { return s.wait(ctx) }

func (s slowStore) CompareAndSwap(
	ctx context.Context, key string, _ uint64, value []byte, _ blplatform.LeaseID,
) (blplatform.Entry, error) {
	return blplatform.Entry{Key: key, Value: value, Revision: 1}, s.wait(ctx)
}

// TestSlowStoreKeepsALead guards against a store that answers slowly, but well within
// a lease, and still counts as unreachable, so that no process can become lead.
func TestSlowStoreKeepsALead(t *testing.T) {
	t.Parallel()
	const lease = 1500 * time.Millisecond
	store := leadStore{
		store: slowStore{delay: 300 * time.Millisecond}, keys: blstore.NewKeys("region"), clock: bltimer.NewSystem(),
		leaseTTL: func() time.Duration { return lease }, countCall: func(string) {},
	}
	acquired := store.acquireLease(bllead.AcquireLease{Claim: "claim"})
	if acquired.Failed {
		t.Error("acquired: got a failure, want the lease")
	}
	if elapsed := store.clock.Now().Sub(acquired.SentAt); elapsed >= lease {
		t.Errorf("time to acquire: got %s, want less than the lease of %s", elapsed, lease)
	}
	if store.renewLease(bllead.RenewLease{Lease: "1"}).Failed {
		t.Error("renewed: got a failure, want the lease")
	}
	if store.readRecord().Failed {
		t.Error("record: got a failure, want it read")
	}
}
