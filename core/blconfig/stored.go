package blconfig

import (
	"slices"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// restoreHold is how long a failure domain stays out after a restore of the store that
// may have lost the evacuation. Operators write again what was lost, soon after.
const restoreHold = 5 * time.Second

// Stored is what operators have stored, as read at a revision of the store.
type Stored struct {
	Revision uint64
	// Version and Text are the configuration. Text is empty if there is none.
	Version uint64
	Text    string
	// Out lists the names of the failure domains that must get no work, sorted.
	Out []string
	// Orders holds the roll-out orders, sorted by service.
	Orders []StoredOrder
	// Held is set where Out or Orders hold what the store may not list.
	Held bool
}

// SameContents reports whether both differ in their revisions and Held at most.
func (s Stored) SameContents(other Stored) bool {
	return s.Version == other.Version && s.Text == other.Text && slices.Equal(s.Out, other.Out) && slices.Equal(s.Orders, other.Orders)
}

// Latest holds the latest that a node has learned of what operators stored, from the
// store or from other nodes. A store that was restored from an older copy of its data
// takes back nothing of it until operators had time to write again what was lost.
type Latest struct {
	stored Stored
	// era is the latest era in which the store was read.
	era blplatform.Era
	// held lists the failure domains that stay out until heldUntil although the store
	// doesn't list them.
	held      []string
	heldUntil bltimer.Instant
	// heldOrders holds the roll-out orders that stay in force until ordersHeldUntil
	// although the store doesn't list them.
	heldOrders      []heldOrder
	ordersHeldUntil bltimer.Instant
}

// WithRead returns the state after a read of the store, and what is in force then: the
// later one of the two versions of the configuration, and the failure domains and
// roll-out orders that are in the store or held.
func (l Latest) WithRead(read Stored, now bltimer.Instant) (Latest, Stored) {
	l = l.withEra(read, now)
	if blplatform.RevisionEra(read.Revision) == l.era {
		// What the store lists again is no longer held: it says when that ends.
		l.held = without(l.held, read.Out)
		l = l.withListedOrders(read.Orders)
	}
	l = l.withoutExpired(now)
	merged := l.withLaterVersion(read)
	merged.Out, merged.Orders, merged.Held = union(read.Out, l.held), l.ordersInForce(read.Orders), l.holds()
	return l.withStored(merged), merged
}

// WithReceived returns the state after another node has sent what is in force there,
// and what is in force then. The version received may be later although its revision
// is earlier, if that node has not read the restored store yet. A failure domain that
// is out there stays out until the store lists it or restoreHold has passed, since the
// other node may know what the store has lost. The same applies to the roll-out orders
// that the other node holds.
func (l Latest) WithReceived(received Stored, now bltimer.Instant) (Latest, Stored) {
	merged := l.withLaterVersion(received)
	if received.Revision < l.stored.Revision {
		if received.Version > l.stored.Version {
			l = l.withHeld(received.Out, now).withReceivedOrders(received.Orders, now)
		}
		merged.Revision, merged.Out, merged.Held = l.stored.Revision, union(l.stored.Out, l.held), l.holds()
		merged.Orders = l.ordersInForce(l.stored.Orders)
		return l.withStored(merged), merged
	}
	l = l.withEra(received, now).withHeld(received.Out, now).withReceivedOrders(received.Orders, now)
	merged.Out, merged.Orders, merged.Held = union(received.Out, l.held), l.ordersInForce(received.Orders), l.holds()
	return l.withStored(merged), merged
}

// withHeld returns the state that holds out the given failure domains as well, unless
// they are out already.
func (l Latest) withHeld(out []string, now bltimer.Instant) Latest {
	if added := without(out, l.stored.Out); len(added) > 0 {
		l.held, l.heldUntil = union(l.held, added), now.Add(restoreHold)
	}
	return l
}

// withEra returns the state that holds all failure domains that are out and the roll-out
// orders that the store has lost, if the store was restored before the read.
func (l Latest) withEra(read Stored, now bltimer.Instant) Latest {
	era := blplatform.RevisionEra(read.Revision)
	if era <= l.era {
		return l
	}
	if l.stored.Revision != 0 {
		l.held, l.heldUntil = union(l.held, l.stored.Out), now.Add(restoreHold)
		l = l.withLostOrders(read.Orders, now)
	}
	l.era = era
	return l
}

// withLaterVersion returns read with the configuration of the later version.
func (l Latest) withLaterVersion(read Stored) Stored {
	if l.stored.Version > read.Version {
		read.Version, read.Text = l.stored.Version, l.stored.Text
	}
	return read
}

// withStored returns the state with merged in force.
func (l Latest) withStored(merged Stored) Latest {
	switch {
	case merged.Revision >= l.stored.Revision:
		l.stored = merged
	case merged.Version > l.stored.Version:
		// A late read of a later version.
		l.stored.Version, l.stored.Text = merged.Version, merged.Text
	}
	return l
}

// union returns the names in either list, sorted, or nil if there are none.
func union(a, b []string) []string {
	if len(a)+len(b) == 0 {
		return nil
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// without returns the names in a that aren't in b.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(name string) bool { return slices.Contains(b, name) })
}
