package blnode

import (
	"sync"

	"github.com/hashicorp/go-hclog"

	"bergamotlead/core/bltimer"
)

// outageLog logs the failures of one dependency and its recovery. Of consecutive
// failures it logs the first, the second, the fourth and so on, so that the log
// stays short and still shows when the cause changes.
type outageLog struct {
	logger hclog.Logger
	clock  bltimer.Clock
	// lost and regained are the messages that are logged.
	lost     string
	regained string

	mu       sync.Mutex
	failures int
	failedAt bltimer.Instant
}

func newOutageLog(logger hclog.Logger, clock bltimer.Clock, lost, regained string) *outageLog {
	return &outageLog{logger: logger, clock: clock, lost: lost, regained: regained}
}

// record counts the outcome of one call. args are further fields of the line.
func (o *outageLog) record(err error, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		if o.failures > 0 {
			o.logger.Info(o.regained, append(args, "failures", o.failures, "outage_ms", o.clock.Now().Sub(o.failedAt).Milliseconds())...)
		}
		o.failures = 0
		return
	}
	if o.failures == 0 {
		o.failedAt = o.clock.Now()
	}
	o.failures++
	if isPowerOfTwo(o.failures) {
		o.logger.Warn(o.lost, append(args, "failures", o.failures, "error", err)...)
	}
}

func isPowerOfTwo(number int) bool {
	return number&(number-1) == 0
}
