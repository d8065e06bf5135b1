package blnode

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blduty"
)

// delegateThreads is the number of threads that ask delegates. A delegate that
// doesn't answer delays only the requests to those on the same thread.
const delegateThreads = 4

// delegateWorkers ask the delegates of accounts for tokens, each delegate on the same
// thread.
type delegateWorkers [delegateThreads]*blduty.Worker[bladmit.AskDelegate]

func newDelegateWorkers(perform func(bladmit.AskDelegate)) delegateWorkers {
	var w delegateWorkers
	for i := range w {
		w[i] = blduty.NewWorker(fmt.Sprintf("delegate %d", i), longQueueCapacity, perform)
	}
	return w
}

// put queues a request on the thread of its delegate.
func (w delegateWorkers) put(ask bladmit.AskDelegate) error {
	return w[xxhash.Sum64String(string(ask.Delegate.Name))%delegateThreads].Put(ask) //nolint:wrapcheck // the worker's error names it
}

func (w delegateWorkers) start() {
	for _, worker := range w {
		worker.Start()
	}
}

func (w delegateWorkers) stop() {
	for _, worker := range w {
		worker.Stop()
	}
}
