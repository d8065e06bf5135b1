// Package blfleet runs a small deployment as separate processes on loopback, for
// end-to-end tests, measurements and the demonstration.
package blfleet

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Upstream describes one upstream stand-in of a fleet.
type Upstream struct {
	Name        string
	Service     string
	Exclusive   bool
	Slots       int
	ColdSlots   int
	ColdFor     time.Duration
	ServiceTime time.Duration
	ChecksFence bool
}

// HostSpec describes one host: its node and its local upstreams.
type HostSpec struct {
	Name      string
	Domain    string
	Upstreams []Upstream
	// Settings are further lines of the settings of the node, in TOML.
	Settings []string
}

// Options describe a fleet.
type Options struct {
	// Binaries is the folder with the programs that Build compiled.
	Binaries string
	// Folder holds the settings, logs and traces.
	Folder string
	Region string
	Hosts  []HostSpec
	// Traces makes each node write its spans to a file.
	Traces bool
	// WorkLogs makes the upstreams log accepted work to files, which remain when
	// the processes end.
	WorkLogs bool
	// Link returns the address of a proxy to the target, under the given link
	// name. It is nil when processes connect directly.
	Link func(name, target string) (string, error)
}

// Host is a running host.
type Host struct {
	Spec            HostSpec
	CallerAddress   string
	NodeAddress     string
	AnnounceAddress string
	OperatorAddress string
	TraceFile       string
	LogFile         string
	Node            *Process
	Upstreams       []*RunningUpstream
	// SettingsFile is the path of the node's settings file.
	SettingsFile string
}

// RunningUpstream is a running upstream stand-in.
type RunningUpstream struct {
	Spec    Upstream
	Address string
	Process *Process
	args    []string
}

// Fleet is a running deployment.
type Fleet struct {
	options       Options
	OperatorToken string
	StoreAddress  string
	// ClientKeys holds the client key of each account.
	ClientKeys map[string]string
	Hosts      []*Host

	platform *Process
	client   *http.Client
}

// Start starts the platform stand-in and every host of the options.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, OperatorToken: randomHex(), ClientKeys: map[string]string{},
		client: &http.Client{Timeout: 15 * time.Second},
	}
	if err := os.WriteFile(f.tokenFile(), []byte(f.OperatorToken), 0o600); err != nil {
		return nil, fmt.Errorf("write token: %w", err)
	}
	var err error
	if f.StoreAddress, err = freeAddress(); err != nil {
		return nil, err
	}
	if err := f.StartPlatform(); err != nil {
		return nil, err
	}
	for _, spec := range options.Hosts {
		if _, err := f.AddHost(spec); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// Stop kills every process of the fleet.
func (f *Fleet) Stop() {
	for _, host := range f.Hosts {
		host.Node.Kill()
		for _, upstream := range host.Upstreams {
			upstream.Process.Kill()
		}
	}
	f.platform.Kill()
}

func (f *Fleet) tokenFile() string {
	return filepath.Join(f.options.Folder, "operator_token")
}

// StartPlatform starts the platform stand-in with an empty store.
func (f *Fleet) StartPlatform() error {
	process, err := f.run("standin_platform", "platform", "--listen", f.StoreAddress)
	if err != nil {
		return err
	}
	f.platform = process
	return waitFor(5*time.Second, "platform", func() bool { return f.get("http://"+f.StoreAddress+"/calls", nil) == nil })
}

// AddHost starts another host.
func (f *Fleet) AddHost(spec HostSpec) (*Host, error) {
	host := &Host{Spec: spec}
	for _, address := range []*string{&host.CallerAddress, &host.NodeAddress, &host.AnnounceAddress, &host.OperatorAddress} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	host.LogFile = filepath.Join(f.options.Folder, spec.Name+".log")
	if err := f.writeSettings(host); err != nil {
		return nil, err
	}
	f.Hosts = append(f.Hosts, host)
	if err := f.StartNode(host); err != nil {
		return nil, err
	}
	for _, upstream := range spec.Upstreams {
		if err := f.addUpstream(host, upstream); err != nil {
			return nil, err
		}
	}
	return host, nil
}

// workLogFile returns the path of the named upstream's log of accepted work.
func (f *Fleet) workLogFile(name string) string {
	return filepath.Join(f.options.Folder, name+".work")
}

// link returns the address at which other processes reach the target.
func (f *Fleet) link(name, target string) (string, error) {
	if f.options.Link == nil {
		return target, nil
	}
	address, err := f.options.Link(name, target)
	if err != nil {
		return "", fmt.Errorf("link %s: %w", name, err)
	}
	return address, nil
}

func (f *Fleet) writeSettings(host *Host) error {
	store, err := f.link("store/"+host.Spec.Name, f.StoreAddress)
	if err != nil {
		return err
	}
	nodes, err := f.link("node/"+host.Spec.Name, host.NodeAddress)
	if err != nil {
		return err
	}
	lines := []string{
		fmt.Sprintf("node_address = %q", nodes),
		fmt.Sprintf("host = %q", host.Spec.Name),
		fmt.Sprintf("region = %q", f.options.Region),
		fmt.Sprintf("failure_domain = %q", host.Spec.Domain),
		fmt.Sprintf("caller_listen = %q", host.CallerAddress),
		fmt.Sprintf("node_listen = %q", host.NodeAddress),
		fmt.Sprintf("upstream_listen = %q", host.AnnounceAddress),
		fmt.Sprintf("operator_listen = %q", host.OperatorAddress),
		fmt.Sprintf("operator_token_file = %q", f.tokenFile()),
		fmt.Sprintf("store = %q", store),
	}
	lines = append(lines, host.Spec.Settings...)
	if f.options.Traces {
		host.TraceFile = filepath.Join(f.options.Folder, host.Spec.Name+".spans")
		lines = append(lines, fmt.Sprintf("trace_file = %q", host.TraceFile))
	}
	host.SettingsFile = filepath.Join(f.options.Folder, host.Spec.Name+".toml")
	text := strings.Join(lines, "\n") + "\n"
	if err := os.WriteFile(host.SettingsFile, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// StartNode starts the node of a host, or restarts it after it has ended.
func (f *Fleet) StartNode(host *Host) error {
	process, err := f.run("bergamotlead", host.Spec.Name, host.SettingsFile)
	host.Node = process
	return err
}

func (f *Fleet) addUpstream(host *Host, spec Upstream) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	args := []string{
		"--name", spec.Name, "--service", spec.Service, "--listen", address, "--node", host.AnnounceAddress,
		"--slots", fmt.Sprint(spec.Slots), "--cold-slots", fmt.Sprint(max(spec.ColdSlots, 1)),
		"--cold-for", spec.ColdFor.String(), "--service-time", spec.ServiceTime.String(),
	}
	flags := map[string]bool{"--exclusive": spec.Exclusive, "--checks-fence": spec.ChecksFence}
	for flag, on := range flags {
		if on {
			args = append(args, flag)
		}
	}
	if f.options.WorkLogs {
		args = append(args, "--log-file", f.workLogFile(spec.Name))
	}
	upstream := &RunningUpstream{Spec: spec, Address: address, args: args}
	host.Upstreams = append(host.Upstreams, upstream)
	return f.StartUpstream(upstream)
}

// StartUpstream starts an upstream, or restarts it after it has ended.
func (f *Fleet) StartUpstream(upstream *RunningUpstream) error {
	process, err := f.run("standin_upstream", upstream.Spec.Name, upstream.args...)
	upstream.Process = process
	return err
}
