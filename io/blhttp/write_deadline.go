package blhttp

import (
	"net/http"
	"time"
)

// writeGrace is how long after the deadline of a request its response may still be
// written, so that a refusal at the deadline reaches the caller.
const writeGrace = 500 * time.Millisecond

// writeLimit lets the writes of a response fail after a time. The caller may not read
// it, and a request holds its slot until its response has been written.
type writeLimit struct {
	controller *http.ResponseController
}

// limitWrites returns the limit of a response whose request may take the given time.
func limitWrites(w http.ResponseWriter, timeout time.Duration) writeLimit {
	l := writeLimit{controller: http.NewResponseController(w)}
	l.set(timeout)
	return l
}

// set replaces the time that the request may take from now on. A writer without deadlines
// has no limit.
func (l writeLimit) set(timeout time.Duration) {
	_ = l.controller.SetWriteDeadline(time.Now().Add(timeout + writeGrace))
}

// end ends the limit.
func (l writeLimit) end() { _ = l.controller.SetWriteDeadline(time.Time{}) }
