package blconfig

import (
	"cmp"
	"slices"
	"time"

	"bergamotlead/core/blplatform"
	"bergamotlead/core/bltimer"
)

// restoreOrderHold is how long a roll-out order stays in force after a restore of the
// store that may have lost it. It exceeds the usual duration of an order, 12 to 16 s, so
// that a roll-out ends by its evaluation rather than because its order is missing.
const restoreOrderHold = 30 * time.Second

// StoredOrder is a roll-out order as operators stored it. It need not be readable.
type StoredOrder struct {
	// Service is the service that the key names.
	Service string
	// Revision is the store's revision of the order.
	Revision uint64
	Text     string
}

// heldOrder is an order that stays in force although the store lists another one, or
// none.
type heldOrder struct {
	order StoredOrder
	// listed is the revision of the order that the store lists instead, or zero if it
	// lists none. Another one there was written by operators after the restore.
	listed uint64
}

// findOrder returns the order of a service, or the zero value if there is none.
func findOrder(orders []StoredOrder, service string) StoredOrder {
	for _, order := range orders {
		if order.Service == service {
			return order
		}
	}
	return StoredOrder{}
}

// sortOrders returns the orders sorted by service, or nil if there are none.
func sortOrders(orders []StoredOrder) []StoredOrder {
	if len(orders) == 0 {
		return nil
	}
	return slices.SortedFunc(slices.Values(orders), func(a, b StoredOrder) int { return cmp.Compare(a.Service, b.Service) })
}

// withLostOrders returns the state that holds the orders that were in force before a
// restore and that the restored store doesn't list with the same text.
func (l Latest) withLostOrders(restored []StoredOrder, now bltimer.Instant) Latest {
	l.heldOrders = nil
	for _, order := range l.stored.Orders {
		listed := findOrder(restored, order.Service)
		if listed.Text != order.Text || listed.Revision == 0 {
			l.heldOrders = append(l.heldOrders, heldOrder{order: order, listed: listed.Revision})
		}
	}
	l.ordersHeldUntil = now.Add(restoreOrderHold)
	return l
}

// withReceivedOrders returns the state that holds the orders that the sender of a
// configuration holds: those of an earlier era than that in which this node read the
// store. The other orders of the sender were listed in the store.
func (l Latest) withReceivedOrders(received []StoredOrder, now bltimer.Instant) Latest {
	for _, order := range received {
		known := findOrder(l.stored.Orders, order.Service)
		if known.Revision == order.Revision || !blplatform.FromEarlierEra(order.Revision, l.era) {
			continue
		}
		l.heldOrders, l.ordersHeldUntil = withLaterOrder(l.heldOrders, heldOrder{order: order, listed: known.Revision}), now.Add(restoreOrderHold)
	}
	return l
}

// withLaterOrder returns the held orders with another one, unless a later one of its
// service is held.
func withLaterOrder(held []heldOrder, added heldOrder) []heldOrder {
	held = slices.Clone(held)
	i := slices.IndexFunc(held, func(h heldOrder) bool { return h.order.Service == added.order.Service })
	if i < 0 {
		return append(held, added)
	}
	if held[i].order.Revision < added.order.Revision {
		held[i].order = added.order
	}
	return held
}

// withListedOrders returns the state without the held orders that operators have written
// or removed since the restore.
func (l Latest) withListedOrders(listed []StoredOrder) Latest {
	l.heldOrders = slices.DeleteFunc(slices.Clone(l.heldOrders), func(held heldOrder) bool {
		return findOrder(listed, held.order.Service).Revision != held.listed
	})
	return l
}

// ordersInForce returns the listed orders, with held ones in place of those of the same
// service.
func (l Latest) ordersInForce(listed []StoredOrder) []StoredOrder {
	orders := slices.DeleteFunc(slices.Clone(listed), func(order StoredOrder) bool {
		return slices.ContainsFunc(l.heldOrders, func(held heldOrder) bool { return held.order.Service == order.Service })
	})
	for _, held := range l.heldOrders {
		orders = append(orders, held.order)
	}
	return sortOrders(orders)
}

// holds reports whether anything is in force that the store may not list.
func (l Latest) holds() bool { return len(l.held)+len(l.heldOrders) > 0 }

// withoutExpired returns the state without what was held until now.
func (l Latest) withoutExpired(now bltimer.Instant) Latest {
	if !now.Before(l.heldUntil) {
		l.held = nil
	}
	if !now.Before(l.ordersHeldUntil) {
		l.heldOrders = nil
	}
	return l
}

// HoldLeft returns how long anything is held yet that the store may not list, and whether
// anything is. Once nothing of that time is left, the store is to be read again.
func (l Latest) HoldLeft(now bltimer.Instant) (time.Duration, bool) {
	until := l.heldUntil
	if len(l.held) == 0 || len(l.heldOrders) > 0 && l.ordersHeldUntil.Before(until) {
		until = l.ordersHeldUntil
	}
	return max(until.Sub(now), 0), l.holds()
}
