package blmemory

import "bergamotlead/core/bltimer"

// holder is the immutable state of one connection.
type holder struct {
	id       HolderID
	listener Listener
	address  string
	phase    Phase
	shares   [KindCount]int64
	// startSent is set when the buffered start has been sent once.
	startSent bool
	// arrivedAt is when something last arrived on the connection.
	arrivedAt bltimer.Instant
}

// bytes returns all that the connection holds.
func (h holder) bytes() int64 {
	total := int64(0)
	for _, bytes := range h.shares {
		total += bytes
	}
	return total
}

// requestBytes returns what it holds beyond its own share.
func (h holder) requestBytes() int64 { return h.bytes() - h.shares[KindConnection] }

func (h holder) withShare(kind Kind, bytes int64) holder {
	h.shares[kind] = bytes
	return h
}

func (h holder) withActivity(phase Phase, arrivedAt bltimer.Instant) holder {
	h.phase, h.arrivedAt = phase, arrivedAt
	return h
}

func (h holder) withStartSent(sent bool) holder {
	h.startSent = sent
	return h
}

// withoutRequest returns the holder after the end of a request.
func (h holder) withoutRequest(now bltimer.Instant) holder {
	h.shares = [KindCount]int64{KindConnection: h.shares[KindConnection]}
	h.startSent = false
	return h.withActivity(PhaseIdle, now)
}
