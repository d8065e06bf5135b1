package main

import (
	"fmt"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/tools/blfleet"
)

type idleCommand struct {
	Nodes  []int         `default:"3,12,48" help:"Fleet sizes, in nodes."`
	Length time.Duration `default:"10s" help:"Duration of the measurement."`
}

type idleMeasurement struct {
	Measurement     string  `json:"measurement"`
	Nodes           int     `json:"nodes"`
	StoreCalls      float64 `json:"store_calls_per_second"`
	LeadCPUPercent  float64 `json:"lead_cpu_percent_of_a_core"`
	OtherCPUPercent float64 `json:"other_node_cpu_percent_of_a_core"`
	LeadMB          float64 `json:"lead_memory_mb"`
	OtherMB         float64 `json:"other_node_memory_mb"`
}

// Run measures fleets without request traffic.
func (c idleCommand) Run() error {
	for _, count := range c.Nodes {
		if err := c.measure(count); err != nil {
			return err
		}
	}
	return nil
}

func (c idleCommand) measure(count int) error {
	d, err := deploy(blfleet.PotHosts(count, false), func(document blconfig.Document) blconfig.Document {
		document = withValue(document, "services", "pot", "upstreams", integer(int64(count)))
		return withValue(document, "services", "pot", "partitions", integer(int64(max(128, 8*count))))
	})
	if err != nil {
		return err
	}
	defer d.stop()
	lead := d.Lead()
	if lead == nil {
		return blfleet.TimeoutError{What: "a lead"}
	}
	callsBefore, err := d.storeCalls()
	if err != nil {
		return err
	}
	leadBefore, allBefore := cpuTime(lead.Node.PID()), d.nodeCPU()
	time.Sleep(c.Length)
	leadUsed, allUsed := cpuTime(lead.Node.PID())-leadBefore, d.nodeCPU()-allBefore
	callsAfter, err := d.storeCalls()
	if err != nil {
		return err
	}
	seconds := c.Length.Seconds()
	report(idleMeasurement{
		Measurement: "idle", Nodes: count, StoreCalls: float64(callsAfter-callsBefore) / seconds,
		LeadCPUPercent:  100 * leadUsed.Seconds() / seconds,
		OtherCPUPercent: 100 * (allUsed - leadUsed).Seconds() / seconds / float64(count-1),
		LeadMB:          residentMB(lead.Node.PID()),
		OtherMB:         d.meanMemoryExcept(lead),
	})
	return nil
}

func (d *deployment) storeCalls() (int, error) {
	counts, err := d.PlatformCalls()
	if err != nil {
		return 0, fmt.Errorf("read store calls: %w", err)
	}
	total := 0
	for _, count := range counts {
		total += count
	}
	return total, nil
}

func (d *deployment) meanMemoryExcept(lead *blfleet.Host) float64 {
	total := 0.0
	for _, host := range d.Hosts {
		if host != lead {
			total += residentMB(host.Node.PID())
		}
	}
	return total / float64(len(d.Hosts)-1)
}
