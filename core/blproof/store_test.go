package blproof_test

import (
	"fmt"
	"maps"
	"time"

	"bergamotlead/core/blassign"
	"bergamotlead/core/bllead"
	"bergamotlead/core/blplatform"
	"bergamotlead/core/blvalue"
)

// storedData is what the store keeps in a copy: the record, the chunks, and the
// number that it assigned last. Revisions in it are numbers without an era.
type storedData struct {
	takenAt time.Duration
	record  bllead.Stored
	// unreadable is set where another writer wrote the record.
	unreadable bool
	chunks     map[int]blassign.Chunk
	number     uint64
	// The lease, whose time begins anew when it is restored.
	leaseClaim     bllead.Claim
	leaseID        blplatform.LeaseID
	leaseNumber    uint64
	leaseExpiresAt time.Duration
}

// clone returns a copy taken at now.
func (d storedData) clone(now time.Duration) storedData {
	d.takenAt = now
	d.chunks = maps.Clone(d.chunks)
	return d
}

// memoryStore is an in-memory model of the platform's store. Its lease expires by
// simulated time. It can be restored from an older copy: the lease is then gone, or that
// of the copy has its whole time to live again, the era is the next one, and the numbers
// after the copy are assigned again. Writes are compared by number alone, so that a late
// write of an earlier era may take effect.
type memoryStore struct {
	data   storedData
	era    blplatform.Era
	copies []storedData
}

func newMemoryStore() *memoryStore {
	return &memoryStore{data: storedData{chunks: map[int]blassign.Chunk{}}}
}

// takeCopy keeps a copy of the data.
func (s *memoryStore) takeCopy(now time.Duration) {
	s.copies = append(s.copies, s.data.clone(now))
}

// restore replaces the data by the latest copy that was taken at or before at, or by
// the first one that holds a record.
func (s *memoryStore) restore(at time.Duration, keepsLease bool, now time.Duration) {
	found := false
	for _, data := range s.copies {
		if data.record.Revision != 0 && (!found || data.takenAt <= at) {
			s.data, found = data.clone(data.takenAt), true
		}
	}
	s.era++
	if keepsLease && s.data.leaseExpiresAt > s.data.takenAt {
		s.data.leaseExpiresAt = now + leaseTTL
		return
	}
	s.data.leaseExpiresAt = 0
}

// record returns the lead record as the store reports it.
func (s *memoryStore) record() bllead.Stored {
	stored := s.data.record
	stored.Revision = blplatform.NewRevision(s.era, stored.Revision)
	if s.data.unreadable {
		stored.Record = bllead.Record{Term: bllead.TermBound(stored.Revision)}
	}
	return stored
}

// chunk returns a chunk as the store reports it.
func (s *memoryStore) chunk(index int) blassign.Chunk {
	chunk := s.data.chunks[index]
	chunk.Revision = blplatform.NewRevision(s.era, chunk.Revision)
	return chunk
}

// currentHolder returns the holder of the lease, or an empty incarnation if the
// lease is not held or has expired.
func (s *memoryStore) currentHolder(now time.Duration) blvalue.Incarnation {
	if now >= s.data.leaseExpiresAt {
		return ""
	}
	return s.data.leaseClaim.Holder()
}

// leaseRevision returns the revision of the lease's key, or zero if the key does
// not exist.
func (s *memoryStore) leaseRevision(now time.Duration) uint64 {
	if s.currentHolder(now) == "" {
		return 0
	}
	return blplatform.NewRevision(s.era, s.data.leaseNumber)
}

// acquireLease acquires the lease if its key is still at revision.
func (s *memoryStore) acquireLease(
	claim bllead.Claim, revision uint64, ttl, now time.Duration,
) (blplatform.LeaseID, bool) {
	if blplatform.RevisionNumber(s.leaseRevision(now)) != blplatform.RevisionNumber(revision) {
		return "", false
	}
	s.data.number++
	s.data.leaseNumber = s.data.number
	s.data.leaseID = blplatform.LeaseID(fmt.Sprintf("%d.%d", s.era, s.data.leaseNumber))
	s.data.leaseClaim = claim
	s.data.leaseExpiresAt = now + ttl
	return s.data.leaseID, true
}

func (s *memoryStore) renewLease(id blplatform.LeaseID, ttl, now time.Duration) bool {
	if s.currentHolder(now) == "" || id != s.data.leaseID {
		return false
	}
	s.data.leaseExpiresAt = now + ttl
	return true
}

func (s *memoryStore) endLease(id blplatform.LeaseID) {
	if id == s.data.leaseID {
		s.data.leaseExpiresAt = 0
	}
}

// writeRecord stores record if the stored number is that of base. It reports whether
// the write took effect, either now or by an earlier attempt with the same write ID.
func (s *memoryStore) writeRecord(base uint64, record bllead.Record) bool {
	if s.data.record.Revision != blplatform.RevisionNumber(base) {
		return s.data.record.Record.WriteID == record.WriteID
	}
	s.data.number++
	s.data.record = bllead.Stored{Record: record, Revision: s.data.number}
	s.data.unreadable = false
	return true
}

// spoilRecord makes the record one that can't be decoded, as another writer might.
func (s *memoryStore) spoilRecord() {
	s.data.number++
	s.data.record = bllead.Stored{Revision: s.data.number}
	s.data.unreadable = true
}

// removeRecord removes the record, as another writer might.
func (s *memoryStore) removeRecord() {
	s.data.number++
	s.data.record = bllead.Stored{}
	s.data.unreadable = false
}

// writeChunk stores a chunk under the same conditions as writeRecord.
func (s *memoryStore) writeChunk(index int, base uint64, chunk blassign.Chunk) bool {
	if s.data.chunks[index].Revision != blplatform.RevisionNumber(base) {
		return s.data.chunks[index].WriteID == chunk.WriteID
	}
	s.data.number++
	chunk.Revision = s.data.number
	s.data.chunks[index] = chunk
	return true
}
