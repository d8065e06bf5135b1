// Package blfleet starts a small deployment as separate processes on loopback,
// for the demonstration, measurements and tests of whole processes.
package blfleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"bergamotlead/core/blconfig"
	"bergamotlead/core/blvalue"
	"bergamotlead/io/bloperator"
	"bergamotlead/io/blsettings"
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

// HostSpec describes one host: its node and the upstreams beside it.
type HostSpec struct {
	Name      string
	Domain    string
	Upstreams []Upstream
}

// Options describe a fleet.
type Options struct {
	// Binaries is the folder with the built programs.
	Binaries string
	// Folder is where settings, logs and traces are written.
	Folder string
	Region string
	Hosts  []HostSpec
	// Traces turns span files on.
	Traces bool
	// Logs keeps the upstreams' logs of accepted work.
	Logs bool
}

// Process is one running program.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// Host is a running host.
type Host struct {
	Spec      HostSpec
	Callers   string
	Nodes     string
	Announce  string
	Operators string
	TraceFile string
	LogFile   string
	Node      *Process
	Upstreams []*RunningUpstream
	settings  string
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
	options Options
	Token   string
	Store   string
	Keys    map[string]string
	Hosts   []*Host

	platform *Process
	client   *http.Client
}

// Start runs the platform stand-in and every host of the options.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, Token: randomText(), Keys: map[string]string{},
		client: &http.Client{Timeout: 15 * time.Second},
	}
	if err := os.WriteFile(f.tokenFile(), []byte(f.Token), 0o600); err != nil {
		return nil, fmt.Errorf("write token: %w", err)
	}
	var err error
	if f.Store, err = freeAddress(); err != nil {
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

// Stop ends every process of the fleet at once.
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

// StartPlatform runs the platform stand-in, empty.
func (f *Fleet) StartPlatform() error {
	process, err := f.run("standin_platform", "platform", "--listen", f.Store)
	if err != nil {
		return err
	}
	f.platform = process
	return waitFor(5*time.Second, "platform", func() bool { return f.get("http://"+f.Store+"/calls", nil) == nil })
}

// AddHost runs one more host.
func (f *Fleet) AddHost(spec HostSpec) (*Host, error) {
	host := &Host{Spec: spec}
	for _, address := range []*string{&host.Callers, &host.Nodes, &host.Announce, &host.Operators} {
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

func (f *Fleet) writeSettings(host *Host) error {
	lines := []string{
		fmt.Sprintf("host = %q", host.Spec.Name),
		fmt.Sprintf("region = %q", f.options.Region),
		fmt.Sprintf("failure_domain = %q", host.Spec.Domain),
		fmt.Sprintf("caller_listen = %q", host.Callers),
		fmt.Sprintf("node_listen = %q", host.Nodes),
		fmt.Sprintf("upstream_listen = %q", host.Announce),
		fmt.Sprintf("operator_listen = %q", host.Operators),
		fmt.Sprintf("operator_token_file = %q", f.tokenFile()),
		fmt.Sprintf("store = %q", f.Store),
	}
	if f.options.Traces {
		host.TraceFile = filepath.Join(f.options.Folder, host.Spec.Name+".spans")
		lines = append(lines, fmt.Sprintf("trace_file = %q", host.TraceFile))
	}
	host.settings = filepath.Join(f.options.Folder, host.Spec.Name+".toml")
	text := strings.Join(lines, "\n") + "\n"
	if err := os.WriteFile(host.settings, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// StartNode runs the node of a host, again after it ended.
func (f *Fleet) StartNode(host *Host) error {
	process, err := f.run("bergamotlead", host.Spec.Name, host.settings)
	host.Node = process
	return err
}

func (f *Fleet) addUpstream(host *Host, spec Upstream) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	args := []string{
		"--name", spec.Name, "--service", spec.Service, "--listen", address, "--node", host.Announce,
		"--slots", fmt.Sprint(spec.Slots), "--cold-slots", fmt.Sprint(max(spec.ColdSlots, 1)),
		"--cold-for", spec.ColdFor.String(), "--service-time", spec.ServiceTime.String(),
	}
	flags := map[string]bool{"--exclusive": spec.Exclusive, "--checks-fence": spec.ChecksFence, "--keep-log": f.options.Logs}
	for flag, on := range flags {
		if on {
			args = append(args, flag)
		}
	}
	upstream := &RunningUpstream{Spec: spec, Address: address, args: args}
	host.Upstreams = append(host.Upstreams, upstream)
	return f.StartUpstream(upstream)
}

// StartUpstream runs an upstream, again after it ended.
func (f *Fleet) StartUpstream(upstream *RunningUpstream) error {
	process, err := f.run("standin_upstream", upstream.Spec.Name, upstream.args...)
	upstream.Process = process
	return err
}

// run starts a program whose output goes to a log file of the given name.
func (f *Fleet) run(program, name string, args ...string) (*Process, error) {
	path := filepath.Join(f.options.Folder, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	command := exec.CommandContext(context.Background(), filepath.Join(f.options.Binaries, program), args...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	process := &Process{command: command, done: make(chan struct{}), log: log}
	go process.run()
	return process, nil
}

func (p *Process) run() {
	_ = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// PID returns the process's number.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end. A frozen process ends
// too.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to end and waits for its end.
func (p *Process) Terminate(wait time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(wait):
		return false
	}
}

// ExitCode returns the code with which the process ended.
func (p *Process) ExitCode() int {
	return p.command.ProcessState.ExitCode()
}

// TimeoutError reports something that did not come about in time.
type TimeoutError struct {
	What string
}

// Error returns what was waited for.
func (e TimeoutError) Error() string {
	return "timed out waiting for " + e.What
}

const waitPoll = 10 * time.Millisecond

// waitFor waits until holds is true.
func waitFor(limit time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			return TimeoutError{What: what}
		}
		time.Sleep(waitPoll)
	}
	return nil
}

// StatusError reports an unexpected answer.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error returns the answer as text.
func (e StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

func (f *Fleet) get(url string, into any) error {
	return f.call(http.MethodGet, url, nil, into)
}

func (f *Fleet) call(method, url string, body, into any) error {
	var payload io.Reader = http.NoBody
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		payload = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(context.Background(), method, url, payload)
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+f.Token)
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return StatusError{URL: url, Status: response.StatusCode, Body: string(text)}
	}
	if into == nil || len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// Status returns the status of a host's node.
func (f *Fleet) Status(host *Host) (bloperator.Status, error) {
	var status bloperator.Status
	err := f.get("http://"+host.Operators+"/status", &status)
	return status, err
}

// Lead returns the host whose node leads, or nil.
func (f *Fleet) Lead() *Host {
	for _, host := range f.Hosts {
		status, err := f.Status(host)
		if err == nil && len(status.Members) > 0 {
			return host
		}
	}
	return nil
}

// HostNamed returns the host of the given name, or nil.
func (f *Fleet) HostNamed(name string) *Host {
	for _, host := range f.Hosts {
		if host.Spec.Name == name {
			return host
		}
	}
	return nil
}

// WaitLead waits until a node leads.
func (f *Fleet) WaitLead(limit time.Duration) (*Host, error) {
	var lead *Host
	err := waitFor(limit, "a lead", func() bool { lead = f.leadRole(); return lead != nil })
	return lead, err
}

// leadRole returns the host whose node has the role of lead, though it may
// have no configuration yet.
func (f *Fleet) leadRole() *Host {
	for _, host := range f.Hosts {
		status, err := f.Status(host)
		if err == nil && status.Role == "leading" {
			return host
		}
	}
	return nil
}

// Document returns the shipped document at path with one new client key for
// each account. The keys are in Keys.
func (f *Fleet) Document(path string, edit func(blconfig.Document) blconfig.Document) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read document: %w", err)
	}
	document, err := blsettings.ParseDocument(text)
	if err != nil {
		return "", fmt.Errorf("read document: %w", err)
	}
	for _, account := range document.Entries(blconfig.SectionAccounts) {
		key := randomText()
		sum := sha256.Sum256([]byte(key))
		f.Keys[account] = key
		setting := blconfig.Path{Section: blconfig.SectionAccounts, Entry: account, Option: "key_digests"}
		old, _ := document.Get(setting)
		old.Value.List = []string{hex.EncodeToString(sum[:])}
		document = document.With(setting, old)
	}
	if edit != nil {
		document = edit(document)
	}
	formatted, err := blsettings.FormatDocument(document)
	if err != nil {
		return "", fmt.Errorf("write document: %w", err)
	}
	return string(formatted), nil
}

// Apply stores a document through a host's node and waits until it is in
// force.
func (f *Fleet) Apply(host *Host, base uint64, document string) (bloperator.ChangeResult, error) {
	var result bloperator.ChangeResult
	err := f.call(http.MethodPost, "http://"+host.Operators+"/config",
		bloperator.Change{BaseRevision: base, Document: document, WaitMS: 10000}, &result)
	return result, err
}

// WaitOwners waits until every partition of the service is granted.
func (f *Fleet) WaitOwners(service blvalue.ServiceName, partitions int, limit time.Duration) error {
	return waitFor(limit, "owners of "+string(service), func() bool {
		granted := 0
		for _, host := range f.Hosts {
			status, err := f.Status(host)
			if err != nil {
				continue
			}
			for _, upstream := range status.Upstreams {
				if upstream.Service == service {
					granted += upstream.Partitions
				}
			}
		}
		return granted == partitions
	})
}

// PlatformFaults sets the faults of the platform stand-in.
func (f *Fleet) PlatformFaults(faults map[string]any) error {
	return f.call(http.MethodPost, "http://"+f.Store+"/faults", faults, nil)
}

// PlatformCalls returns the calls that the platform stand-in has counted.
func (f *Fleet) PlatformCalls() (map[string]int, error) {
	var counts map[string]int
	err := f.get("http://"+f.Store+"/calls", &counts)
	return counts, err
}

// UpstreamFaults sets the faults of an upstream stand-in.
func (f *Fleet) UpstreamFaults(upstream *RunningUpstream, faults map[string]any) error {
	return f.call(http.MethodPost, "http://"+upstream.Address+"/standin/faults", faults, nil)
}

// Work is one line of an upstream's log of accepted work.
type Work struct {
	Upstream  string `json:"-"`
	AtNS      int64  `json:"at_ns"`
	Key       string `json:"key"`
	Partition int    `json:"partition"`
	Fence     string `json:"fence"`
	Account   string `json:"account"`
	Method    string `json:"method"`
	Request   string `json:"request_id"`
}

// Log returns the log of accepted work of an upstream.
func (f *Fleet) Log(upstream *RunningUpstream) ([]Work, error) {
	var log []Work
	err := f.get("http://"+upstream.Address+"/standin/log", &log)
	for i := range log {
		log[i].Upstream = upstream.Spec.Name
	}
	return log, err
}

// Counts is what an upstream stand-in has seen.
type Counts struct {
	Runs       int `json:"runs"`
	Shed       int `json:"shed"`
	Fenced     int `json:"fenced"`
	KeysSeen   int `json:"keys_seen"`
	MostAtOnce int `json:"most_at_once"`
	MostCold   int `json:"most_at_once_cold"`
	Cancelled  int `json:"cancelled"`
}

// Counts returns what an upstream has seen.
func (f *Fleet) Counts(upstream *RunningUpstream) (Counts, error) {
	var counts Counts
	err := f.get("http://"+upstream.Address+"/standin/counts", &counts)
	return counts, err
}

// Answer is what a caller got.
type Answer struct {
	Status  int
	Outcome string
	Body    string
	Header  http.Header
	// Upstream and Total are what the upstream stand-in answered.
	Upstream string `json:"upstream"`
	Total    int64  `json:"total"`
	Request  string `json:"request_id"`
}

// Call sends a caller's request to a host's node.
func (f *Fleet) Call(host *Host, method, path, key, body string) (Answer, error) {
	request, err := http.NewRequestWithContext(
		context.Background(), method, "http://"+host.Callers+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, fmt.Errorf("build request: %w", err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, fmt.Errorf("read answer: %w", err)
	}
	answer := Answer{}
	if strings.Contains(response.Header.Get("Content-Type"), "json") {
		_ = json.Unmarshal(text, &answer)
	}
	answer.Status = response.StatusCode
	answer.Outcome = response.Header.Get("Bergamotlead-Outcome")
	answer.Body = string(text)
	answer.Header = response.Header
	return answer, nil
}

// secretBytes is the size of client keys and of the operators' token.
const secretBytes = 32

func randomText() string {
	var raw [secretBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
