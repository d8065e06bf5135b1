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
	// Host is the name of the host.
	Host blvalue.HostName `toml:"host"`
	// Region is the name of the region. Each region has its own lead, assignment
	// and rates.
	Region string `toml:"region"`
	// Domain is the name of the host's failure domain.
	Domain blvalue.DomainName `toml:"failure_domain"`
	// CallerListen is the listen address for callers' requests, as an IP address
	// and port.
	CallerListen string `toml:"caller_listen"`
	// NodeListen is the listen address for calls of other nodes.
	NodeListen string `toml:"node_listen"`
	// NodeAddress is the address at which other nodes reach NodeListen, or empty
	// when it is the same.
	NodeAddress string `toml:"node_address"`
	// UpstreamListen is the listen address for announcements of the upstream on
	// the same host.
	UpstreamListen string `toml:"upstream_listen"`
	// OperatorListen is the listen address for operators' calls.
	OperatorListen string `toml:"operator_listen"`
	// OperatorTokenFile is the path of the file with the operators' token. Without
	// it the operators' listener serves only reads that need no token.
	OperatorTokenFile string `toml:"operator_token_file"`
	// ReadyListen is the listen address for the platform's readiness probes, or
	// empty when there are none.
	ReadyListen string `toml:"ready_listen"`
	// Capacity is the CPU time available to the process, in cores, or zero when
	// unknown. Hosts with more capacity are preferred as lead.
	Capacity float64 `toml:"capacity"`
	// MemoryMB is the memory that the process may use, in MiB, or zero for the default.
	MemoryMB float64 `toml:"memory_mb"`
	// MaxDescriptors is the number of file descriptors that the process may use, or zero
	// for the default.
	MaxDescriptors float64 `toml:"max_descriptors"`
	// Platform is set when the node runs on the users' platform.
	Platform *Platform `toml:"platform"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string `toml:"log_level"`
	// TraceFile is the path of the file for spans, or empty for none.
	TraceFile string `toml:"trace_file"`
	// TraceCollector is the address of a collector that receives spans by OTLP
	// over gRPC, or empty for none.
	TraceCollector string `toml:"trace_collector"`
}

// Platform holds the settings that the users' platform gives each process.
type Platform struct {
	// Service is the service of the upstream on the same host.
	Service blvalue.ServiceName `toml:"service"`
	// UpstreamAddress is the address of the upstream on the same host, or empty if it
	// is unknown before the upstream announces itself.
	UpstreamAddress string `toml:"upstream_address"`
	// FailureDomains lists all failure domains of the deployment.
	FailureDomains []blvalue.DomainName `toml:"failure_domains"`
	// UpstreamHeartbeat is the interval between announcements of an upstream.
	UpstreamHeartbeat Duration `toml:"upstream_heartbeat"`
	// ShortestLease is the minimum time to live of a lease, or zero for none.
	ShortestLease Duration `toml:"shortest_lease"`
	// LongestGrant is the maximum time to live of a grant that an upstream accepts, or
	// zero if it accepts any.
	LongestGrant Duration `toml:"longest_grant"`
	// Drain is how long a leaving upstream may still get work, or zero for no limit.
	Drain Duration `toml:"drain"`
	// Grace is how long a process may take to shut down, or zero for no limit.
	Grace Duration `toml:"grace"`
	// RetryRatio is the fraction of a service's requests that may be retried, over
	// all nodes, in addition to RetryReserve retries in total. Where both are zero, the
	// platform sets no limit.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetryReserve float64 `toml:"retry_reserve"`
	// QuotaExcess is the fraction by which an account may exceed its rate and burst
	// in each QuotaWindow, and QuotaSlack a number of requests in addition to it,
	// over all nodes.
	QuotaExcess float64  `toml:"quota_excess"`
	QuotaWindow Duration `toml:"quota_window"`
	QuotaSlack  float64  `toml:"quota_slack"`
	// ExposureShare is the fraction of a service's requests that an unproven version
	// may get during a roll-out, over all nodes, and ExposureReserve a number of requests
	// in addition to it. Without a share, the deployment has no roll-outs.
	ExposureShare   float64 `toml:"exposure_share"`
	ExposureReserve float64 `toml:"exposure_reserve"`
	// RollbackTime is how long after a number of failures a faulty version may still
	// get requests.
	RollbackTime Duration `toml:"rollback_time"`
}

// Duration is a time.Duration that is written as text, such as 1500ms or 2.5s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

func (p *Platform) check() []error {
	var errs []error
	if p.Service == "" {
		errs = append(errs, SettingError{Name: "platform.service", Description: "is missing"})
	}
	if len(p.FailureDomains) == 0 {
		errs = append(errs, SettingError{Name: "platform.failure_domains", Description: "is missing"})
	}
	if p.UpstreamHeartbeat <= 0 {
		errs = append(errs, SettingError{Name: "platform.upstream_heartbeat", Description: "want a time above zero"})
	}
	optional := map[string]Duration{
		"shortest_lease": p.ShortestLease, "longest_grant": p.LongestGrant, "drain": p.Drain, "grace": p.Grace, "quota_window": p.QuotaWindow,
		"rollback_time": p.RollbackTime,
	}
	for name, value := range optional {
		if value < 0 {
			errs = append(errs, SettingError{Name: "platform." + name, Description: "want no negative time"})
		}
	}
	for name, value := range map[string]float64{"exposure_share": p.ExposureShare, "exposure_reserve": p.ExposureReserve} {
		if value < 0 {
			errs = append(errs, SettingError{Name: "platform." + name, Description: "want no negative number"})
		}
	}
	return errs
}

// AdvertiseAddress returns the address that this node advertises to other nodes.
func (p Process) AdvertiseAddress() string {
	if p.NodeAddress != "" {
		return p.NodeAddress
	}
	return p.NodeListen
}

// SettingError reports a process setting that can't be used.
type SettingError struct {
	Name        string
	Description string
}

// Error implements error.
func (e SettingError) Error() string {
	return fmt.Sprintf("setting %s: %s", e.Name, e.Description)
}

// ReadProcess reads the process settings in the file at path. Unknown settings
// are an error.
func ReadProcess(path string) (Process, error) {
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return Process{}, fmt.Errorf("read process settings: %w", err)
	}
	return ParseProcess(text)
}

// ParseProcess parses process settings. It reports all invalid settings at once.
func ParseProcess(text []byte) (Process, error) {
	process := Process{LogLevel: "info"}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&process); err != nil {
		return Process{}, fmt.Errorf("read process settings: %w", describeDecodeError(err))
	}
	if err := process.check(); err != nil {
		return Process{}, fmt.Errorf("check process settings: %w", err)
	}
	return process, nil
}

func describeDecodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return fmt.Errorf("unknown name:\n%s", unknown.String())
	}
	return withPosition(err)
}

func (p Process) check() error {
	var errs []error
	names := map[string]string{
		"host": string(p.Host), "region": p.Region, "failure_domain": string(p.Domain),
	}
	for name, value := range names {
		if value == "" {
			errs = append(errs, SettingError{Name: name, Description: "is missing"})
		}
	}
	for name, value := range map[string]float64{"memory_mb": p.MemoryMB, "max_descriptors": p.MaxDescriptors} {
		if value < 0 {
			errs = append(errs, SettingError{Name: name, Description: "want no negative number"})
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
		errs = append(errs, p.Platform.check()...)
	}
	if p.TraceCollector != "" {
		addresses["trace_collector"] = p.TraceCollector
	}
	for name, value := range addresses {
		if _, err := netip.ParseAddrPort(value); err != nil {
			errs = append(errs, SettingError{Name: name, Description: fmt.Sprintf("want an IP address and port: %v", err)})
		}
	}
	if host, _, err := net.SplitHostPort(p.AdvertiseAddress()); err == nil && net.ParseIP(host).IsUnspecified() {
		errs = append(errs, SettingError{Name: "node_listen", Description: "want an address that other nodes can reach"})
	}
	return errors.Join(errs...)
}
