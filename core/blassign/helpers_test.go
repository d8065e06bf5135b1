package blassign_test

import (
	"context"
	"time"
)

// shortContext returns a context that expires after 1 ms, for replies that are
// already available.
func shortContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	_ = cancel
	return ctx
}
