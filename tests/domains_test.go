package bltests_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"bergamotlead/tools/blfleet"
)

// TestFailureDomainOutAndBack takes a failure domain out of service under load.
// Its upstreams must receive no new requests after 3 s, and receive requests
// again after the domain is back.
func TestFailureDomainOutAndBack(t *testing.T) {
	const drainTime = 3 * time.Second
	hosts := blfleet.PotHosts(6, true)
	for i := range hosts {
		hosts[i].Upstreams = append(hosts[i].Upstreams, blfleet.WishlistServer(i+1))
	}
	f := deploy(t, hosts, nil)
	f.roles()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { f.loadWishlist(i, stop) })
	}
	traffic := f.startTraffic(f.Hosts...)
	time.Sleep(time.Second)
	f.mustCtl(f.Hosts[0], "domain", "out", "sn_west_c", "--reason", "The hall in Thies is flooded")
	time.Sleep(drainTime)
	before := f.domainRuns("sn_west_c")
	time.Sleep(1500 * time.Millisecond)
	if got := f.domainRuns("sn_west_c") - before; got != 0 {
		t.Errorf("requests executed in the failure domain later than %v after it was taken out: got %d, want 0", drainTime, got)
	}
	f.mustCtl(f.Hosts[0], "domain", "back", "sn_west_c", "--reason", "The hall in Thies is dry again")
	time.Sleep(drainTime)
	if got := f.domainRuns("sn_west_c") - before; got == 0 {
		t.Error("requests executed in the failure domain after its return: got 0, want at least 1")
	}
	close(stop)
	wg.Wait()
	traffic.Stop()
	f.checkOwnership(traffic.Tally)
	if lost := traffic.Outcomes()["unknown"] + traffic.Outcomes()["broken"]; lost != 0 {
		t.Errorf("requests with an unknown outcome or a broken connection: got %d of %v, want 0", lost, traffic.Outcomes())
	}
}

func (f *fleet) loadWishlist(number int, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		_, _ = f.Call(f.Hosts[number%len(f.Hosts)], http.MethodGet, "/wishlist/x/page", f.ClientKeys[account], "")
	}
}

func (f *fleet) domainRuns(domain string) int {
	f.t.Helper()
	total := 0
	for _, host := range f.Hosts {
		for _, upstream := range host.Upstreams {
			if host.Spec.Domain == domain {
				total += f.runs(upstream)
			}
		}
	}
	return total
}
