package blduty

import (
	"errors"
	"time"

	"bergamotlead/core/blring"
)

// fullRetryInterval is the delay between attempts to put a message on a full
// ring.
const fullRetryInterval = time.Millisecond

// PutBlocking delivers a message that must not be lost. It retries while the
// ring is full and drops the message only when the ring is closed. To prevent
// deadlock, a duty may use it only towards duties that never wait for its own
// ring.
func PutBlocking[M any](put func(M) error, message M) {
	for {
		err := put(message)
		var full blring.FullError
		if !errors.As(err, &full) {
			return
		}
		time.Sleep(fullRetryInterval)
	}
}
