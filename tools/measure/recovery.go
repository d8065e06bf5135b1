package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"bergamotlead/tools/blfleet"
)

type recoveryCommand struct {
	Rounds int `default:"3" help:"Rounds per loss."`
}

type recoveryMeasurement struct {
	Measurement          string    `json:"measurement"`
	Loss                 string    `json:"loss"`
	TargetMS             float64   `json:"target_ms"`
	LongestUnavailableMS []float64 `json:"longest_unavailable_ms_by_round"`
	UnansweredCalls      int       `json:"unanswered_calls"`
}

const (
	recoveryTarget = 2 * time.Second
	recoveryNodes  = 6
	recoveryKeys   = 48
	probeInterval  = 40 * time.Millisecond
	probeTimeout   = "150ms"
	probeDuration  = 6 * time.Second
)

// loss is a failure that is injected by the roles of the hosts.
type loss struct {
	name   string
	inject func(d *deployment, lead, standby, owner *blfleet.Host)
}

func killHost(host *blfleet.Host) {
	for _, upstream := range host.Upstreams {
		upstream.Process.Kill()
	}
	host.Node.Kill()
}

func losses() []loss {
	return []loss{
		{"owner killed", func(_ *deployment, _, _, owner *blfleet.Host) { killHost(owner) }},
		{"lead killed", func(_ *deployment, lead, _, _ *blfleet.Host) { killHost(lead) }},
		{"lead and an owner killed", func(_ *deployment, lead, _, owner *blfleet.Host) { killHost(lead); killHost(owner) }},
		{"failure domain without lead killed", func(d *deployment, lead, _, _ *blfleet.Host) {
			for _, host := range d.Hosts {
				if host.Spec.Domain == otherDomain(lead.Spec.Domain) {
					killHost(host)
				}
			}
		}},
		{"store down", func(d *deployment, _, _, _ *blfleet.Host) {
			_ = d.SetPlatformFaults(map[string]any{"down": true})
		}},
	}
}

func otherDomain(domain string) string {
	if domain == "sn_west_c" {
		return "sn_west_a"
	}
	return "sn_west_c"
}

// Run measures each loss, with a new fleet for every round.
func (c recoveryCommand) Run() error {
	for _, l := range losses() {
		m := recoveryMeasurement{Measurement: "recovery", Loss: l.name, TargetMS: milliseconds(recoveryTarget)}
		for range c.Rounds {
			outage, failed, err := measureLoss(l)
			if err != nil {
				return err
			}
			m.LongestUnavailableMS = append(m.LongestUnavailableMS, milliseconds(outage))
			m.UnansweredCalls += failed
		}
		report(m)
	}
	return nil
}

func measureLoss(l loss) (time.Duration, int, error) {
	d, err := deploy(blfleet.PotHosts(recoveryNodes, false), nil)
	if err != nil {
		return 0, 0, err
	}
	defer d.stop()
	lead, standby, owner, err := d.roles()
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(time.Second)
	prober := &prober{d: d, keys: map[int]time.Time{}, entry: func(i int) *blfleet.Host {
		hosts := d.survivors(lead, owner)
		return hosts[i%len(hosts)]
	}, until: time.Now().Add(probeDuration)}
	var wg sync.WaitGroup
	for key := range recoveryKeys {
		wg.Go(func() { prober.run(key) })
	}
	time.Sleep(time.Second)
	l.inject(d, lead, standby, owner)
	wg.Wait()
	return prober.longestOutage, prober.failed, nil
}

// roles returns the host of the lead, the host of the standby, and one that is
// neither.
func (d *deployment) roles() (lead, standby, owner *blfleet.Host, err error) {
	deadline := time.Now().Add(startWait)
	for time.Now().Before(deadline) {
		if lead = d.Lead(); lead != nil {
			status, err := d.Status(lead)
			if err == nil && status.Standby != "" {
				standby = d.HostByName(string(status.Standby))
				break
			}
		}
		time.Sleep(probeInterval)
	}
	if standby == nil {
		return nil, nil, nil, blfleet.TimeoutError{What: "a standby"}
	}
	for _, host := range d.Hosts {
		if host != lead && host != standby {
			return lead, standby, host, nil
		}
	}
	return nil, nil, nil, fmt.Errorf("find an owner: %w", blfleet.TimeoutError{What: "a third host"})
}

// survivors returns the hosts that no loss affects.
func (d *deployment) survivors(lead, owner *blfleet.Host) []*blfleet.Host {
	var hosts []*blfleet.Host
	for _, host := range d.Hosts {
		if host != lead && host != owner && host.Spec.Domain != otherDomain(lead.Spec.Domain) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// prober requests keys periodically and records the longest time in which a key
// went unanswered.
type prober struct {
	d     *deployment
	entry func(i int) *blfleet.Host
	until time.Time

	mu            sync.Mutex
	keys          map[int]time.Time
	longestOutage time.Duration
	failed        int
}

func (p *prober) run(key int) {
	client := &http.Client{Timeout: time.Second}
	last := time.Now()
	for time.Now().Before(p.until) {
		ok := p.probe(client, key)
		now := time.Now()
		p.mu.Lock()
		if ok {
			p.longestOutage = max(p.longestOutage, now.Sub(last))
		} else {
			p.failed++
		}
		p.mu.Unlock()
		if ok {
			last = now
		}
		time.Sleep(probeInterval)
	}
	p.mu.Lock()
	p.longestOutage = max(p.longestOutage, time.Since(last))
	p.mu.Unlock()
}

func (p *prober) probe(client *http.Client, key int) bool {
	url := fmt.Sprintf("http://%s/pot/key_%d/total", p.entry(key).CallerAddress, key)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Header.Set("Authorization", "Bearer "+p.d.ClientKeys["family_app"])
	request.Header.Set("Bergamotlead-Timeout", probeTimeout)
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
