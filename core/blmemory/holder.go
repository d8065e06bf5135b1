package blmemory

import (
	"time"

	"bergamotlead/core/bltimer"
)

// holder is the immutable state of one connection.
type holder struct {
	id       HolderID
	listener Listener
	address  string
	phase    Phase
	shares   [KindCount]int64
	// startSent is set when the buffered start has been sent once.
	startSent bool
	// arrivedAt is when something last arrived on the connection, beganAt when its request
	// began to arrive, and arrived the bytes since then.
	arrivedAt, beganAt bltimer.Instant
	arrived            int64
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

func (h holder) withPhase(phase Phase, arrivedAt bltimer.Instant) holder {
	h.phase, h.arrivedAt = phase, arrivedAt
	return h
}

func (h holder) withActivity(a Activity) holder {
	h.beganAt, h.arrived = a.BeganAt, a.Bytes
	return h.withPhase(a.Phase, a.ArrivedAt)
}

// activity returns what was last seen of the connection.
func (h holder) activity() Activity {
	return Activity{ID: h.id, Phase: h.phase, ArrivedAt: h.arrivedAt, BeganAt: h.beganAt, Bytes: h.arrived}
}

// silent reports whether nothing has arrived for a time.
func (h holder) silent(length time.Duration, now bltimer.Instant) bool {
	return now.Sub(h.arrivedAt) >= length
}

// began reports whether the request began to arrive at least a time ago.
func (h holder) began(length time.Duration, now bltimer.Instant) bool {
	return now.Sub(h.beganAt) >= length
}

// bytesPerSecond returns the rate at which the request has arrived so far.
func (h holder) bytesPerSecond(now bltimer.Instant) float64 {
	return float64(h.arrived) / max(now.Sub(h.beganAt), time.Millisecond).Seconds()
}

func (h holder) withStartSent(sent bool) holder {
	h.startSent = sent
	return h
}

// withoutRequest returns the holder after the end of a request.
func (h holder) withoutRequest(now bltimer.Instant) holder {
	h.shares = [KindCount]int64{KindConnection: h.shares[KindConnection]}
	h.startSent = false
	return h.withPhase(PhaseIdle, now)
}
