package main

import (
	"fmt"
	"net/http"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
	"bergamotlead/tools/blload"
)

type loadMeasurement struct {
	Measurement   string         `json:"measurement"`
	Case          string         `json:"case"`
	Offered       float64        `json:"offered_per_second"`
	PerSecond     float64        `json:"answered_per_second"`
	P50MS         float64        `json:"p50_ms"`
	P99MS         float64        `json:"p99_ms"`
	Statuses      map[string]int `json:"statuses"`
	RunsPerAnswer float64        `json:"runs_per_answer,omitempty"`
	NodeMemoryMB  float64        `json:"largest_node_memory_mb"`
}

func newLoadMeasurement(d *deployment, name, caseName string, offered float64, result blload.Result) loadMeasurement {
	m := loadMeasurement{
		Measurement: name, Case: caseName, Offered: offered, PerSecond: result.Rate(),
		P50MS: milliseconds(result.Percentile(50)), P99MS: milliseconds(result.Percentile(99)),
		Statuses: map[string]int{}, NodeMemoryMB: d.maxNodeMemory(),
	}
	for status, count := range result.Statuses {
		m.Statuses[fmt.Sprint(status)] = count
	}
	return m
}

// withSingleAccountRate returns an edit that gives one account the rate that a
// measurement needs. The other accounts get a rate of 10.
func withSingleAccountRate(rate int64) func(blconfig.Document) blconfig.Document {
	return func(d blconfig.Document) blconfig.Document {
		for _, name := range d.Entries("accounts") {
			d = withValue(d, "accounts", name, "rate", integer(10))
			d = withValue(d, "accounts", name, "burst", integer(10))
		}
		d = withValue(d, "accounts", "family_app", "rate", integer(rate))
		return withValue(d, "accounts", "family_app", "burst", integer(rate))
	}
}

type sizesCommand struct {
	Length time.Duration `default:"8s" help:"Duration of the load."`
}

// Run measures the Dakar mesh at its current size of seven pot servers and five
// wishlist servers, at a quarter of their capacity.
func (c sizesCommand) Run() error {
	hosts := currentDakarHosts()
	d, err := deploy(hosts, withSingleAccountRate(4000))
	if err != nil {
		return err
	}
	defer d.stop()
	next := map[string]func(caller, number int) blload.Request{
		"pot, contributions": func(caller, number int) blload.Request {
			return d.request(caller+number, http.MethodPost, fmt.Sprintf("/pot/%d/contributions", (caller*131+number)%benchKeys))
		},
		"wishlist, pages": func(caller, number int) blload.Request {
			return d.request(caller+number, http.MethodGet, fmt.Sprintf("/wishlist/%d/page", (caller*131+number)%benchKeys))
		},
	}
	for caseName, request := range next {
		const offered = 1200
		result := blload.Run(blload.Plan{Callers: 48, Duration: c.Length, Rate: offered, Next: request})
		report(newLoadMeasurement(d, "sizes of today", caseName, offered, result))
	}
	return nil
}

func currentDakarHosts() []blfleet.HostSpec {
	hosts := blfleet.PotHosts(7, false)
	for i := range 5 {
		hosts[i].Upstreams = append(hosts[i].Upstreams, blfleet.WishlistServer(i+1))
	}
	return hosts
}

func (d *deployment) request(turn int, method, path string) blload.Request {
	return blload.Request{
		Method: method, URL: "http://" + d.Hosts[turn%len(d.Hosts)].CallerAddress + path, ClientKey: d.ClientKeys["family_app"], Body: "1",
	}
}

type stragglersCommand struct {
	Length time.Duration `default:"8s" help:"Duration of each load."`
}

