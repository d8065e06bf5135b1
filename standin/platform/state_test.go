package main

import (
	"fmt"
	"testing"
	"time"
)

// mustSwap writes a key and fails the test unless the store takes the write.
func mustSwap(t *testing.T, s *state, key string, expected uint64, value, lease string) uint64 {
	t.Helper()
	written, result := s.swap(key, expected, []byte(value), lease)
	if result != swapDone {
		t.Fatalf("write of %s: got result %d, want %d", key, result, swapDone)
	}
	return written.revision
}

// restoreBefore restores the store to its state of the given age, without a time of
// unavailability.
func restoreBefore(s *state, age time.Duration) {
	s.setFaults(faults{RestoreSeconds: age.Seconds()})
}

const (
	// writeGap separates writes, and halfGap lies between them.
	writeGap = 40 * time.Millisecond
	halfGap  = writeGap / 2
)

func TestRestoreReturnsRecordsAndRevision(t *testing.T) {
	s := newState()
	first := mustSwap(t, s, "a", 0, "old", "")
	mustSwap(t, s, "kept", 0, "kept", "")
	time.Sleep(writeGap)
	second := mustSwap(t, s, "a", first, "new", "")
	mustSwap(t, s, "later", 0, "later", "")
	restoreBefore(s, halfGap)
	if got := s.get("a"); string(got.value) != "old" || got.revision != first {
		t.Errorf("a: got %s at %d, want old at %d", got.value, got.revision, first)
	}
	if got := s.get("later"); got.revision != 0 {
		t.Errorf("later: got revision %d, want none", got.revision)
	}
	if got := mustSwap(t, s, "a", first, "other", ""); got != second {
		t.Errorf("revision after the restore: got %d, want %d again", got, second)
	}
	if got := s.currentEra(); got != 1 {
		t.Errorf("era: got %d, want 1", got)
	}
}

func TestRestoreEndsLeases(t *testing.T) {
	s := newState()
	before := s.openLease(time.Hour)
	mustSwap(t, s, "leased", 0, "a", before)
	time.Sleep(writeGap)
	after := s.openLease(time.Hour)
	restoreBefore(s, halfGap)
	for _, id := range []string{before, after} {
		if s.renewLease(id) {
			t.Errorf("lease %s after the restore: got renewed, want gone", id)
		}
	}
	if got := s.get("leased"); got.revision != 0 {
		t.Errorf("key of a lease: got revision %d, want none", got.revision)
	}
}

func TestRestoreOfRemovedKey(t *testing.T) {
	s := newState()
	lease := s.openLease(time.Hour)
	mustSwap(t, s, "leased", 0, "a", lease)
	mustSwap(t, s, "kept", 0, "a", "")
	time.Sleep(writeGap)
	s.endLease(lease)
	time.Sleep(writeGap)
	mustSwap(t, s, "kept", 2, "b", "")
	restoreBefore(s, writeGap+halfGap)
	if got := s.get("kept"); string(got.value) != "a" {
		t.Errorf("kept: got %s, want a", got.value)
	}
}

func TestRestoreTakesTime(t *testing.T) {
	const down = 60 * time.Millisecond
	s := newState()
	s.setFaults(faults{RestoreSeconds: 1, RestoreDownMS: int(down.Milliseconds())})
	s.setFaults(faults{})
	if f, era := s.count("get"); !f.Down || era != 0 {
		t.Errorf("during the restore: got down %t in era %d, want true in 0", f.Down, era)
	}
	time.Sleep(down)
	if f, era := s.count("get"); f.Down || era != 1 {
		t.Errorf("after the restore: got down %t in era %d, want false in 1", f.Down, era)
	}
}

func TestEraRisesWithEachRestore(t *testing.T) {
	s := newState()
	for want := range uint64(3) {
		if got := s.currentEra(); got != want {
			t.Errorf("era: got %d, want %d", got, want)
		}
		restoreBefore(s, time.Second)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h history
	start := time.Now()
	for i := range maxBackups + 3 {
		h = h.With(backup{at: start.Add(time.Duration(i) * time.Second), revision: uint64(i)})
	}
	if got := len(h.backups); got != maxBackups {
		t.Errorf("backups: got %d, want %d", got, maxBackups)
	}
	cases := []struct {
		at   time.Duration
		want uint64
	}{{0, 3}, {10 * time.Second, 10}, {10*time.Second + 1, 10}, {time.Hour, maxBackups + 2}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.at), func(t *testing.T) {
			if got := h.At(start.Add(c.at)).revision; got != c.want {
				t.Errorf("revision of the backup: got %d, want %d", got, c.want)
			}
		})
	}
}
