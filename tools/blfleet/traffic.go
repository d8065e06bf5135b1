package blfleet

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"bergamotlead/core/blvalue"
)

// The outcomes that traffic counts beside those of refusals.
const (
	// OutcomeAnswered counts requests that an upstream answered.
	OutcomeAnswered = "answered"
	// OutcomeBroken counts requests whose connection broke.
	OutcomeBroken = "broken"
)

const (
	trafficCallers = 16
	trafficInterval   = 15 * time.Millisecond
	// keysPerCaller is the number of keys that each caller uses by turns.
	keysPerCaller = 6
)

// KeyOutcomes is what callers were told of one key.
type KeyOutcomes struct {
	// Answered counts the requests that an upstream answered, and Unknown those
	// that may have run.
	Answered int
	Unknown  int
}

// Tally counts what callers were told.
type Tally struct {
	mu       sync.Mutex
	byKey     map[string]KeyOutcomes
	outcomes map[string]int
}

// NewTally returns a tally of nothing.
func NewTally() *Tally {
	return &Tally{byKey: map[string]KeyOutcomes{}, outcomes: map[string]int{}}
}

// Record counts the answer to a request for a key and returns its outcome.
func (ta *Tally) Record(key string, answer Answer, err error) string {
	outcome := answer.Outcome
	switch {
	case err != nil:
		outcome = OutcomeBroken
	case answer.Status == http.StatusOK:
		outcome = OutcomeAnswered
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	told := ta.byKey[key]
	switch outcome {
	case OutcomeAnswered:
		told.Answered++
	case string(blvalue.OutcomeNotRun):
	default:
		told.Unknown++
	}
	ta.byKey[key] = told
	ta.outcomes[outcome]++
	return outcome
}

// Outcomes returns the number of requests by outcome.
func (ta *Tally) Outcomes() map[string]int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return maps.Clone(ta.outcomes)
}

// ByKey returns what callers were told, by key.
func (ta *Tally) ByKey() map[string]KeyOutcomes {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return maps.Clone(ta.byKey)
}

// Traffic is a number of callers that pay into pots, each by turns through all
// of its hosts.
type Traffic struct {
	*Tally

	fleet   *Fleet
	hosts   []*Host
	account string
	observe func(outcome string, latency time.Duration)
	stop    chan struct{}
	callers sync.WaitGroup
}

// StartTraffic sends requests of an account to hosts until it is ended.
// Observe hears of each request; it may be nil.
func (f *Fleet) StartTraffic(account string, observe func(string, time.Duration), hosts ...*Host) *Traffic {
	tr := &Traffic{
		Tally: NewTally(), fleet: f, hosts: hosts, account: account, observe: observe, stop: make(chan struct{}),
	}
	for i := range trafficCallers {
		tr.callers.Go(func() { tr.run(i) })
	}
	return tr
}

func (tr *Traffic) run(number int) {
	for i := 0; ; i++ {
		select {
		case <-tr.stop:
			return
		case <-time.After(trafficInterval):
		}
		key := fmt.Sprintf("pot_%d_%d", number, i%keysPerCaller)
		host := tr.hosts[(number+i)%len(tr.hosts)]
		sentAt := time.Now()
		answer, err := tr.fleet.Call(host, http.MethodPost, "/pot/"+key+"/contributions", tr.fleet.Keys[tr.account], "1")
		outcome := tr.Record(key, answer, err)
		if tr.observe != nil {
			tr.observe(outcome, time.Since(sentAt))
		}
	}
}

// Stop stops the traffic and waits for its last answers.
func (tr *Traffic) Stop() {
	close(tr.stop)
	tr.callers.Wait()
}