// Run measures the shared service at 30% of its capacity, with zero, one and two
// of five upstreams slowed down by a factor of 10.
func (c stragglersCommand) Run() error {
	d, err := deploy(currentDakarHosts(), withSingleAccountRate(4000))
	if err != nil {
		return err
	}
	defer d.stop()
	var wishlists []*blfleet.RunningUpstream
	for _, host := range d.Hosts {
		for _, upstream := range host.Upstreams {
			if upstream.Spec.Service == "wishlist" {
				wishlists = append(wishlists, upstream)
			}
		}
	}
	for slow := range 3 {
		if slow > 0 {
			faults := map[string]any{"slow_factor": 10, "false_load": 1}
			if err := d.SetUpstreamFaults(wishlists[slow-1], faults); err != nil {
				return fmt.Errorf("slow an upstream: %w", err)
			}
		}
		before, err := d.runs(wishlists)
		if err != nil {
			return err
		}
		const offered = 1200
		result := blload.Run(blload.Plan{Callers: 64, Duration: c.Length, Rate: offered, Next: func(caller, number int) blload.Request {
			return d.request(caller+number, http.MethodGet, fmt.Sprintf("/wishlist/%d/page", (caller*131+number)%benchKeys))
		}})
		after, err := d.runs(wishlists)
		if err != nil {
			return err
		}
		m := newLoadMeasurement(d, "stragglers", fmt.Sprintf("%d of 5 slowed tenfold", slow), offered, result)
		m.RunsPerAnswer = float64(after-before) / float64(max(result.Statuses[http.StatusOK], 1))
		report(m)
	}
	return nil
}

func (d *deployment) runs(upstreams []*blfleet.RunningUpstream) (int, error) {
	total := 0
	for _, upstream := range upstreams {
		counts, err := d.Counts(upstream)
		if err != nil {
			return 0, fmt.Errorf("read counts: %w", err)
		}
		total += counts.Runs + counts.Cancelled
	}
	return total, nil
}

type overloadCommand struct {
	Length time.Duration `default:"20s" help:"Duration of the load."`
}

const overloadServiceTime = 20 * time.Millisecond

// Run offers the pot service 0.8 times and twice its capacity.
func (c overloadCommand) Run() error {
	hosts := blfleet.PotHosts(3, false)
	for i := range hosts {
		hosts[i].Upstreams[0].ServiceTime = overloadServiceTime
	}
	d, err := deploy(hosts, func(document blconfig.Document) blconfig.Document {
		duration := blconfig.Value{Kind: blconfig.KindDuration, Duration: overloadServiceTime}
		document = withValue(document, "services", "pot", "service_time", duration)
		document = withValue(document, "services", "wishlist", "slots", integer(1024))
		return withSingleAccountRate(8000)(document)
	})
	if err != nil {
		return err
	}
	defer d.stop()
	capacity := 3 * 6 / overloadServiceTime.Seconds()
	for _, factor := range []float64{0.8, 2} {
		result := blload.Run(blload.Plan{
			Callers: 400, Duration: c.Length, Rate: factor * capacity, Next: func(caller, number int) blload.Request {
				return d.request(caller+number, http.MethodPost, fmt.Sprintf("/pot/%d/contributions", caller*7+number))
			},
		})
		report(newLoadMeasurement(d, "overload", fmt.Sprintf("%.1f of a capacity of %.0f", factor, capacity), factor*capacity, result))
	}
	return nil
}

type hotKeyCommand struct {
	Length time.Duration `default:"8s" help:"Duration of the load."`
}

// Run measures the latency of other keys, without and with an equal load on one
// hot key.
func (c hotKeyCommand) Run() error {
	d, err := deploy(blfleet.PotHosts(7, false), withSingleAccountRate(4000))
	if err != nil {
		return err
	}
	defer d.stop()
	const offered = 1200
	for _, hot := range []bool{false, true} {
		hotResult := make(chan blload.Result, 1)
		if hot {
			runner := hotRunner{d: d, plan: blload.Plan{Callers: 24, Duration: c.Length, Rate: offered / 2, Next: func(caller, _ int) blload.Request {
				return d.request(caller, http.MethodPost, "/pot/hot/contributions")
			}}, done: hotResult}
			go runner.run()
		}
		result := blload.Run(blload.Plan{Callers: 24, Duration: c.Length, Rate: offered / 2, Next: func(caller, number int) blload.Request {
			return d.request(caller+number, http.MethodPost, fmt.Sprintf("/pot/%d/contributions", (caller*131+number)%benchKeys))
		}})
		report(newLoadMeasurement(d, "hot key", fmt.Sprintf("other keys, hot key beside them: %t", hot), offered/2, result))
		if hot {
			report(newLoadMeasurement(d, "hot key", "the hot key itself", offered/2, <-hotResult))
		}
	}
	return nil
}

// hotRunner generates the load on the hot key.
type hotRunner struct {
	d    *deployment
	plan blload.Plan
	done chan blload.Result
}

func (h hotRunner) run() {
	h.done <- blload.Run(h.plan)
}
