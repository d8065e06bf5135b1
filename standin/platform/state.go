// Package main is a stand-in for the platform's key-value store, for tests,
// measurements and the demonstration. It keeps all data in memory.
package main

import (
	"strconv"
	"sync"
	"time"
)

type record struct {
	value    []byte
	revision uint64
	lease    string
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// faults are the injected faults, set through POST /faults.
type faults struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMS delays every call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of next writes whose response is dropped after the
	// write took effect.
	LoseAnswers int `json:"lose_answers"`
	// ExpireLeases expires all leases immediately.
	ExpireLeases bool `json:"lapse_leases"`
	// RestoreSeconds makes the store unavailable for RestoreDownMS and then returns it
	// to its state of that many seconds before the fault.
	RestoreSeconds float64 `json:"restore_seconds"`
	RestoreDownMS  int     `json:"restore_down_ms"`
}

type state struct {
	mu       sync.Mutex
	records  map[string]record
	leases   map[string]lease
	revision uint64
	leaseID  int
	changed  chan struct{}
	faults   faults
	calls    map[string]int
	// era counts the restores.
	era     uint64
	history history
	// restore is the restore in progress, or nil.
	restore *restore
}

func newState() *state {
	s := &state{
		records: map[string]record{},
		leases:  map[string]lease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
	s.backUp(time.Now())
	return s
}

// notify wakes all watches. The caller must hold the lock.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes expired leases and their keys. The caller must hold the
// lock.
func (s *state) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.dropLease(id)
	}
}

func (s *state) dropLease(id string) {
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id {
			delete(s.records, key)
		}
	}
	s.backUp(time.Now())
	s.notify()
}

func (s *state) get(key string) record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	return s.records[key]
}

// view is what a watch sees of a key.
type view struct {
	record   record
	revision uint64
	changed  chan struct{}
	// restoring is set while the store is being restored.
	restoring bool
}

func (s *state) view(key string) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	return view{record: s.records[key], revision: s.revision, changed: s.changed, restoring: s.restore != nil}
}

type swapResult int

const (
	swapDone swapResult = iota
	swapConflict
	swapLeaseNotFound
)

func (s *state) swap(key string, expected uint64, value []byte, leaseID string) (record, swapResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	current := s.records[key]
	if current.revision != expected {
		return current, swapConflict
	}
	if _, ok := s.leases[leaseID]; leaseID != "" && !ok {
		return current, swapLeaseNotFound
	}
	s.revision++
	next := record{value: value, revision: s.revision, lease: leaseID}
	s.records[key] = next
	s.backUp(time.Now())
	s.notify()
	return next, swapDone
}

func (s *state) openLease(ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	id := "lease_" + strconv.Itoa(s.leaseID)
	s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return id
}

func (s *state) renewLease(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
	return true
}

func (s *state) endLease(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.dropLease(id)
	return true
}

// count counts a call and returns the faults that apply to it and the store's era.
func (s *state) count(kind string) (faults, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[kind]++
	s.endRestore(time.Now())
	f := s.faults
	f.Down = f.Down || s.restore != nil
	return f, s.era
}

// loseAnswer reports whether the response to a write is to be dropped. It then
// decrements the number of responses that remain to be dropped.
func (s *state) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *state) setFaults(f faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ExpireLeases {
		for id := range s.leases {
			s.dropLease(id)
		}
		f.ExpireLeases = false
	}
	if f.RestoreSeconds > 0 {
		age := time.Duration(f.RestoreSeconds * float64(time.Second))
		s.beginRestore(time.Now(), age, time.Duration(f.RestoreDownMS)*time.Millisecond)
		f.RestoreSeconds, f.RestoreDownMS = 0, 0
	}
	s.faults = f
}

func (s *state) callCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.calls))
	for kind, count := range s.calls {
		counts[kind] = count
	}
	return counts
}
