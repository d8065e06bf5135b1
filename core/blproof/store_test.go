package blproof_test

import (
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blvalue"
)

// memoryStore is an in-memory model of the platform's store. Its lease expires by
// simulated time.
type memoryStore struct {
	leaseHolder    blvalue.Incarnation
	leaseClaim     bllead.Claim
	leaseID        int
	leaseExpiresAt time.Duration
	record         bllead.Stored
	chunks         map[int]blassign.Chunk
	revision       uint64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{chunks: map[int]blassign.Chunk{}}
}

// currentHolder returns the holder of the lease, or an empty incarnation if the
// lease is not held or has expired.
func (s *memoryStore) currentHolder(now time.Duration) blvalue.Incarnation {
	if now >= s.leaseExpiresAt {
		s.leaseHolder = ""
	}
	return s.leaseHolder
}

// leaseRevision returns the revision of the lease's key, or zero if the key does
// not exist.
func (s *memoryStore) leaseRevision(now time.Duration) uint64 {
	if s.currentHolder(now) == "" {
		return 0
	}
	return uint64(s.leaseID)
}

// acquireLease acquires the lease if its key is still at revision.
func (s *memoryStore) acquireLease(
	claim bllead.Claim, revision uint64, ttl, now time.Duration,
) (int, bool) {
	if s.leaseRevision(now) != revision {
		return 0, false
	}
	s.leaseID++
	s.leaseHolder, s.leaseClaim = claim.Holder(), claim
	s.leaseExpiresAt = now + ttl
	return s.leaseID, true
}

func (s *memoryStore) renewLease(id int, ttl, now time.Duration) bool {
	if s.currentHolder(now) == "" || id != s.leaseID {
		return false
	}
	s.leaseExpiresAt = now + ttl
	return true
}

func (s *memoryStore) endLease(id int) {
	if id == s.leaseID {
		s.leaseHolder = ""
		s.leaseExpiresAt = 0
	}
}

// writeRecord stores record if the stored revision is base. It reports whether
// the write took effect, either now or by an earlier attempt with the same write
// ID.
func (s *memoryStore) writeRecord(base uint64, record bllead.Record) bool {
	if s.record.Revision != base {
		return s.record.Record.WriteID == record.WriteID
	}
	s.revision++
	s.record = bllead.Stored{Record: record, Revision: s.revision}
	return true
}

// writeChunk stores a chunk under the same conditions as writeRecord.
func (s *memoryStore) writeChunk(index int, base uint64, chunk blassign.Chunk) bool {
	if s.chunks[index].Revision != base {
		return s.chunks[index].WriteID == chunk.WriteID
	}
	s.revision++
	chunk.Revision = s.revision
	s.chunks[index] = chunk
	return true
}
