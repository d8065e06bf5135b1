package blproof_test

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blvalue"
)

// memoryStore is the platform's store as the model sees it. Its lease runs by
// the world's time.
type memoryStore struct {
	leaseHolder blvalue.Incarnation
	leaseClaim  bllead.Claim
	leaseID     int
	leaseUntil  time.Duration
	record      bllead.Stored
	chunks      map[int]blassign.Chunk
	revision    uint64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{chunks: map[int]blassign.Chunk{}}
}

func (s *memoryStore) holder(now time.Duration) blvalue.Incarnation {
	if now >= s.leaseUntil {
		s.leaseHolder = ""
	}
	return s.leaseHolder
}

// leaseRevision is the revision of the lease's key, or zero when there is none.
func (s *memoryStore) leaseRevision(now time.Duration) uint64 {
	if s.holder(now) == "" {
		return 0
	}
	return uint64(s.leaseID)
}

// acquire takes the lease if its key is still at revision.
func (s *memoryStore) acquire(
	claim bllead.Claim, revision uint64, ttl, now time.Duration,
) (int, bool) {
	if s.leaseRevision(now) != revision {
		return 0, false
	}
	s.leaseID++
	s.leaseHolder, s.leaseClaim = claim.Holder(), claim
	s.leaseUntil = now + ttl
	return s.leaseID, true
}

func (s *memoryStore) renew(id int, ttl, now time.Duration) bool {
	if s.holder(now) == "" || id != s.leaseID {
		return false
	}
	s.leaseUntil = now + ttl
	return true
}

func (s *memoryStore) end(id int) {
	if id == s.leaseID {
		s.leaseHolder = ""
		s.leaseUntil = 0
	}
}

// writeRecord reports whether the write took effect, now or before.
func (s *memoryStore) writeRecord(base uint64, record bllead.Record) bool {
	if s.record.Revision != base {
		return s.record.Record.WriteID == record.WriteID
	}
	s.revision++
	s.record = bllead.Stored{Record: record, Revision: s.revision}
	return true
}

func (s *memoryStore) writeChunk(index int, base uint64, chunk blassign.Chunk) bool {
	if s.chunks[index].Revision != base {
		return s.chunks[index].WriteID == chunk.WriteID
	}
	s.revision++
	chunk.Revision = s.revision
	s.chunks[index] = chunk
	return true
}
