package blfleet

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"bergamotlead/core/blvalue"
)

// The outcomes that a tally counts in addition to those of the Bergamotlead-Outcome
// header.
const (
	// OutcomeAnswered counts requests that an upstream answered.
	OutcomeAnswered = "answered"
	// OutcomeBroken counts requests whose connection failed.
	OutcomeBroken = "broken"
)

const (
	trafficCallers  = 16
	trafficInterval = 15 * time.Millisecond
	// keysPerCaller is the number of keys that each caller uses in rotation.
	keysPerCaller = 6
)

// KeyOutcomes counts the outcomes that callers received for one key.
type KeyOutcomes struct {
	// Answered counts the requests that an upstream answered, and Unknown those
	// that may have been executed.
	Answered int
	Unknown  int
}

// Tally counts the outcomes that callers received.
type Tally struct {
	mu       sync.Mutex
	byKey    map[string]KeyOutcomes
	outcomes map[string]int
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{byKey: map[string]KeyOutcomes{}, outcomes: map[string]int{}}
}

// Record counts the result of a request for a key and returns its outcome.
func (ta *Tally) Record(key string, response Response, err error) string {
	outcome := response.Outcome
	switch {
	case err != nil:
		outcome = OutcomeBroken
	case response.Status == http.StatusOK:
		outcome = OutcomeAnswered
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	outcomes := ta.byKey[key]
	switch outcome {
	case OutcomeAnswered:
		outcomes.Answered++
	case string(blvalue.OutcomeNotRun):
	default:
		outcomes.Unknown++
	}
	ta.byKey[key] = outcomes
	ta.outcomes[outcome]++
	return outcome
}

// Outcomes returns the number of requests by outcome.
func (ta *Tally) Outcomes() map[string]int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return maps.Clone(ta.outcomes)
}

// ByKey returns the outcomes that callers received, by key.
func (ta *Tally) ByKey() map[string]KeyOutcomes {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return maps.Clone(ta.byKey)
}

// Traffic is a set of concurrent callers that send contributions to pots. Each
// uses all hosts in rotation.
type Traffic struct {
	*Tally

	fleet   *Fleet
	hosts   []*Host
	account string
	observe func(outcome string, latency time.Duration)
	stop    chan struct{}
	callers sync.WaitGroup
}

// StartTraffic sends requests of an account to the hosts until Stop. It calls
// observe after each request, unless observe is nil.
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
		response, err := tr.fleet.Call(host, http.MethodPost, "/pot/"+key+"/contributions", tr.fleet.ClientKeys[tr.account], "1")
		outcome := tr.Record(key, response, err)
		if tr.observe != nil {
			tr.observe(outcome, time.Since(sentAt))
		}
	}
}

// Stop stops the callers and waits for their pending requests.
func (tr *Traffic) Stop() {
	close(tr.stop)
	tr.callers.Wait()
}
