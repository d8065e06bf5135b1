package blhttp

import (
	"net/http"
	"time"
)

// writeGrace is how long after the deadline of a request its response may still be
// written, so that a refusal at the deadline reaches the caller.
const writeGrace = 500 * time.Millisecond

// limitWrites lets the writes of a response fail after a time. The caller may not read
// it, and a request holds its slot until its response has been written. The function that
// it returns ends the limit.
func limitWrites(w http.ResponseWriter, limit time.Duration) func() {
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(limit)); err != nil {
		return func() {}
	}
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}
