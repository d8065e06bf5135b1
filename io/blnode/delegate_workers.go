package blnode

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotlead/core/bladmit"
	"bergamotlead/core/blduty"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/blgrpc"
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

// delegateAsker asks delegates for tokens.
type delegateAsker struct {
	client *blgrpc.Client
	domain blvalue.DomainName
	put    func(bladmit.Message) error
	outage *outageLog
}

// askMargin is how much longer a node waits for the answer of a delegate than the
// delegate may wait for the lead.
const askMargin = 100 * time.Millisecond

func (d delegateAsker) perform(ask bladmit.AskDelegate) {
	ctx, cancel := context.WithTimeout(context.Background(), ask.Wait+askMargin)
	defer cancel()
	answer, err := d.client.Spend(ctx, ask, d.domain)
	d.outage.record(err, "delegate", string(ask.Delegate.Name))
	blduty.PutBlocking[bladmit.Message](d.put, bladmit.DelegateAnswered{
		Account: ask.Account, Delegate: ask.Delegate, Answer: answer, Failed: err != nil || answer.Unavailable,
	})
}
