package bltests_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/io/blstore"
	"bergamotlead/tools/blfleet"
)

// TestStoreContract checks that the client of the platform's store meets the
// contract of blplatform.Store.
func TestStoreContract(t *testing.T) {
	started, err := blfleet.Start(blfleet.Options{Binaries: binariesFolder, Folder: t.TempDir(), Region: "sn_west"})
	if err != nil {
		t.Fatalf("start platform: %v", err)
	}
	t.Cleanup(started.Stop)
	f := &fleet{Fleet: started, t: t}
	store := blstore.New(f.StoreAddress)
	var conflict blplatform.ConflictError
	var lost blplatform.LeaseLostError
	var unknown blplatform.UnknownOutcomeError
	var unavailable blplatform.UnavailableError
	cases := []struct {
		name string
		run  func(ctx context.Context, key string) error
		want any
	}{
		{"an absent key has revision zero", func(ctx context.Context, key string) error {
			entry, err := store.Get(ctx, key)
			if entry.Exists() {
				return errors.New("the key exists")
			}
			return err
		}, nil},
		{"create, change, conflict", func(ctx context.Context, key string) error {
			first, err := store.CompareAndSwap(ctx, key, 0, []byte("a"), "")
			if err != nil {
				return err
			}
			if _, err = store.CompareAndSwap(ctx, key, first.Revision, []byte("b"), ""); err != nil {
				return err
			}
			_, err = store.CompareAndSwap(ctx, key, first.Revision, []byte("c"), "")
			return err
		}, &conflict},
		{"a key expires with its lease", func(ctx context.Context, key string) error {
			lease, err := store.NewLease(ctx, 100*time.Millisecond)
			if err != nil {
				return err
			}
			if _, err = store.CompareAndSwap(ctx, key, 0, []byte("a"), lease); err != nil {
				return err
			}
			time.Sleep(200 * time.Millisecond)
			if entry, err := store.Get(ctx, key); err != nil || entry.Exists() {
				return errors.New("the key still exists")
			}
			return store.RenewLease(ctx, lease)
		}, &lost},
		{"a renewed lease does not expire", func(ctx context.Context, key string) error {
			lease, err := store.NewLease(ctx, 200*time.Millisecond)
			if err != nil {
				return err
			}
			if _, err = store.CompareAndSwap(ctx, key, 0, []byte("a"), lease); err != nil {
				return err
			}
			for range 4 {
				time.Sleep(100 * time.Millisecond)
				if err := store.RenewLease(ctx, lease); err != nil {
					return err
				}
			}
			entry, err := store.Get(ctx, key)
			if err == nil && !entry.Exists() {
				return errors.New("the key has expired")
			}
			return err
		}, nil},
		{"a write under an expired lease", func(ctx context.Context, key string) error {
			_, err := store.CompareAndSwap(ctx, key, 0, []byte("a"), "lease_none")
			return err
		}, &lost},
		{"a watch returns a change", func(ctx context.Context, key string) error {
			writer := delayedWriter{store: store, key: key}
			go writer.run(ctx)
			entry, err := store.Watch(ctx, key, 0)
			if err == nil && string(entry.Value) != "a" {
				return errors.New("the watch returned another value than the one written")
			}
			return err
		}, nil},
		{"response lost after the write", func(ctx context.Context, key string) error {
			f.setPlatformFaults(map[string]any{"lose_answers": 1})
			_, err := store.CompareAndSwap(ctx, key, 0, []byte("a"), "")
			if entry, readErr := store.Get(ctx, key); readErr != nil || !entry.Exists() {
				return errors.New("the write did not take effect")
			}
			return err
		}, &unknown},
		{"slower than the caller's deadline", func(ctx context.Context, key string) error {
			f.setPlatformFaults(map[string]any{"delay_ms": 300})
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := store.CompareAndSwap(ctx, key, 0, []byte("a"), "")
			return err
		}, &unknown},
		{"down", func(ctx context.Context, key string) error {
			f.setPlatformFaults(map[string]any{"down": true})
			_, err := store.CompareAndSwap(ctx, key, 0, []byte("a"), "")
			return err
		}, &unavailable},
		{"connection refused", func(ctx context.Context, key string) error {
			_, err := blstore.New("127.0.0.1:9").CompareAndSwap(ctx, key, 0, []byte("a"), "")
			return err
		}, &unavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f.setPlatformFaults(map[string]any{})
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			err := c.run(ctx, c.name)
			switch {
			case c.want == nil && err != nil:
				t.Errorf("error: got %v, want nil", err)
			case c.want != nil && !errors.As(err, c.want):
				t.Errorf("error: got %v, want %T", err, c.want)
			}
		})
	}
}

// delayedWriter writes a key after 100 ms, while the watch is waiting.
type delayedWriter struct {
	store blplatform.Store
	key   string
}

func (w delayedWriter) run(ctx context.Context) {
	time.Sleep(100 * time.Millisecond)
	_, _ = w.store.CompareAndSwap(ctx, w.key, 0, []byte("a"), "")
}

// TestPermanentLossOfLeadAndStandby kills the nodes of lead and standby. Another
// node may become lead only after an operator has marked both hosts as lost.
func TestPermanentLossOfLeadAndStandby(t *testing.T) {
	f := deploy(t, blfleet.PotHosts(5, true), nil)
	lead, standby, other := f.roles()
	lead.Node.Kill()
	standby.Node.Kill()
	time.Sleep(3 * time.Second)
	if got := f.Lead(); got != nil {
		t.Fatalf("lead after the loss of both: got %s, want none", got.Spec.Name)
	}
	f.mustCtl(other, "host", "lost", lead.Spec.Name, "--sure")
	time.Sleep(1500 * time.Millisecond)
	if got := f.Lead(); got != nil {
		t.Fatalf("lead after one was marked lost: got %s, want none", got.Spec.Name)
	}
	f.mustCtl(other, "host", "lost", standby.Spec.Name, "--sure")
	if _, err := f.WaitLead(10 * time.Second); err != nil {
		t.Errorf("lead after both were marked lost: got %v, want one", err)
	}
}
