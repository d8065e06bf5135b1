package bltests_test

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
)

// TestRateAndBurstHoldOverAllHosts offers several times an account's rate
// through all hosts, kills or freezes nodes, and counts the requests that the
// upstreams executed.
func TestRateAndBurstHoldOverAllHosts(t *testing.T) {
	t.Parallel()
	const (
		rate  = 200
		burst = 60
	)
	cases := []struct {
		name   string
		inject func(f *fleet, lead, other *blfleet.Host)
	}{
		{"steady", func(*fleet, *blfleet.Host, *blfleet.Host) {}},
		{"a node killed while it holds lent tokens", func(_ *fleet, _, other *blfleet.Host) { other.Node.Kill() }},
		{"the lead killed", func(_ *fleet, lead, _ *blfleet.Host) { lead.Node.Kill() }},
		{"a node frozen and resumed", func(_ *fleet, _, other *blfleet.Host) { freeze(other.Node, time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := deploy(t, blfleet.PotHosts(4, true), func(d blconfig.Document) blconfig.Document {
				d = withValue(d, "accounts", "bookkeeping", "rate", integer(rate))
				return withValue(d, "accounts", "bookkeeping", "burst", integer(burst))
			})
			lead, _, other := f.roles()
			stop := make(chan struct{})
			var wg sync.WaitGroup
			for i := range 16 {
				wg.Go(func() { f.loadAccount(i, "bookkeeping", stop) })
			}
			time.Sleep(1500 * time.Millisecond)
			c.inject(f, lead, other)
			time.Sleep(2500 * time.Millisecond)
			close(stop)
			wg.Wait()
			f.checkRate("bookkeeping", rate, burst)
		})
	}
}

// loadAccount sends requests of one account, 5 ms after each response, until stop
// is closed.
func (f *fleet) loadAccount(number int, name string, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		host := f.Hosts[(number+i)%len(f.Hosts)]
		_, _ = f.Call(host, http.MethodPost, fmt.Sprintf("/pot/press_%d/contributions", (number+i)%64), f.ClientKeys[name], "1")
	}
}

// maxLogDelay bounds the time between the admission of a request and its entry in
// the upstream's work log: the wait for a slot and the service time.
const maxLogDelay = 150 * time.Millisecond

// checkRate checks every time window of the upstreams' work logs for more
// requests of the account than its rate and burst allow.
func (f *fleet) checkRate(name string, rate, burst float64) {
	f.t.Helper()
	var times []int64
	for _, host := range f.Hosts {
		for _, upstream := range host.Upstreams {
			log, err := f.WorkLog(upstream)
			if err != nil {
				f.t.Fatalf("read log: %v", err)
			}
			for _, work := range log {
				if work.Account == name {
					times = append(times, work.AtNS)
				}
			}
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	highest := 0.0
	for i := range times {
		for j := i; j < len(times); j++ {
			window := time.Duration(times[j]-times[i]) + maxLogDelay
			allowed := burst + rate*window.Seconds()
			highest = max(highest, float64(j-i+1)/allowed)
		}
	}
	if highest > 1 {
		f.t.Errorf("requests of %s: got %.2f times what its rate and burst allow, want at most 1", name, highest)
	}
	if len(times) < int(rate) {
		f.t.Errorf("requests of %s: got %d, want at least %v", name, len(times), rate)
	}
	f.t.Logf("%d requests executed, the fullest window had %.2f of what is allowed", len(times), highest)
}

// TestDelegatesServeOrdinaryRequests offers an account's ordinary requests through more
// hosts than its burst has tokens for, so that its delegates spend the tokens for all
// of them, and stops one of the nodes in the middle.
func TestDelegatesServeOrdinaryRequests(t *testing.T) {
	t.Parallel()
	const (
		hosts    = 9
		rate     = 40
		burst    = 20
		requests = 120
		interval = 40 * time.Millisecond
		// mostRefused allows for the requests that wait for the stopped node.
		mostRefused = 12
	)
	f := deploy(t, blfleet.PotHosts(hosts, true), func(d blconfig.Document) blconfig.Document {
		d = withValue(d, "accounts", "bookkeeping", "rate", integer(rate))
		return withValue(d, "accounts", "bookkeeping", "burst", integer(burst))
	})
	_, _, other := f.roles()
	time.Sleep(time.Second)
	refused := 0
	for i := range requests {
		if i == requests/2 {
			other.Node.Kill()
		}
		host := f.Hosts[i%hosts]
		if host == other && i >= requests/2 {
			continue
		}
		response, err := f.Call(host, http.MethodPost, fmt.Sprintf("/pot/press_%d/contributions", i%64), f.ClientKeys["bookkeeping"], "1")
		if err != nil {
			t.Fatalf("call: %v", err)
		}
		if response.Status == http.StatusTooManyRequests {
			refused++
		}
		time.Sleep(interval)
	}
	if refused > mostRefused {
		t.Errorf("requests refused as over the rate: got %d of %d, want at most %d", refused, requests, mostRefused)
	}
	t.Logf("%d of %d requests refused as over the rate", refused, requests)
	f.checkRate("bookkeeping", rate, burst)
}
