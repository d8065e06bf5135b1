package blupstream

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"bergamotlead/core/bldeliver"
)

// errUploadEnded is the cause for which a request ends whose body stalled while others waited
// for its slot.
var errUploadEnded = fmt.Errorf("the body stalled: %w", context.DeadlineExceeded)

const (
	// uploadCheckInterval is how often an upload is looked at, and minUploadBytes how much
	// of its body has to arrive between two looks: that of a slow modem, 128 kbit/s.
	uploadCheckInterval = time.Second
	minUploadBytes      = 16 << 10
)

// upload is the body of a request on its way to an upstream. It reports when the body stalls
// and when it goes on.
type upload struct {
	body io.Reader
	// report reports false if the report was lost.
	report func(stalled bool) bool

	mu    sync.Mutex
	timer *time.Timer
	// reading is set while the body is waited for, and arrived counts what has arrived since
	// the last look.
	reading, ended, stalled bool
	arrived                 int
}

// newUpload returns the upload of a body, which is looked at until stop is called. It returns
// nil for a request without a body.
func newUpload(body io.Reader, report func(stalled bool) bool) *upload {
	if body == nil {
		return nil
	}
	u := &upload{body: body, report: report}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timer = time.AfterFunc(uploadCheckInterval, u.check)
	return u
}

// Read implements io.Reader.
func (u *upload) Read(buffer []byte) (int, error) {
	u.mu.Lock()
	u.reading = true
	u.mu.Unlock()
	count, err := u.body.Read(buffer)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reading = false
	u.arrived += count
	u.ended = u.ended || err != nil
	return count, err //nolint:wrapcheck // io.EOF has to reach the reader as it is
}

// check reports a change. A body that isn't waited for doesn't stall: the upstream doesn't
// take what has arrived.
func (u *upload) check() {
	u.mu.Lock()
	defer u.mu.Unlock()
	stalled := u.reading && !u.ended && u.arrived < minUploadBytes
	u.arrived = 0
	if stalled != u.stalled && u.report(stalled) {
		u.stalled = stalled
	}
	if !u.ended {
		u.timer.Reset(uploadCheckInterval)
	}
}

// stop ends the looks, and reports that the body doesn't stall any more.
func (u *upload) stop() {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	u.timer.Stop()
	if u.stalled {
		u.stalled = !u.report(false)
	}
}

// reportStall tells the delivery duty that the body has stalled or goes on.
func (a *attempt) reportStall(stalled bool) bool {
	return a.deliverer.duties.Deliver(bldeliver.UploadStalled{Ticket: a.ticket, Stalled: stalled}) == nil
}
