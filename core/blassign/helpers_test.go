package blassign_test

import (
	"context"
	"time"
)

// closed returns a context that ends soon, for answers that are already there.
func closed() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	_ = cancel
	return ctx
}
