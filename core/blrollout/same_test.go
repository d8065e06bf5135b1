package blrollout_test

import (
	"testing"
	"time"

	"bergamotlead/core/blrollout"
)

// TestEndedOrderIsKnownByItsRevision guards against a second end of an order whose record
// gives its duration less precisely than the order does.
func TestEndedOrderIsKnownByItsRevision(t *testing.T) {
	d := newDuty(order("pot", 40))
	ended := blrollout.Record{Revision: 9, Order: order("pot", 40), Phase: blrollout.PhaseRolledBack, Term: term - 1}
	ended.Order.Duration -= time.Microsecond
	d.load(ended)
	for range 30 {
		if write, ok := d.write(); ok {
			t.Fatalf("write: got %+v, want none", write)
		}
		d.tick()
	}
}
