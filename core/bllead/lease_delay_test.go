package bllead_test

import (
	"testing"
	"time"

	"bergamotlead/core/bllead"
	"bergamotlead/core/bltimer"
)

// TestLeadBetweenReadAndLeaseIsForgotten guards against a second owner: a process took the
// lead and gave it back between a new lead's read of the store and its lease. The new lead
// counted the time to live of earlier grants from the read.
func TestLeadBetweenReadAndLeaseIsForgotten(t *testing.T) {
	const delay = 400 * time.Millisecond
	p := newProcess(t)
	sentAt := p.instant()
	p.send(bllead.RecordRead{SentAt: sentAt, Stored: record(3, "x", "a")})
	if _, ok := effect[bllead.AcquireLease](p); !ok {
		t.Fatalf("effects: got %v, want AcquireLease", p.effects)
	}
	p.now += delay
	p.send(bllead.LeaseAcquired{SentAt: sentAt, Claim: p.claim, Lease: "lease_1", Stored: record(4, "y", "a")})
	p.confirmWrite()
	want := bltimer.Instant(p.now).Add(ttl + margin)
	if got := p.state.Authority(p.instant()).SettledAt(ttl + margin); got.Before(want) {
		t.Errorf("settled at: got %v, want %v or later", time.Duration(got), time.Duration(want))
	}
}
