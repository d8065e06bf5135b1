package blsettings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"bergamotlead/core/blvalue"
)

// Process holds the settings of one bergamotlead process.
type Process struct {
	// Host names the machine.
	Host blvalue.HostName `toml:"host"`
	// Region names the region; its lead, assignment and rates are its own.
	Region string `toml:"region"`
	// Domain names the failure domain in which the machine stands.
	Domain blvalue.DomainName `toml:"failure_domain"`
	// CallerListen takes callers' requests, as an IP address and port.
	CallerListen string `toml:"caller_listen"`
	// NodeListen takes other nodes' calls.
	NodeListen string `toml:"node_listen"`
	// NodeAddress is where other nodes reach NodeListen, or empty where it is the
	// same.
	NodeAddress string `toml:"node_address"`
	// UpstreamListen takes the announcements of the upstream beside the node.
	UpstreamListen string `toml:"upstream_listen"`
	// OperatorListen takes operators' calls.
	OperatorListen string `toml:"operator_listen"`
	// OperatorTokenFile holds the token that operators present. Without it the
	// operators' listener answers reads alone.
	OperatorTokenFile string `toml:"operator_token_file"`
	// ReadyListen is where the platform asks whether the node takes work, or
	// empty where it doesn't ask.
	ReadyListen string `toml:"ready_listen"`
	// Capacity is the processor time that the host gives the process, in
	// cores, or zero where it is unknown. Hosts with more lead first.
	Capacity float64 `toml:"capacity"`
	// Platform is set where the node runs on the users' platform.
	Platform *Platform `toml:"platform"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `toml:"log_level"`
	// TraceFile is where spans are written, or empty for none.
	TraceFile string `toml:"trace_file"`
	// TraceCollector is the address of a collector that takes spans by OTLP over
	// gRPC, or empty for none.
	TraceCollector string `toml:"trace_collector"`
}

// Platform holds what the users' platform tells each process.
type Platform struct {
	// Service is the service of the server beside the node.
	Service blvalue.ServiceName `toml:"service"`
	// FailureDomains lists all failure domains of the deployment.
	FailureDomains []blvalue.DomainName `toml:"failure_domains"`
	// UpstreamHeartbeat is how often a server announces itself.
	UpstreamHeartbeat Duration `toml:"upstream_heartbeat"`
	// ShortestLease is the least time to live of a lease.
	ShortestLease Duration `toml:"shortest_lease"`
	// LongestGrant is the longest time for which a server takes a grant.
	LongestGrant Duration `toml:"longest_grant"`
	// Drain is how long a leaving server may still get work.
	Drain Duration `toml:"drain"`
	// Grace is how long a process may take to end.
	Grace Duration `toml:"grace"`
	// RetryRatio is the part of a service's requests that may be sent again,
	// over all nodes, beside RetryReserve in all.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetryReserve int64   `toml:"retry_reserve"`
	// QuotaExcess is the share by which an account may exceed its rate and burst
	// in each QuotaWindow, and QuotaSlack the number of requests beside it, over
	// all nodes.
	QuotaExcess float64  `toml:"quota_excess"`
	QuotaWindow Duration `toml:"quota_window"`
	QuotaSlack  float64  `toml:"quota_slack"`
}

// Duration is a time as text, such as 1500ms or 2.5s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("read time: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

func (p *Platform) check() []error {
	var faults []error
	if p.Service == "" {
		faults = append(faults, SettingError{Name: "platform.service", What: "is missing"})
	}
	if len(p.FailureDomains) == 0 {
		faults = append(faults, SettingError{Name: "platform.failure_domains", What: "is missing"})
	}
	times := map[string]Duration{
		"upstream_heartbeat": p.UpstreamHeartbeat, "shortest_lease": p.ShortestLease, "longest_grant": p.LongestGrant,
		"drain": p.Drain, "grace": p.Grace,
	}
	for name, value := range times {
		if value <= 0 {
			faults = append(faults, SettingError{Name: "platform." + name, What: "want a time above zero"})
		}
	}
	return faults
}

// ReachedAt returns the address at which other nodes reach this one.
func (p Process) ReachedAt() string {
	if p.NodeAddress != "" {
		return p.NodeAddress
	}
	return p.NodeListen
}

// SettingError reports a process setting that can't be used.
type SettingError struct {
	Name string
	What string
}

// Error returns the refusal as text.
func (e SettingError) Error() string {
	return fmt.Sprintf("setting %s: %s", e.Name, e.What)
}

// ReadProcess reads the process settings in the file at path. Unknown names
// are refused.
func ReadProcess(path string) (Process, error) {
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Process{}, fmt.Errorf("read process settings: %w", err)
	}
	return ParseProcess(text)
}

// ParseProcess reads process settings. All faults are reported at once.
func ParseProcess(text []byte) (Process, error) {
	process := Process{LogLevel: "info"}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&process); err != nil {
		return Process{}, fmt.Errorf("read process settings: %w", strict(err))
	}
	if err := process.check(); err != nil {
		return Process{}, fmt.Errorf("check process settings: %w", err)
	}
	return process, nil
}

func strict(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return fmt.Errorf("unknown name:\n%s", unknown.String())
	}
	return positioned(err)
}

func (p Process) check() error {
	var faults []error
	names := map[string]string{
		"host": string(p.Host), "region": p.Region, "failure_domain": string(p.Domain),
	}
	for name, value := range names {
		if value == "" {
			faults = append(faults, SettingError{Name: name, What: "is missing"})
		}
	}
	addresses := map[string]string{
		"caller_listen": p.CallerListen, "node_listen": p.NodeListen, "upstream_listen": p.UpstreamListen,
		"operator_listen": p.OperatorListen, "store": p.Store,
	}
	if p.NodeAddress != "" {
		addresses["node_address"] = p.NodeAddress
	}
	if p.ReadyListen != "" {
		addresses["ready_listen"] = p.ReadyListen
	}
	if p.Platform != nil {
		faults = append(faults, p.Platform.check()...)
	}
	if p.TraceCollector != "" {
		addresses["trace_collector"] = p.TraceCollector
	}
	for name, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			faults = append(faults, SettingError{Name: name, What: fmt.Sprintf("want an IP address and port: %v", err)})
		}
	}
	if host, _, err := net.SplitHostPort(p.ReachedAt()); err == nil && net.ParseIP(host).IsUnspecified() {
		faults = append(faults, SettingError{Name: "node_listen", What: "want an address that other nodes can reach"})
	}
	return errors.Join(faults...)
}
