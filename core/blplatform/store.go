// Package blplatform is the platform's key-value store as decisions see it:
// compare-and-swap, leases and watches, and what the outcome of a call means.
package blplatform

import (
	"context"
	"fmt"
	"time"
)

// LeaseID names a lease of the store. The empty lease never lapses.
type LeaseID string

// Entry is the value of one key. Its revision is zero when the key is absent.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Exists reports whether the store holds the key.
func (e Entry) Exists() bool {
	return e.Revision != 0
}

// Store is the platform's key-value store. Every call ends with its context.
type Store interface {
	// Get returns the entry of key. An absent key is an entry of revision zero.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap sets key if its revision is still revision, zero meaning
	// absent. The key lapses together with lease unless lease is empty. It
	// returns ConflictError, UnavailableError or UnknownOutcomeError.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error)
	// NewLease opens a lease that lapses unless it is renewed within ttl.
	NewLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its ttl. It returns LeaseLostError once the
	// lease has lapsed.
	RenewLease(ctx context.Context, id LeaseID) error
	// EndLease ends a lease at once, with the keys that hang on it.
	EndLease(ctx context.Context, id LeaseID) error
	// Watch waits until the revision of key differs from revision and returns
	// its entry. It returns the unchanged entry when nothing happens for a while.
	Watch(ctx context.Context, key string, revision uint64) (Entry, error)
}

// Lister is a store that reads several keys at once.
type Lister interface {
	// List returns the entries whose keys begin with prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
}

// ConflictError reports that a key was not at the expected revision.
type ConflictError struct {
	Current Entry
}

// Error returns the conflict as text.
func (e ConflictError) Error() string {
	return fmt.Sprintf("key %s is at revision %d", e.Current.Key, e.Current.Revision)
}

// UnavailableError reports a call that the store didn't take.
type UnavailableError struct {
	Cause error
}

// Error returns the cause as text.
func (e UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e UnavailableError) Unwrap() error {
	return e.Cause
}

// UnknownOutcomeError reports a write that may have taken effect.
type UnknownOutcomeError struct {
	Cause error
}

// Error returns the cause as text.
func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", e.Cause)
}

// Unwrap returns the cause.
func (e UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// LeaseLostError reports that a lease has lapsed.
type LeaseLostError struct {
	ID LeaseID
}

// Error returns the loss as text.
func (e LeaseLostError) Error() string {
	return fmt.Sprintf("lease %s has lapsed", e.ID)
}
