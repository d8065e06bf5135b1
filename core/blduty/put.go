package blduty

import (
	"errors"
	"time"

	"bergamotlead/core/blring"
)

// fullPause is how long a message waits before it tries a full ring again.
const fullPause = time.Millisecond

// PutWaiting puts a message that must not be lost, waiting for room, and gives
// up only when the ring is closed. A duty may use it only towards duties that
// never wait for its own ring.
func PutWaiting[M any](put func(M) error, message M) {
	for {
		err := put(message)
		var full blring.FullError
		if !errors.As(err, &full) {
			return
		}
		time.Sleep(fullPause)
	}
}
