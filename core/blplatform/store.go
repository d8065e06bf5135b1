// Package blplatform defines the interface to the platform's key-value store:
// compare-and-swap, leases, watches, and the meaning of the outcomes of calls.
package blplatform

import (
	"context"
	"fmt"
	"time"
)

// LeaseID identifies a lease of the store. A key with the empty ID has no lease and
// never expires.
type LeaseID string

// Entry is a key with its value and revision. The revision is zero when the key is
// absent.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Exists reports whether the store holds the key.
func (e Entry) Exists() bool {
	return e.Revision != 0
}

// Store is the platform's key-value store. Every call returns when its context is
// done.
type Store interface {
	// Get returns the entry of key, which has revision zero if the key is absent.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap sets key if its current revision equals revision, where zero
	// means that the key is absent. Unless lease is empty, the key is removed when
	// the lease ends. The error is a ConflictError, UnavailableError or
	// UnknownOutcomeError.
	//
	// A revision of an earlier era than the latest one known is a conflict, whatever
	// its number. If the entry returned is of a later era than revision, the value is
	// stored, but in the place of a value that the caller may not have read: the store
	// was restored meanwhile and compared only the number.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (Entry, error)
	// NewLease creates a lease that expires unless it is renewed within ttl.
	NewLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its TTL. It returns a LeaseLostError if the
	// lease has expired.
	RenewLease(ctx context.Context, id LeaseID) error
	// EndLease revokes a lease and removes the keys attached to it.
	EndLease(ctx context.Context, id LeaseID) error
	// Watch waits until the revision of key differs from revision and returns the
	// entry. If there is no change for some time, it returns the unchanged entry. A
	// watch from a revision of an earlier era returns the current entry at once.
	Watch(ctx context.Context, key string, revision uint64) (Entry, error)
}

// Lister is implemented by stores that can read several keys at once.
type Lister interface {
	// List returns the entries whose keys begin with prefix.
	List(ctx context.Context, prefix string) ([]Entry, error)
}

// EraReader is implemented by stores that tell how often they were restored.
type EraReader interface {
	// Era returns the latest era in which the store has answered.
	Era() Era
}

// ConflictError reports that a key was not at the expected revision.
type ConflictError struct {
	Current Entry
}

// Error implements error.
func (e ConflictError) Error() string {
	return fmt.Sprintf("key %s is at revision %d", e.Current.Key, e.Current.Revision)
}

// UnavailableError reports a call that the store didn't accept, so that it has no
// effect.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e UnavailableError) Error() string {
	return fmt.Sprintf("store unavailable: %v", e.Cause)
}

// Unwrap implements the interface used by errors.Is and errors.As.
func (e UnavailableError) Unwrap() error {
	return e.Cause
}

// UnknownOutcomeError reports a write that may have taken effect.
type UnknownOutcomeError struct {
	Cause error
}

// Error implements error.
func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write is unknown: %v", e.Cause)
}

// Unwrap implements the interface used by errors.Is and errors.As.
func (e UnknownOutcomeError) Unwrap() error {
	return e.Cause
}

// LeaseLostError reports that a lease has expired.
type LeaseLostError struct {
	ID LeaseID
}

// Error implements error.
func (e LeaseLostError) Error() string {
	return fmt.Sprintf("lease %s has lapsed", e.ID)
}
