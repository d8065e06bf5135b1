package main

import (
	"maps"
	"time"
)

// maxBackups bounds the backups that the store keeps, one for each change.
const maxBackups = 512

// backup is a copy of the records after a change.
type backup struct {
	at       time.Time
	records  map[string]record
	revision uint64
}

// history holds the latest backups, oldest first.
type history struct {
	backups []backup
}

// With returns the history with another backup, without the oldest one if there are
// too many.
func (h history) With(b backup) history {
	first := max(0, len(h.backups)+1-maxBackups)
	return history{backups: append(h.backups[first:len(h.backups):len(h.backups)], b)}
}

// At returns the latest backup that isn't younger than the given time, or the oldest
// one.
func (h history) At(at time.Time) backup {
	chosen := h.backups[0]
	for _, b := range h.backups[1:] {
		if b.at.After(at) {
			break
		}
		chosen = b
	}
	return chosen
}

// restore is a restore that is in progress. The store is unavailable until its end.
type restore struct {
	from backup
	end  time.Time
}

// backUp adds a backup of the records to the history. The caller must hold the lock.
func (s *state) backUp(now time.Time) {
	s.history = s.history.With(backup{at: now, records: maps.Clone(s.records), revision: s.revision})
}

// beginRestore makes the store unavailable for the given time and then restores the
// backup of the given age. The caller must hold the lock.
func (s *state) beginRestore(now time.Time, age, down time.Duration) {
	s.restore = &restore{from: s.history.At(now.Add(-age)), end: now.Add(down)}
	s.notify()
	s.endRestore(now)
}

// endRestore restores the backup if a restore is due: the records and the revision are
// as they were then, so that revisions are assigned again, and all leases and their
// keys are gone. The caller must hold the lock.
func (s *state) endRestore(now time.Time) {
	if s.restore == nil || now.Before(s.restore.end) {
		return
	}
	s.records, s.revision = maps.Clone(s.restore.from.records), s.restore.from.revision
	maps.DeleteFunc(s.records, func(_ string, r record) bool { return r.lease != "" })
	s.leases = map[string]lease{}
	s.restore = nil
	s.era++
	s.backUp(now)
	s.notify()
}

// currentEra returns how often the store was restored.
func (s *state) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endRestore(time.Now())
	return s.era
}
