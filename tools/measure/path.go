package main

import (
	"fmt"
	"net/http"
	"time"

	"bergamotlead/tools/blfleet"
	"bergamotlead/tools/blload"
)

type pathCommand struct {
	Length time.Duration `default:"4s" help:"Duration of each load."`
}

type pathMeasurement struct {
	Measurement  string  `json:"measurement"`
	Way          string  `json:"way"`
	Callers      int     `json:"callers"`
	P50MS        float64 `json:"p50_ms"`
	P99MS        float64 `json:"p99_ms"`
	PerSecond    float64 `json:"requests_per_second"`
	NodeCPUUS    float64 `json:"node_cpu_us_per_request"`
	NodeAllocKB  float64 `json:"node_allocated_kb_per_request"`
	NotAnswered  int     `json:"not_answered"`
	NodeMemoryMB float64 `json:"largest_node_memory_mb"`
}

const benchKeys = 512

// Run compares direct calls of the upstreams with calls through the nodes.
func (p pathCommand) Run() error {
	hosts := blfleet.DakarHosts(false)
	for i := range hosts {
		for j := range hosts[i].Upstreams {
			hosts[i].Upstreams[j].ServiceTime = 0
			hosts[i].Upstreams[j].Slots = 1024
		}
	}
	d, err := deploy(hosts, withUpstreamHeadroom)
	if err != nil {
		return err
	}
	defer d.stop()
	for _, callers := range []int{1, 16, 128} {
		report(p.measure(d, "direct", callers, p.direct(d)))
		report(p.measure(d, "through the nodes", callers, p.proxied(d)))
	}
	return nil
}

func (pathCommand) direct(d *deployment) func(caller, number int) blload.Request {
	return func(caller, number int) blload.Request {
		upstream := d.Hosts[(caller+number)%len(d.Hosts)].Upstreams[0]
		return blload.Request{
			Method: http.MethodGet, URL: fmt.Sprintf("http://%s/pot/%d/total", upstream.Address, (caller*131+number)%benchKeys),
		}
	}
}

func (pathCommand) proxied(d *deployment) func(caller, number int) blload.Request {
	return func(caller, number int) blload.Request {
		host := d.Hosts[(caller+number)%len(d.Hosts)]
		return blload.Request{
			Method: http.MethodGet, ClientKey: d.ClientKeys["family_app"],
			URL: fmt.Sprintf("http://%s/pot/%d/total", host.CallerAddress, (caller*131+number)%benchKeys),
		}
	}
}

func (p pathCommand) measure(
	d *deployment, way string, callers int, next func(caller, number int) blload.Request,
) pathMeasurement {
	_ = blload.Run(blload.Plan{Callers: callers, Duration: p.Length / 4, Next: next})
	before, allocated := d.nodeCPU(), d.nodeAllocated()
	result := blload.Run(blload.Plan{Callers: callers, Duration: p.Length, Next: next})
	used := d.nodeCPU() - before
	allocated = d.nodeAllocated() - allocated
	return pathMeasurement{
		Measurement: "path", Way: way, Callers: callers,
		P50MS: milliseconds(result.Percentile(50)), P99MS: milliseconds(result.Percentile(99)),
		PerSecond: result.Rate(), NodeCPUUS: float64(used.Microseconds()) / float64(result.Requests),
		NodeAllocKB: allocated / 1024 / float64(result.Requests),
		NotAnswered: result.Requests - result.Statuses[http.StatusOK], NodeMemoryMB: d.maxNodeMemory(),
	}
}

func (d *deployment) nodeCPU() time.Duration {
	var total time.Duration
	for _, host := range d.Hosts {
		total += cpuTime(host.Node.PID())
	}
	return total
}

// nodeAllocated returns the bytes that all nodes together have allocated since
// they started.
func (d *deployment) nodeAllocated() float64 {
	total := 0.0
	for _, host := range d.Hosts {
		value, err := d.Metric(host, "go_memstats_alloc_bytes_total")
		if err == nil {
			total += value
		}
	}
	return total
}

func (d *deployment) maxNodeMemory() float64 {
	largest := 0.0
	for _, host := range d.Hosts {
		largest = max(largest, residentMB(host.Node.PID()))
	}
	return largest
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
